#include "operator/tablereader.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace Kumquatpick {

namespace {

    constexpr size_t longestName = 63;
    constexpr size_t mostNames = 1000; // In one array. The check for duplicates takes quadratic time.
    constexpr double highestWeight = 1e6;
    constexpr std::string_view expectedName
        = "a name: 1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit";

    bool isLetterOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }

    bool isNameCharacter(char c) { return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.'; }

    const std::string* asName(const toml::node& node)
    {
        const auto* value = node.as_string();
        return value && isPlainName(value->get()) ? &value->get() : nullptr;
    }

}

bool isPlainName(std::string_view name)
{
    return !name.empty() && name.size() <= longestName && isLetterOrDigit(name.front())
        && std::ranges::all_of(name, isNameCharacter);
}

TextFault faultAt(const toml::source_region& region, std::string key, std::string expected)
{
    uint32_t line = std::max<uint32_t>(region.begin.line, 1);
    uint32_t column = std::max<uint32_t>(region.begin.column, 1);
    return { line, column, std::move(key), std::move(expected) };
}

TableReader::TableReader(const toml::table& table, std::string path, std::vector<TextFault>& faults)
    : m_table(table)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

void TableReader::name(std::string_view key, std::string& into, Presence presence)
{
    const toml::node* node = find(key, presence, expectedName);
    if (!node)
        return;
    if (const std::string* value = asName(*node))
        into = *value;
    else
        faultAt(key, std::string(expectedName));
}

void TableReader::names(std::string_view key, std::vector<std::string>& into, Presence presence)
{
    const std::string expected = fmt::format("an array of at most {} names", mostNames);
    const toml::node* node = find(key, presence, expected);
    if (!node)
        return;
    const toml::array* array = node->as_array();
    if (!array || array->size() > mostNames)
        return faultAt(key, expected);
    for (size_t i = 0; i < array->size(); ++i) {
        const std::string* value = asName((*array)[i]);
        if (!value)
            faultAtElement(key, i, std::string(expectedName));
        else if (std::ranges::find(into, *value) != into.end())
            faultAtElement(key, i, fmt::format("each name once; '{}' is there already", *value));
        // An invalid element becomes an empty name, so that the indexes stay those of the TOML array.
        into.push_back(value ? *value : std::string());
    }
}

void TableReader::number(std::string_view key, uint64_t& into, NumberRange range, Presence presence)
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
        faultAt(key, std::move(expected));
}

void TableReader::number(std::string_view key, uint32_t& into, NumberRange range, Presence presence)
{
    uint64_t wide = into;
    number(key, wide, range, presence);
    into = static_cast<uint32_t>(wide);
}

void TableReader::weight(std::string_view key, double& into) { decimal(key, into, true); }

void TableReader::share(std::string_view key, double& into) { decimal(key, into, false); }

void TableReader::decimal(std::string_view key, double& into, bool zeroAllowed)
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
    bool inRange = value <= highestWeight && (zeroAllowed ? value >= 0 : value > 0);
    if (inRange)
        into = value;
    else
        faultAt(key, fmt::format("a number {} 0, at most {}", zeroAllowed ? "not below" : "above", highestWeight));
}

void TableReader::choice(std::string_view key, std::string_view first, std::string_view second, bool& isSecond)
{
    const toml::node* node = find(key, Presence::Optional, {});
    if (!node)
        return;
    const auto* value = node->as_string();
    if (value && (value->get() == first || value->get() == second))
        isSecond = value->get() == second;
    else
        faultAt(key, fmt::format("\"{}\" or \"{}\"", first, second));
}

void TableReader::expect(std::string_view key) { m_asked.push_back(key); }

void TableReader::refuse(std::string_view key, std::string_view expected)
{
    if (!m_table.contains(key))
        return;
    expect(key);
    faultAt(key, std::string(expected));
}

void TableReader::finish()
{
    for (const auto& [key, node] : m_table) {
        if (std::ranges::find(m_asked, key.str()) != m_asked.end())
            continue;
        m_faults.push_back(Kumquatpick::faultAt(key.source(), pathTo(key.str()),
            fmt::format("no such key; the keys here are {}", fmt::join(m_asked, ", "))));
    }
}

void TableReader::faultAt(std::string_view key, std::string expected)
{
    const toml::node* node = m_table.get(key);
    m_faults.push_back(
        Kumquatpick::faultAt(node ? node->source() : m_table.source(), pathTo(key), std::move(expected)));
}

void TableReader::faultAtElement(std::string_view key, size_t index, std::string expected)
{
    const toml::array* array = m_table[key].as_array();
    const toml::source_region& region = array && index < array->size() ? (*array)[index].source() : m_table.source();
    m_faults.push_back(Kumquatpick::faultAt(region, fmt::format("{}[{}]", pathTo(key), index), std::move(expected)));
}

const toml::node* TableReader::find(std::string_view key, Presence presence, std::string_view expected)
{
    m_asked.push_back(key);
    const toml::node* node = m_table.get(key);
    if (!node && presence == Presence::Required)
        faultAt(key, fmt::format("{}; the key is missing", expected));
    return node;
}

std::string TableReader::pathTo(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
}

} // namespace Kumquatpick
