#include "gateway/gateway.h"

#include <nlohmann/json.hpp>

// The part of Gateway that takes this node's share of limits that hold for all nodes together, and reports it.

namespace Kumquatpick {

// A stopping node takes no share of the limits, because the others no longer count it.
void Gateway::divideRateLimits()
{
    std::string self = m_context.isStopping() ? std::string() : m_context.settings.peers.toString();
    m_context.balancer.limits().assignShares(m_peers.nodesInZone({}), self, m_context.now());
    // A node that knows few others would take too many shares.
    if (!m_peers.knowsOthers())
        self.clear();
    m_context.balancer.warmups().assignShares(m_peers.nodesInZone({}), self, m_context.now());
}

void Gateway::divideRetries() { m_context.retries.setNodes(static_cast<uint32_t>(m_peers.aliveCount() + 1)); }

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
