#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/logline.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Kumquatpick {

// The variable that receives a setting's value. Its type decides how the text is read and which unit it has;
// its value before parsing is the default. Only a vector may be given several times, and only a bool
// is a switch without a value.
using SettingTarget = std::variant<std::string*, uint64_t*, std::optional<uint64_t>*, Milliseconds*,
    std::chrono::seconds*, Address*, std::optional<Address>*, std::vector<Address>*, bool*, LogLevel*>;

// How a number with a fraction becomes a whole number of the target's unit: towards the side on which a limit still
// holds.
enum class Fraction : uint8_t {
    Rejected,
    RoundedDown,
    RoundedUp,
};

// One setting, given by flag (`--caller-threads 512` or `--caller-threads=512`) or by environment variable
// (KUMQUATPICK_CALLER_THREADS). The flag takes precedence; an empty variable counts as not set.
struct Setting {
    std::string_view flag; // "caller-threads"
    SettingTarget into;
    std::string_view help;
    bool required = false;
    std::string_view unit = {}; // Unit of a number, such as "bytes"; durations have their own.
    uint64_t lowest = 0; // For numbers and durations, in the target's unit.
    uint64_t highest = std::numeric_limits<int64_t>::max();
    Fraction fraction = Fraction::Rejected;
    uint64_t scale = 1; // Units of the target in one unit of the text, such as 1000 for seconds into milliseconds.
    std::span<const std::string_view> choices = {}; // The allowed texts; empty for any.
    bool (*accepts)(std::string_view) = nullptr; // Checks a text; `expected` describes valid ones.
    std::string_view expected = {};
    std::string_view variable = {}; // Replaces the name derived from the flag.
    bool flagOnly = false; // For values that differ in each call, where a variable set earlier would mislead.

    // The variable's name; empty if there is none.
    std::string environmentVariable() const;
};

struct SettingGroup {
    std::string_view title;
    std::vector<Setting> settings;
};

// An argument without a flag, such as a file; each one is required.
struct Positional {
    std::string_view name; // "FILE"
    std::string* into = nullptr;
    std::string_view help;
};

// The text that the caller of parse() prints before it exits: help and version go to standard output with code 0,
// faults to standard error with code 2.
struct SettingsExit {
    int code = 0;
    std::string text;
};

using Environment = std::function<std::optional<std::string>(const std::string& variable)>;

// Reads a variable of this process.
std::optional<std::string> processEnvironment(const std::string& variable);

// The settings of one program or subcommand, each defined once, with `--help` and `--version`.
class SettingsParser {
public:
    struct Program {
        std::string_view name; // "kumquatpick publish"
        std::string_view purpose;
        std::vector<Positional> positionals = {};
        std::string_view closing = {}; // The help's last paragraph, such as exit codes.
    };

    SettingsParser(Program, std::vector<SettingGroup>);

    // Takes the arguments without the program's name. Fills the targets and reports all faults at once.
    std::optional<SettingsExit> parse(std::span<const std::string> arguments, const Environment&);
    std::string help() const;
    // For faults in combinations of settings, which are checked after parsing.
    SettingsExit faults(std::span<const std::string> lines) const;
    const std::vector<SettingGroup>& groups() const { return m_groups; }

private:
    Program m_program;
    std::vector<SettingGroup> m_groups;
    std::string m_help; // Built while the targets still hold the defaults.
};

} // namespace Kumquatpick
