#pragma once

#include "base/settings.h"
#include "tool/exitcode.h"

#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Kumquatpick {

// What a command reads and writes besides its arguments.
struct ToolContext {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    Environment environment;
};

using Arguments = std::span<const std::string>;

// Parses a command's arguments; if the command ends here (help, faults), prints why and says the exit code.
std::optional<ExitCode> takeArguments(SettingsParser&, Arguments, const ToolContext&);
// Prints faults found after parsing.
ExitCode usageFault(const SettingsParser&, std::string_view fault, const ToolContext&);

// A whole file, or standard input for "-"; an unreadable one is reported.
std::optional<std::string> readInput(const std::string& path, const ToolContext&);

} // namespace Kumquatpick
