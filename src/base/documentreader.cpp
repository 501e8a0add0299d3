#include "base/documentreader.h"

#include "base/names.h"

#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr size_t maxLoggedNameBytes = 80; // Other writers choose the names of fields.

}

DocumentReader DocumentReader::operator[](std::string_view field) const
{
    const json* found = nullptr;
    if (isObject()) {
        auto position = m_value->find(field);
        found = position == m_value->end() ? nullptr : &*position;
    }
    return { found, *m_problem, field, 0 };
}

DocumentReader DocumentReader::operator[](size_t index) const
{
    const json* found = isArray() && index < m_value->size() ? &(*m_value)[index] : nullptr;
    return { found, *m_problem, {}, index };
}

void DocumentReader::reject(std::string_view expected) const
{
    if (m_problem->isFound())
        return;
    std::string name = m_field.empty() ? fmt::format("element {}", m_index)
                                       : fmt::format("'{}'", m_field.substr(0, maxLoggedNameBytes));
    m_problem->text = fmt::format("{}: {} expected", name, expected);
}

std::string_view DocumentReader::text() const
{
    if (isText())
        return m_value->get_ref<const std::string&>();
    reject("text");
    return {};
}

std::string_view DocumentReader::name() const
{
    if (isText() && isName(m_value->get_ref<const std::string&>()))
        return text();
    reject("a name");
    return {};
}

std::string_view DocumentReader::bytes() const
{
    if (m_value && m_value->is_binary()) {
        const auto& content = m_value->get_binary();
        return { reinterpret_cast<const char*>(content.data()), content.size() };
    }
    reject("bytes");
    return {};
}

bool DocumentReader::flag() const
{
    if (m_value && m_value->is_boolean())
        return m_value->get<bool>();
    reject("true or false");
    return false;
}

uint64_t DocumentReader::integer(uint64_t max) const
{
    // Decoders keep integers that are not negative as unsigned ones.
    bool isNegative = isInteger() && !m_value->is_number_unsigned() && m_value->get<int64_t>() < 0;
    if (isInteger() && !isNegative) {
        auto value = m_value->get<uint64_t>();
        if (value <= max)
            return value;
    }
    reject(fmt::format("an integer from 0 to {}", max));
    return 0;
}

int64_t DocumentReader::signedInteger(int64_t min, int64_t max) const
{
    // An unsigned number may be larger than any signed one.
    bool fits = m_value && m_value->is_number_integer()
        && (!m_value->is_number_unsigned() || m_value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX));
    if (fits) {
        auto value = m_value->get<int64_t>();
        if (value >= min && value <= max)
            return value;
    }
    reject(fmt::format("an integer from {} to {}", min, max));
    return 0;
}

double DocumentReader::number(double min, double max) const
{
    if (m_value && m_value->is_number()) {
        auto value = m_value->get<double>();
        if (value >= min && value <= max) // Not so for one that is not a number.
            return value;
    }
    reject(fmt::format("a number from {} to {}", min, max));
    return 0;
}

Milliseconds DocumentReader::milliseconds(Milliseconds max) const
{
    return Milliseconds(static_cast<int64_t>(number(0, static_cast<double>(max.count()))));
}

Milliseconds DocumentReader::seconds(Milliseconds max) const
{
    constexpr double millisecondsPerSecond = 1000;
    double value = number(0, static_cast<double>(max.count()) / millisecondsPerSecond);
    return Milliseconds(static_cast<int64_t>(value * millisecondsPerSecond));
}

std::vector<DocumentReader> DocumentReader::elements() const
{
    std::vector<DocumentReader> result;
    if (!isArray()) {
        reject("an array");
        return result;
    }
    result.reserve(m_value->size());
    for (const json& element : *m_value)
        result.push_back({ &element, *m_problem, {}, result.size() });
    return result;
}

std::vector<std::pair<std::string_view, DocumentReader>> DocumentReader::fields() const
{
    std::vector<std::pair<std::string_view, DocumentReader>> result;
    if (!isObject()) {
        reject("an object");
        return result;
    }
    result.reserve(m_value->size());
    for (auto field = m_value->begin(); field != m_value->end(); ++field)
        result.emplace_back(field.key(), DocumentReader { &*field, *m_problem, field.key(), 0 });
    return result;
}

} // namespace Kumquatpick
