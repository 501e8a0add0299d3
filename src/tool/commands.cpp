#include "tool/commands.h"

#include <algorithm>
#include <fmt/format.h>
#include <ostream>

namespace Kumquatpick {

namespace {

    constexpr Command commandTable[] = {
        { "check", "Names every fault of an operators' text.", runCheck },
        { "publish", "Publishes a new version of the operators' text.", runPublish },
        { "status", "Shows how far reality matches the text.", runStatus },
        { "explain", "Shows the steps that a request took.", runExplain },
        { "entries", "Shows which nodes callers are told to call.", runEntries },
        { "keys", "Fetches fresh keys for non-repeatable requests.", runKeys },
        { "send", "Sends one request to a service.", runSend },
        { "bench", "Measures routing, limits and placement against their baselines.", runBench },
    };

    std::string usage()
    {
        std::string text = "kumquatpick: the operators' and callers' tool\n\nUsage: kumquatpick COMMAND [flags]\n\n";
        for (const Command& command : commandTable)
            text += fmt::format("  {:<10} {}\n", command.name, command.summary);
        return text + "\nkumquatpick COMMAND --help shows a command's flags and exit codes; --version the version.\n";
    }

}

std::span<const Command> commands() { return commandTable; }

ExitCode runTool(Arguments arguments, const ToolContext& context)
{
    std::string_view first = arguments.empty() ? "" : std::string_view(arguments.front());
    if (first == "--help" || first == "-h" || first == "help") {
        context.out << usage();
        return ExitCode::Ok;
    }
    if (first == "--version") {
        context.out << "kumquatpick " KUMQUATPICK_VERSION "\n";
        return ExitCode::Ok;
    }
    auto command = std::ranges::find(commandTable, first, &Command::name);
    if (command == std::end(commandTable)) {
        if (!first.empty())
            context.err << fmt::format("kumquatpick: unknown command '{}'\n\n", first);
        context.err << usage();
        return ExitCode::Usage;
    }
    return command->run(arguments.subspan(1), context);
}

} // namespace Kumquatpick
