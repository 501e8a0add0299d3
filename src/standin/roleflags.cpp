#include "standin/roleflags.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <sstream>

namespace Kumquatpick {

namespace {

    std::optional<std::string> noEnvironment(const std::string&) { return std::nullopt; }

}

void parseFlags(std::string_view program, std::string_view purpose, std::vector<Setting> flags, Arguments arguments)
{
    SettingsParser parser({ program, purpose }, { { "Flags", std::move(flags) } });
    std::optional<SettingsExit> exit = parser.parse(arguments, noEnvironment);
    if (!exit)
        return;
    fmt::print(exit->code == exitOk ? stdout : stderr, "{}", exit->text);
    std::exit(exit->code);
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace Kumquatpick
