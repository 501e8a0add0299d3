#include "tool/context.h"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>

namespace Kumquatpick {

namespace {

    ExitCode print(const SettingsExit& exit, const ToolContext& context)
    {
        (exit.code == 0 ? context.out : context.err) << exit.text;
        return exit.code == 0 ? ExitCode::Ok : ExitCode::Usage;
    }

}

std::optional<ExitCode> takeArguments(SettingsParser& parser, Arguments arguments, const ToolContext& context)
{
    std::optional<SettingsExit> exit = parser.parse(arguments, context.environment);
    return exit ? std::optional(print(*exit, context)) : std::nullopt;
}

ExitCode usageFault(const SettingsParser& parser, std::string_view fault, const ToolContext& context)
{
    const std::string lines[] = { std::string(fault) };
    return print(parser.faults(lines), context);
}

std::optional<std::string> readInput(const std::string& path, const ToolContext& context)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(context.in), {});
    std::ifstream file(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (file.is_open() && !file.bad())
        return text;
    context.err << fmt::format("{}: cannot be read: {}\n", path, std::strerror(errno));
    return std::nullopt;
}

} // namespace Kumquatpick
