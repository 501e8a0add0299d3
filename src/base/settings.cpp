#include "base/settings.h"

#include "base/settingvalue.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <tclap/CmdLine.h>

namespace Kumquatpick {

namespace {

    constexpr int exitUsage = 2;
    constexpr std::string_view variablePrefix = "KUMQUATPICK_";

    bool isSwitch(const Setting& setting) { return std::holds_alternative<bool*>(setting.into); }

    bool isList(const Setting& setting) { return std::holds_alternative<std::vector<Address>*>(setting.into); }

    std::string describeSetting(const Setting& setting)
    {
        std::vector<std::string> notes;
        if (std::string range = expectedValue(setting); !range.empty() && !isSwitch(setting))
            notes.push_back(range);
        if (setting.required)
            notes.emplace_back("required");
        else if (std::string shown = defaultText(setting); !shown.empty())
            notes.push_back("default " + shown);
        if (isList(setting))
            notes.emplace_back("may be repeated");
        std::string_view placeholder = valuePlaceholder(setting);
        std::string head = fmt::format("--{}{}{}", setting.flag, placeholder.empty() ? "" : " ", placeholder);
        std::string tail = notes.empty() ? "" : fmt::format("      ({})\n", fmt::join(notes, "; "));
        std::string variable = setting.environmentVariable();
        std::string line = variable.empty() ? fmt::format("  {}", head) : fmt::format("  {:<34} {}", head, variable);
        return fmt::format("{}\n      {}\n{}", line, setting.help, tail);
    }

    // Collects the arguments that match no flag, so that every stray one is reported and not just the first.
    class UnmatchedArguments : public TCLAP::Arg {
    public:
        UnmatchedArguments()
            : TCLAP::Arg("", "leftovers", "", false, true)
        {
        }

        // Last in the list, as TCLAP offers an argument to each entry in order.
        void addToList(std::list<TCLAP::Arg*>& list) const override
        {
            list.push_back(const_cast<UnmatchedArguments*>(this));
        }

        bool processArg(int* index, std::vector<std::string>& arguments) override
        {
            m_values.push_back(arguments[static_cast<size_t>(*index)]);
            return true;
        }

        const std::vector<std::string>& values() const { return m_values; }

