#pragma once

#include "coordination/state.h"

#include <fmt/format.h>
#include <rapidcheck.h>
#include <vector>

namespace Kumquatpick::Testing {

// Random logs of mostly plausible records: they refer to offsets and hosts that earlier records may have used.

inline std::string operatorsText(uint32_t replicas)
{
    return fmt::format("[deployment]\nname = \"bengal\"\nzones = [\"howrah\"]\n\n[[service]]\nname = \"writers\"\n"
                       "kind = \"model\"\nmodel = \"kumquat\"\nmodel_version = \"1\"\nhosts_per_replica = 2\nreplicas "
                       "= {}\n\n[[team]]\nname = \"coaches\"\nshare = 1\n",
        replicas);
}

inline Offset anyOffset() { return *rc::gen::inRange<Offset>(0, 40); }

inline std::string anyHost() { return fmt::format("h{}", *rc::gen::inRange(0, 6)); }

inline NodeId anyNodeId() { return { fmt::format("n{}", *rc::gen::inRange(0, 3)), *rc::gen::inRange<uint64_t>(1, 3) }; }

inline NodeInfo anyNode() { return { anyNodeId(), "howrah", { "127.0.0.1", 7100 }, { "::1", 7200 } }; }

inline std::vector<std::string> anyHosts()
{
    std::vector<std::string> hosts;
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
        hosts.push_back(anyHost());
    return hosts;
}

inline RecordBody anyBody()
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
        return ConfigProposal { anyOffset(), *rc::gen::inRange(0, 5) == 0 ? "not toml [" : operatorsText(3), "op" };
    case 2:
    case 3:
    case 4: {
        auto hosts = anyHosts();
        std::vector<uint64_t> incarnations(hosts.size(), 7);
        return ClaimProposal { "writers", fmt::format("r{}", *rc::gen::inRange(0, 3)), "howrah", "d1", hosts,
            incarnations, "kumquat", "1" };
    }
    case 5:
    case 6:
        return ClaimEndProposal { anyOffset(), "host_dead" };
    case 7:
    case 8:
        return HostsFreedProposal { anyOffset(), anyHosts(), FreedReason::HostDead };
    case 9:
        return LeaseProposal { "controller", anyOffset(), anyNodeId(), Milliseconds(5000) };
    case 10:
        return SlotsProposal { anyNodeId(),
            { { *rc::gen::inRange(0u, 4u), *rc::gen::inRange(0u, 3u), anyNode(), anyNode(), false, WallTime() } } };
    default:
        return SnapshotProposal { anyOffset(), "s", 0, 1, "not a valid snapshot" };
    }
}

// Ids are drawn from a small set, so that some records are duplicates.
inline std::vector<LoggedRecord> anyLog()
{
    std::vector<LoggedRecord> log;
    auto length = *rc::gen::inRange<Offset>(1, 41);
    for (Offset offset = 1; offset <= length; ++offset)
        log.push_back({ offset, { fmt::format("id{}", *rc::gen::inRange(0, 60)), anyBody() } });
    return log;
}

inline State stateAfter(const std::vector<LoggedRecord>& log)
{
    State state;
    for (const LoggedRecord& record : log)
        state.apply(record);
    return state;
}

} // namespace Kumquatpick::Testing
