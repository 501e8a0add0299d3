#include "base/settingvalue.h"

#include "base/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr std::string_view levelNames[] = { "debug", "info", "warning", "error" };

    std::optional<uint64_t> parseWholeNumber(std::string_view text)
    {
        uint64_t value = 0;
        auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isWholeNumber = code == std::errc() && end == text.data() + text.size() && !text.empty();
        return isWholeNumber ? std::optional(value) : std::nullopt;
    }

    // The largest whole number that a double holds exactly.
    constexpr double maxExact = 9007199254740992.0;

    std::optional<uint64_t> parseDecimal(std::string_view text, uint64_t scale, Fraction fraction)
    {
        double value = 0;
        auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
        bool isNumber = code == std::errc() && end == text.data() + text.size() && std::isfinite(value);
        double scaled = value * static_cast<double>(scale);
        if (!isNumber || scaled < 0 || scaled > maxExact)
            return std::nullopt;
        return static_cast<uint64_t>(fraction == Fraction::RoundedUp ? std::ceil(scaled) : std::floor(scaled));
    }

    std::optional<uint64_t> parseNumber(const Setting& setting, std::string_view text)
    {
        auto whole = parseWholeNumber(text);
        if (whole && *whole <= setting.highest / setting.scale)
            return *whole * setting.scale;
        return setting.fraction == Fraction::Rejected ? std::nullopt
                                                      : parseDecimal(text, setting.scale, setting.fraction);
    }

    struct ValueReader {
        const Setting& setting;
        std::string_view text;

        bool operator()(std::string* into) const
        {
            bool isChoice
                = setting.choices.empty() || std::ranges::find(setting.choices, text) != setting.choices.end();
            if (!isChoice || (setting.accepts && !setting.accepts(text)))
                return false;
            *into = text;
            return true;
        }

        template <typename Number> bool readNumber(Number& into) const
        {
            auto value = parseNumber(setting, text);
            if (!value || *value < setting.lowest || *value > setting.highest)
                return false;
            into = Number(*value);
            return true;
        }

        bool operator()(uint64_t* into) const { return readNumber(*into); }
        bool operator()(std::optional<uint64_t>* into) const { return readNumber(*into); }
        bool operator()(Milliseconds* into) const { return readNumber(*into); }
        bool operator()(std::chrono::seconds* into) const { return readNumber(*into); }

        template <typename Use> bool readAddress(std::string_view part, Use&& use) const
        {
            auto settled = settle([&] { return Address::parse(part); });
            if (settled.index() != 0)
                return false;
            use(std::get<0>(settled));
            return true;
        }

        bool operator()(Address* into) const
        {
            return readAddress(text, [&](const Address& address) { *into = address; });
        }

        bool operator()(std::optional<Address>* into) const
        {
            return readAddress(text, [&](const Address& address) { *into = address; });
        }

        bool operator()(std::vector<Address>* into) const
        {
            for (size_t begin = 0; begin <= text.size();) {
                size_t end = std::min(text.find(',', begin), text.size());
                auto append = [&](const Address& address) { into->push_back(address); };
                if (!readAddress(text.substr(begin, end - begin), append))
                    return false;
                begin = end + 1;
            }
            return true;
        }

        bool operator()(bool* into) const
        {
            *into = text == "true";
            return text == "true" || text == "false";
        }

        bool operator()(LogLevel* into) const
        {
            auto found = std::ranges::find(levelNames, text);
            if (found == std::end(levelNames))
                return false;
            *into = static_cast<LogLevel>(found - std::begin(levelNames));
            return true;
        }
    };

    struct Placeholder {
        const Setting& setting;

        std::string_view operator()(const std::string*) const { return "TEXT"; }
        std::string_view operator()(const uint64_t*) const { return "NUMBER"; }
        std::string_view operator()(const std::optional<uint64_t>*) const { return "NUMBER"; }
        std::string_view operator()(const Milliseconds*) const { return setting.scale == 1 ? "MS" : "SECONDS"; }
        std::string_view operator()(const std::chrono::seconds*) const { return "SECONDS"; }
        std::string_view operator()(const Address*) const { return "IP:PORT"; }
        std::string_view operator()(const std::optional<Address>*) const { return "IP:PORT"; }
        std::string_view operator()(const std::vector<Address>*) const { return "IP:PORT"; }
        std::string_view operator()(const bool*) const { return ""; }
        std::string_view operator()(const LogLevel*) const { return "LEVEL"; }
    };

    struct DefaultText {
        const Setting& setting;

        std::string operator()(const std::string* value) const { return *value; }
        std::string operator()(const uint64_t* value) const
        {
            return setting.unit.empty() ? std::to_string(*value) : fmt::format("{} {}", *value, setting.unit);
        }
        std::string operator()(const std::optional<uint64_t>*) const { return {}; }
        std::string operator()(const Milliseconds* value) const { return fmt::format("{} ms", value->count()); }
        std::string operator()(const std::chrono::seconds* value) const { return fmt::format("{} s", value->count()); }
        std::string operator()(const Address* value) const { return value->port ? value->toString() : ""; }
        std::string operator()(const std::optional<Address>*) const { return {}; }
        std::string operator()(const std::vector<Address>*) const { return {}; }
        std::string operator()(const bool*) const { return {}; }
        std::string operator()(const LogLevel* value) const
        {
            return std::string(levelNames[static_cast<size_t>(*value)]);
        }
    };

    struct ExpectedText {
        const Setting& setting;

        double inUnitOfText(uint64_t value) const
        {
            return static_cast<double>(value) / static_cast<double>(setting.scale);
        }

        std::string number(std::string_view unit) const
        {
            std::string unitSuffix = unit.empty() ? "" : fmt::format(" of {}", unit);
            const char* kind = setting.fraction == Fraction::Rejected ? "a whole number" : "a number";
            if (setting.highest == Setting().highest && setting.fraction != Fraction::Rejected)
                return fmt::format("{}{}, at least {}", kind, unitSuffix, inUnitOfText(setting.lowest));
            if (setting.lowest == 0 && setting.highest == Setting().highest)
                return fmt::format("{}{}", kind, unitSuffix);
            return fmt::format(
                "{}{} from {} to {}", kind, unitSuffix, inUnitOfText(setting.lowest), inUnitOfText(setting.highest));
        }

        std::string operator()(const std::string*) const
        {
            if (!setting.choices.empty())
                return fmt::format("one of {}", fmt::join(setting.choices, ", "));
            return std::string(setting.expected);
        }
        std::string operator()(const uint64_t*) const { return number(setting.unit); }
        std::string operator()(const std::optional<uint64_t>*) const { return number(setting.unit); }
        std::string operator()(const Milliseconds*) const
        {
            return number(setting.scale == 1 ? "milliseconds" : setting.unit);
        }
        std::string operator()(const std::chrono::seconds*) const { return number("seconds"); }
        std::string operator()(const Address*) const { return "a numeric IP:port pair, such as 127.0.0.1:7100"; }
        std::string operator()(const std::optional<Address>*) const { return (*this)(static_cast<Address*>(nullptr)); }
        std::string operator()(const std::vector<Address>*) const
        {
            return "numeric IP:port pairs, separated by commas, such as 127.0.0.1:7100,127.0.0.1:7200";
        }
        std::string operator()(const bool*) const { return "true or false"; }
        std::string operator()(const LogLevel*) const { return fmt::format("one of {}", fmt::join(levelNames, ", ")); }
    };

}

bool readSettingValue(const Setting& setting, std::string_view text)
{
    return std::visit(ValueReader { setting, text }, setting.into);
}

std::string expectedValue(const Setting& setting) { return std::visit(ExpectedText { setting }, setting.into); }

std::string defaultText(const Setting& setting) { return std::visit(DefaultText { setting }, setting.into); }

std::string_view valuePlaceholder(const Setting& setting) { return std::visit(Placeholder { setting }, setting.into); }

} // namespace Kumquatpick
