#pragma once

#include "backend/directory.h"
#include "operator/config.h"

#include <map>
#include <string>
#include <vector>

namespace Kumquatpick::Testing {

constexpr MonotonicTime fleetNow { std::chrono::hours(1) };

inline ServiceConfig modelService(const std::string& name, uint32_t hostsPerReplica, uint32_t replicas)
{
    ServiceConfig service;
    service.name = name;
    service.model = "kumquat";
    service.modelVersion = "1";
    service.hostsPerReplica = hostsPerReplica;
    service.replicas = replicas;
    return service;
}

inline Claim claimOf(
    Offset offset, const std::string& service, const std::string& domain, const std::vector<std::string>& hosts)
{
    std::vector<uint64_t> incarnations(hosts.size(), 1);
    return { offset, ClaimPhase::Held,
        { service, "r" + std::to_string(offset), "howrah", domain, hosts, incarnations, "kumquat", "1" },
        { hosts.begin(), hosts.end() } };
}

// Hosts of one domain that are listed and answer probes. Hosts of a claim are ready under it unless another state is
// given.
struct Fleet {
    void claim(const Claim& claim, EngineState state = EngineState::Ready)
    {
        claims.emplace(claim.offset, claim);
        for (const std::string& host : claim.proposal.hosts)
            add(host, state, claim.offset);
    }

    void add(const std::string& host, EngineState state = EngineState::Idle, Offset claim = 0, bool leaving = false)
    {
        listed.push_back({ host, { "127.0.0.1", 80 }, "howrah", "d1", "", 1, leaving });
        EngineStatus status;
        status.host = host;
        status.incarnation = 1;
        status.state = state;
        status.claim = claim;
        status.readAt = fleetNow;
        statuses.push_back(status);
    }

    void applyTo(ReplicaDirectory& directory) const
    {
        directory.setListed(listed);
        directory.setClaims(claims);
        for (const EngineStatus& status : statuses)
            directory.probed(status);
    }

    std::map<Offset, Claim> claims;
    std::vector<ListedHost> listed;
    std::vector<EngineStatus> statuses;
};

} // namespace Kumquatpick::Testing
