#include "gateway/gateway.h"

#include "gateway/limitfield.h"
#include "gateway/serverends.h"

#include <nlohmann/json.hpp>

// The part of Gateway that exchanges information about backend servers with the other nodes.

namespace Kumquatpick {

namespace {

    // From the moment at which the first node saw the stall.
    constexpr Milliseconds reportedStallAvoidance { 1500 };

    // Applies a fact that another node observed.
    struct ApplyFact {
        GatewayContext& context;
        MonotonicTime observedAt;

        void operator()(const StalledHead& head) const
        {
            // What this node heard from it since then disproves the report.
            if (!context.balancer.hasHeardFrom(head.hostId, observedAt))
                context.balancer.suspect(head.hostId, observedAt + reportedStallAvoidance);
        }
        void operator()(const ReportedStatus& reported) const
        {
            context.hosts.applyReport(reported.hostId, reported.status, observedAt);
        }
    };

}

NodeExchange::OwnReport Gateway::ownReport() const
{
    return { isReady(), m_context.isStopping(), m_context.routes ? m_context.routes->version() : 0, m_lease.term(),
        m_context.anyCallSeen, m_context.reach.cutOffServices(), m_context.members.count().value_or(0) };
}

void Gateway::applyReceived(const NodeExchange::Received& received, std::string_view sender)
{
    m_lease.observePeerTerm(m_peers.newestTerm());
    for (const HostFact& fact : received.newFacts)
        std::visit(ApplyFact { m_context, m_context.now() - fact.age }, fact.content);
    for (const Suspect& suspect : m_context.suspicion.merge(received.newSuspicions, m_context.now()))
        m_context.log.write(suspect.kind == SuspectKind::Request ? "request_stopped" : "prompt_part_stopped",
            { { logField(suspect.kind), suspectName(suspect) }, { "reported_by", sender } });
    for (const HostRateLimit& limit : received.limits) {
        if (m_context.balancer.limits().applyPeerReport(limit, m_context.now()))
            m_context.log.write("server_limit",
                { { "host", limit.hostId }, { "per_second", limitOrNull(limit.perSecond) }, { "reported_by", sender },
                    { "age_ms", limit.age.count() } });
    }
}

void Gateway::refreshPeersInFlight()
{
    const NodeLoads* others = m_loads.others();
    if (others && m_loads.updatedAt() == m_loadsAppliedAt)
        return;
    m_loadsAppliedAt = m_loads.updatedAt();
    if (others)
        m_context.balancer.setRemoteInFlight(others->inFlight);
    else if (m_peers.isFullMesh())
        m_context.balancer.setRemoteInFlight(m_peers.inFlightOfOthers());
}

} // namespace Kumquatpick
