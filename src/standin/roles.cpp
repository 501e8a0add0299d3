#include "standin/roles.h"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <iterator>

namespace Kumquatpick {

namespace {

    struct Role {
        std::string_view name;
        int (*run)(Arguments);
        bool isServer;
    };

    constexpr Role roles[] = {
        { "log", runLog, true },
        { "membership", runMembership, true },
        { "weights", runWeights, true },
        { "engine", runEngine, true },
        { "plain", runPlain, true },
        { "load", runLoadTool, false },
        { "check", runCheck, false },
    };

    int usage()
    {
        fmt::print(stderr, "usage: kumquatpick-standin ROLE [flags]; ROLE --help lists the flags\nroles:");
        for (const Role& role : roles)
            fmt::print(stderr, " {}", role.name);
        fmt::print(stderr, "\n");
        return exitUsage;
    }

} // namespace

int runRole(Arguments arguments)
{
    auto isNamed = [&](const Role& role) { return !arguments.empty() && role.name == arguments.front(); };
    const Role* role = std::ranges::find_if(roles, isNamed);
    if (role == std::end(roles))
        return usage();
    if (role->isServer) {
        // Blocked before any thread starts, so that only the main thread takes them.
        sigset_t signals = terminationSignals();
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }
    return role->run(arguments.subspan(1));
}

} // namespace Kumquatpick
