#include "base/documentparts.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view blanks = " \t\r\n";
        size_t first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    // Position of the closing quote, or of the end of the text.
    size_t endOfString(std::string_view text, size_t start)
    {
        size_t i = start + 1;
        while (i < text.size() && text[i] != '"')
            i += text[i] == '\\' ? 2 : 1;
        return std::min(i, text.size());
    }

    int depthChange(char character)
    {
        if (character == '[' || character == '{')
            return 1;
        return character == ']' || character == '}' ? -1 : 0;
    }

    std::optional<std::vector<std::string_view>> parts(std::string_view text, char opening, char closing)
    {
        text = trimmed(text);
        if (text.size() < 2 || text.front() != opening || text.back() != closing)
            return std::nullopt;
        text = text.substr(1, text.size() - 2);
        std::vector<std::string_view> result;
        int64_t depth = 0;
        size_t start = 0;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '"')
                i = endOfString(text, i);
            if (i >= text.size())
                return std::nullopt;
            depth += depthChange(text[i]);
            if (depth < 0)
                return std::nullopt;
            if (text[i] == ',' && depth == 0) {
                result.push_back(trimmed(text.substr(start, i - start)));
                start = i + 1;
            }
        }
        if (depth != 0)
            return std::nullopt;
        std::string_view last = trimmed(text.substr(start));
        if (!last.empty() || !result.empty())
            result.push_back(last);
        return result;
    }

}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text) { return parts(text, '[', ']'); }

std::optional<std::vector<std::pair<std::string_view, std::string_view>>> jsonFields(std::string_view text)
{
    auto fields = parts(text, '{', '}');
    if (!fields)
        return std::nullopt;
    std::vector<std::pair<std::string_view, std::string_view>> result;
    for (std::string_view field : *fields) {
        size_t nameEnd = field.starts_with('"') ? endOfString(field, 0) + 1 : 0;
        size_t colon = field.find(':', nameEnd);
        if (nameEnd == 0 || colon == std::string_view::npos || !trimmed(field.substr(nameEnd, colon - nameEnd)).empty())
            return std::nullopt;
        result.emplace_back(field.substr(0, nameEnd), trimmed(field.substr(colon + 1)));
    }
    return result;
}

std::optional<json> decodeFields(std::string_view text, const DocumentLimits& ofField, Step step)
{
    auto fields = jsonFields(text);
    if (!fields)
        return std::nullopt;
    json object = json::object();
    for (const auto& [nameText, valueText] : *fields) {
        auto name = decodeDocument(DocumentFormat::Json, nameText, ofField, step);
        if (!std::holds_alternative<json>(name) || !std::get<json>(name).is_string())
            continue;
        auto value = decodeDocument(DocumentFormat::Json, valueText, ofField, step);
        bool isDecoded = std::holds_alternative<json>(value);
        object[std::get<json>(name).get_ref<const std::string&>()]
            = isDecoded ? std::get<json>(std::move(value)) : json();
    }
    return object;
}

} // namespace Kumquatpick
