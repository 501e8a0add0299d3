#pragma once

#include "tool/context.h"

#include <span>
#include <string_view>

namespace Kumquatpick {

// One subcommand. Each stands in a file of its own name.
struct Command {
    std::string_view name;
    std::string_view summary;
    ExitCode (*run)(Arguments, const ToolContext&);
};

ExitCode runCheck(Arguments, const ToolContext&);
ExitCode runPublish(Arguments, const ToolContext&);
ExitCode runStatus(Arguments, const ToolContext&);
ExitCode runExplain(Arguments, const ToolContext&);
ExitCode runEntries(Arguments, const ToolContext&);
ExitCode runKeys(Arguments, const ToolContext&);
ExitCode runSend(Arguments, const ToolContext&);
ExitCode runBench(Arguments, const ToolContext&);

std::span<const Command> commands();

// The whole tool: arguments without the program's name.
ExitCode runTool(Arguments, const ToolContext&);

} // namespace Kumquatpick
