#include "gateway/gateway.h"

#include <nlohmann/json.hpp>

// The part of Gateway that takes this node's share of limits that hold for all nodes together, and reports it.

namespace Kumquatpick {

void Gateway::divideLimits()
{
    MonotonicTime now = m_context.now();
    m_context.members.update(m_peers.exchange(), now);
    m_context.retries.setNodes(m_context.members.count(), now);
    // A stopping node, and one that may be cut off from all others, takes no share of a server's limit.
    auto nodes = m_context.members.nodes();
    bool takesShare = !nodes.empty() && !m_context.isStopping();
    std::string self = takesShare ? m_context.settings.peers.toString() : std::string();
    m_context.balancer.limits().assignShares(nodes, self, now);
    m_context.balancer.warmups().assignShares(nodes, self, now);
}

void Gateway::reportAliveNodes()
{
    size_t alive = m_peers.aliveCount();
    m_context.metrics.set("nodes_alive", static_cast<double>(alive + 1));
    if (std::exchange(m_loggedAliveNodes, alive) != alive)
        m_context.log.write("nodes_alive", { { "others", alive }, { "divided_by", m_context.retries.nodes() } });
}

void Gateway::reportRetries()
{
    m_context.metrics.set("retry_share_divisor", m_context.retries.nodes());
    for (const RetryUse& use : m_context.retries.takeUses(m_context.now())) {
        std::string label = "{service=\"" + use.service + "\"}";
        m_context.metrics.count("retries_total" + label, use.retries);
        m_context.metrics.count("retries_refused_total" + label, use.refused);
        m_context.metrics.set("retries_remaining" + label, use.remaining);
        m_context.log.write("retry_share",
            { { "service", use.service }, { "first_sends", use.firstSends }, { "retries", use.retries },
                { "refused", use.refused }, { "remaining", use.remaining },
                { "divided_by", m_context.retries.nodes() } });
    }
}

} // namespace Kumquatpick
