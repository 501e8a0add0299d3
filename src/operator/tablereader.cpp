#include "operator/tablereader.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace Kumquatpick {

namespace {

    constexpr size_t maxNameLength = 63;
    constexpr size_t maxNames = 1000; // In one array. The check for duplicates takes quadratic time.
    constexpr double maxWeight = 1e6;
    constexpr std::string_view nameRequirement
        = "a name: 1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit";

    bool isLetterOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }

    bool isNameCharacter(char c) { return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.'; }

    const std::string* plainNameOf(const toml::node& node)
    {
        const auto* value = node.as_string();
        return value && isPlainName(value->get()) ? &value->get() : nullptr;
    }

}

bool isPlainName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameLength && isLetterOrDigit(name.front())
        && std::ranges::all_of(name, isNameCharacter);
}

ConfigFault makeFault(const toml::source_region& region, std::string key, std::string expected)
{
    uint32_t line = std::max<uint32_t>(region.begin.line, 1);
    uint32_t column = std::max<uint32_t>(region.begin.column, 1);
    return { line, column, std::move(key), std::move(expected) };
}

TableReader::TableReader(const toml::table& table, std::string path, std::vector<ConfigFault>& faults)
    : m_table(table)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

void TableReader::readName(std::string_view key, std::string& into, Presence presence)
{
    const toml::node* node = find(key, presence, nameRequirement);
    if (!node)
        return;
    if (const std::string* value = plainNameOf(*node))
        into = *value;
    else
        addFault(key, std::string(nameRequirement));
}

void TableReader::readNames(std::string_view key, std::vector<std::string>& into, Presence presence)
{
    const std::string expected = fmt::format("an array of at most {} names", maxNames);
    const toml::node* node = find(key, presence, expected);
    if (!node)
        return;
    const toml::array* array = node->as_array();
    if (!array || array->size() > maxNames)
        return addFault(key, expected);
    for (size_t i = 0; i < array->size(); ++i) {
        const std::string* value = plainNameOf((*array)[i]);
        if (!value)
            addElementFault(key, i, std::string(nameRequirement));
        else if (std::ranges::find(into, *value) != into.end())
            addElementFault(key, i, fmt::format("each name once; '{}' is there already", *value));
        // An invalid element becomes an empty name, so that the indexes stay those of the TOML array.
        into.push_back(value ? *value : std::string());
    }
}

void TableReader::readNumber(std::string_view key, uint64_t& into, NumberRange range, Presence presence)
{
    std::string expected = fmt::format("a whole number from {} to {}", range.lowest, range.highest);
    const toml::node* node = find(key, presence, expected);
    if (!node)
        return;
    const auto* value = node->as_integer();
    bool inRange = value && value->get() >= 0 && static_cast<uint64_t>(value->get()) >= range.lowest
        && static_cast<uint64_t>(value->get()) <= range.highest;
    if (inRange)
        into = static_cast<uint64_t>(value->get());
    else
        addFault(key, std::move(expected));
}

void TableReader::readNumber(std::string_view key, uint32_t& into, NumberRange range, Presence presence)
{
    uint64_t wide = into;
    readNumber(key, wide, range, presence);
    into = static_cast<uint32_t>(wide);
}

void TableReader::readWeight(std::string_view key, double& into) { readDecimal(key, into, true); }

void TableReader::readShare(std::string_view key, double& into) { readDecimal(key, into, false); }

void TableReader::readDecimal(std::string_view key, double& into, bool zeroAllowed)
{
    const toml::node* node = find(key, Presence::Optional, {});
    if (!node)
        return;
    double value = std::numeric_limits<double>::quiet_NaN();
    if (const auto* decimal = node->as_floating_point())
        value = decimal->get();
    else if (const auto* whole = node->as_integer())
        value = static_cast<double>(whole->get());
    // A NaN fails both comparisons.
    bool inRange = value <= maxWeight && (zeroAllowed ? value >= 0 : value > 0);
    if (inRange)
        into = value;
    else
        addFault(key, fmt::format("a number {} 0, at most {}", zeroAllowed ? "not below" : "above", maxWeight));
}

void TableReader::readChoice(std::string_view key, std::string_view first, std::string_view second, bool& isSecond)
{
    const toml::node* node = find(key, Presence::Optional, {});
    if (!node)
        return;
    const auto* value = node->as_string();
    if (value && (value->get() == first || value->get() == second))
        isSecond = value->get() == second;
    else
        addFault(key, fmt::format("\"{}\" or \"{}\"", first, second));
}

void TableReader::markKnown(std::string_view key) { m_knownKeys.push_back(key); }

void TableReader::rejectKey(std::string_view key, std::string_view expected)
{
    if (!m_table.contains(key))
        return;
    markKnown(key);
    addFault(key, std::string(expected));
}

void TableReader::reportUnknownKeys()
{
    for (const auto& [key, node] : m_table) {
        if (std::ranges::find(m_knownKeys, key.str()) != m_knownKeys.end())
            continue;
        m_faults.push_back(Kumquatpick::makeFault(key.source(), pathTo(key.str()),
            fmt::format("no such key; the keys here are {}", fmt::join(m_knownKeys, ", "))));
    }
}

void TableReader::addFault(std::string_view key, std::string expected)
{
    const toml::node* node = m_table.get(key);
    m_faults.push_back(
        Kumquatpick::makeFault(node ? node->source() : m_table.source(), pathTo(key), std::move(expected)));
}

void TableReader::addElementFault(std::string_view key, size_t index, std::string expected)
{
    const toml::array* array = m_table[key].as_array();
    const toml::source_region& region = array && index < array->size() ? (*array)[index].source() : m_table.source();
    m_faults.push_back(Kumquatpick::makeFault(region, fmt::format("{}[{}]", pathTo(key), index), std::move(expected)));
}

const toml::node* TableReader::find(std::string_view key, Presence presence, std::string_view expected)
{
    m_knownKeys.push_back(key);
    const toml::node* node = m_table.get(key);
    if (!node && presence == Presence::Required)
        addFault(key, fmt::format("{}; the key is missing", expected));
    return node;
}

std::string TableReader::pathTo(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
}

} // namespace Kumquatpick