    private:
        std::vector<std::string> m_values;
    };

}

std::string Setting::environmentVariable() const
{
    if (flagOnly)
        return {};
    if (!variable.empty())
        return std::string(variable);
    std::string derived(variablePrefix);
    for (char c : flag)
        derived += c == '-' ? '_' : static_cast<char>(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c);
    return derived;
}

std::optional<std::string> processEnvironment(const std::string& variable)
{
    const char* value = std::getenv(variable.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

namespace {

    // The command line as TCLAP parsed it; all values are still text.
    struct GivenArguments {
        bool help = false;
        bool version = false;
        std::map<std::string_view, std::vector<std::string>> values;
        std::vector<std::string> unmatched;
        std::vector<std::string> faults;
    };

    // TCLAP supports only one delimiter, so `--flag=value` becomes two arguments.
    std::vector<std::string> splitAssignments(
        std::span<const std::string> arguments, const std::vector<SettingGroup>& groups)
    {
        std::vector<std::string> split { "program" };
        for (const std::string& argument : arguments) {
            size_t equals = argument.find('=');
            auto hasFlag = [&](const Setting& setting) {
                return argument.substr(0, equals) == fmt::format("--{}", setting.flag);
            };
            auto isInGroup = [&](const SettingGroup& group) { return std::ranges::any_of(group.settings, hasFlag); };
            if (equals == std::string::npos || !std::ranges::any_of(groups, isInGroup)) {
                split.push_back(argument);
                continue;
            }
            split.push_back(argument.substr(0, equals));
            split.push_back(argument.substr(equals + 1));
        }
        return split;
    }

    // Removes "--", after which TCLAP would recognize no flags for the rest of the process.
    void moveIgnoreRest(std::vector<std::string>& arguments, std::vector<std::string>& unmatched)
    {
        auto isIgnoreRest = [](const std::string& argument) { return argument == "--" || argument == "--ignore_rest"; };
        std::ranges::copy_if(arguments, std::back_inserter(unmatched), isIgnoreRest);
        std::erase_if(arguments, isIgnoreRest);
    }

    // TCLAP stops at its first error. As all flags are lists and stray arguments are collected, the only error left
    // to TCLAP is a last flag without its value. All other faults are found by our own checks.
    GivenArguments parseArguments(std::span<const std::string> arguments, const std::vector<SettingGroup>& groups)
    {
        GivenArguments given;
        TCLAP::CmdLine line("", ' ', "", false);
        line.setExceptionHandling(false);
        TCLAP::MultiSwitchArg help("h", "help", "", line);
        TCLAP::MultiSwitchArg version("", "version", "", line);
        std::map<std::string_view, std::unique_ptr<TCLAP::MultiArg<std::string>>> valued;
        std::map<std::string_view, std::unique_ptr<TCLAP::MultiSwitchArg>> switches;
        for (const SettingGroup& group : groups) {
            for (const Setting& setting : group.settings) {
                std::string flag(setting.flag);
                if (isSwitch(setting))
                    switches[setting.flag] = std::make_unique<TCLAP::MultiSwitchArg>("", flag, "", line);
                else
                    valued[setting.flag]
                        = std::make_unique<TCLAP::MultiArg<std::string>>("", flag, "", false, "", line);
            }
        }
        UnmatchedArguments unmatched;
        line.add(unmatched);
        std::vector<std::string> split = splitAssignments(arguments, groups);
        moveIgnoreRest(split, given.unmatched);
        try {
            line.parse(split);
        } catch (const TCLAP::ArgException&) {
            given.faults.push_back(fmt::format("{}: a value is missing", split.back()));
        }
        given.help = help.getValue() > 0;
        given.version = version.getValue() > 0;
        for (const auto& [flag, argument] : valued)
            given.values[flag] = argument->getValue();
        for (const auto& [flag, argument] : switches)
            if (argument->getValue() > 0)
                given.values[flag] = { "true" };
        given.unmatched.insert(given.unmatched.end(), unmatched.values().begin(), unmatched.values().end());
        return given;
    }

    void readValue(
        const Setting& setting, std::string_view value, std::string_view source, std::vector<std::string>& faults)
    {
        if (!readSettingValue(setting, value))
            faults.push_back(fmt::format("{}: '{}' is not {}", source, value, expectedValue(setting)));
    }

    void readSetting(const Setting& setting, const std::vector<std::string>& values, const Environment& environment,
        std::vector<std::string>& faults)
    {
        std::string flag = fmt::format("--{}", setting.flag);
        if (values.size() > 1 && !isList(setting))
            faults.push_back(fmt::format("{}: given {} times", flag, values.size()));
        for (const std::string& value : values)
            readValue(setting, value, flag, faults);
        if (!values.empty())
            return;
        std::string variable = setting.environmentVariable();
        std::optional<std::string> value = variable.empty() ? std::nullopt : environment(variable);
        if (value && !value->empty())
            readValue(setting, *value, variable, faults);
        else if (setting.required)
            faults.push_back(
                fmt::format("{}{}{}: required; {}", flag, variable.empty() ? "" : " or ", variable, setting.help));
    }

    void readAll(const std::vector<SettingGroup>& groups, const GivenArguments& given, const Environment& environment,
        std::vector<std::string>& faults)
    {
        static const std::vector<std::string> none;
        for (const SettingGroup& group : groups) {
            for (const Setting& setting : group.settings) {
                auto found = given.values.find(setting.flag);
                readSetting(setting, found == given.values.end() ? none : found->second, environment, faults);
            }
        }
    }

    void readPositionals(const std::vector<Positional>& positionals, const std::vector<std::string>& unmatched,
        std::vector<std::string>& faults)
    {
        auto next = positionals.begin();
        for (const std::string& argument : unmatched) {
            bool isFlag = argument.starts_with('-') && argument.size() > 1;
            if (isFlag || argument.empty() || next == positionals.end())
                faults.push_back(fmt::format("unknown argument '{}'", argument));
            else
                *(next++)->into = argument;
        }
        for (; next != positionals.end(); ++next)
            faults.push_back(fmt::format("{} is missing: {}", next->name, next->help));
    }

}

SettingsParser::SettingsParser(Program program, std::vector<SettingGroup> groups)
    : m_program(std::move(program))
    , m_groups(std::move(groups))
{
    m_help = fmt::format("{}: {}\n\nUsage: {} [flags]", m_program.name, m_program.purpose, m_program.name);
    for (const Positional& positional : m_program.positionals)
        m_help += fmt::format(" {}", positional.name);
    m_help += "\n\n";
    for (const Positional& positional : m_program.positionals)
        m_help += fmt::format("  {:<34} {}\n", positional.name, positional.help);
    m_help += "Each flag can be set by the environment variable beside it; the flag takes precedence.\n";
    for (const SettingGroup& group : m_groups) {
        m_help += fmt::format("\n{}:\n", group.title);
        for (const Setting& setting : group.settings)
            m_help += describeSetting(setting);
    }
    m_help += "\nOthers:\n  -h, --help                         Shows this text.\n"
              "  --version                          Shows the version.\n";
    if (!m_program.closing.empty())
        m_help += fmt::format("\n{}\n", m_program.closing);
}

std::string SettingsParser::help() const { return m_help; }

std::optional<SettingsExit> SettingsParser::parse(
    std::span<const std::string> arguments, const Environment& environment)
{
    GivenArguments given = parseArguments(arguments, m_groups);
    if (given.help)
        return SettingsExit { 0, m_help };
    if (given.version)
        return SettingsExit { 0, fmt::format("{} {}\n", m_program.name, KUMQUATPICK_VERSION) };
    std::vector<std::string> found = std::move(given.faults);
    readPositionals(m_program.positionals, given.unmatched, found);
    readAll(m_groups, given, environment, found);
    return found.empty() ? std::nullopt : std::optional(faults(found));
}

SettingsExit SettingsParser::faults(std::span<const std::string> lines) const
{
    std::string text;
    for (const std::string& line : lines)
        text += fmt::format("{}: {}\n", m_program.name, line);
    return { exitUsage, text + fmt::format("See {} --help.\n", m_program.name) };
}

} // namespace Kumquatpick
