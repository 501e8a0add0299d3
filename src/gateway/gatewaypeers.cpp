#include "gateway/gateway.h"

#include "gateway/limitfield.h"

#include <nlohmann/json.hpp>

// The part of Gateway that exchanges information about backend servers with the other nodes.

namespace Kumquatpick {

namespace {

    // Summing up digests visits all peers, so a large fleet does it only every few ticks.
    constexpr size_t peersPerTick = 16;
    constexpr Milliseconds reportedStallAvoidance { 800 };

}

void Gateway::fillDigest(PeerDigest& digest) const
{
    digest.isReady = isReady();
    digest.controllerTerm = m_lease.term();
    MonotonicTime now = m_context.now();
    for (const auto& [id, at] : m_stalledAt) {
        if (now - at < stallGossipTime)
            digest.stalledHeads.push_back(id);
    }
    // The load exchange carries the same data where it is active.
    if (!m_loads.others())
        digest.inFlight = m_context.balancer.inFlight();
    for (const auto& [model, demand] : m_context.demand)
        digest.unmetDemand[model] = demand.unmetDemand;
    digest.reported = m_controller.recentStatuses();
    digest.limits = m_context.balancer.limits().recentLimits(now);
}

void Gateway::applyDigest(const PeerDigest& digest)
{
    m_lease.observePeerTerm(digest.controllerTerm);
    for (const ReportedStatus& reported : digest.reported)
        m_context.hosts.applyReport(reported.hostId, reported.status, m_context.now() - reported.age);
    for (const std::string& id : digest.stalledHeads)
        m_context.balancer.suspect(id, m_context.now() + reportedStallAvoidance);
    for (const HostRateLimit& limit : digest.limits) {
        if (m_context.balancer.limits().applyPeerReport(limit, m_context.now()))
            m_context.log.write("server_limit",
                { { "host", limit.hostId }, { "per_second", limitOrNull(limit.perSecond) },
                    { "reported_by", digest.name }, { "age_ms", limit.age.count() } });
    }
}

// A stopping node takes no share of the limits, because the others no longer count it.
void Gateway::divideRateLimits()
{
    std::string self = m_context.isStopping ? std::string() : m_context.settings.peers.toString();
    m_context.balancer.limits().assignShares(m_peers.nodesInZone({}), self, m_context.now());
}

void Gateway::refreshPeersInFlight(int tick)
{
    if (const LoadsByHost* others = m_loads.others())
        return m_context.balancer.setRemoteInFlight(*others);
    if (static_cast<size_t>(tick) % (1 + m_peers.aliveCount() / peersPerTick) != 0)
        return;
    LoadsByHost total;
    m_peers.forEachAlive([&](const PeerDigest& digest) {
        for (const auto& [id, count] : digest.inFlight)
            total[id] += count;
    });
    m_context.balancer.setRemoteInFlight(std::move(total));
}

} // namespace Kumquatpick
