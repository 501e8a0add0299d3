#include "fleet/warmuplimits.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Kumquatpick {

namespace {

    // Of the rate and of the bound: the rest covers requests that travel for different times and shares that move.
    constexpr double usedShare = 0.8;
    // Within this time a lost node may turn out to be alive behind a partition.
    constexpr std::chrono::seconds lostNodeRetention { 30 };
    // A longer time is no warm-up but a faulty report.
    constexpr std::chrono::minutes maxWarmup { 10 };
    constexpr Milliseconds boundWindow { 1000 };

    // In a second each sharer sends at most the one request that it has at hand and its share.
    RateLimitPolicy policyFor(const WarmupBound& bound)
    {
        return { .minSharers = usedShare * bound.allowance,
            .sharersPerRequest = std::max(0.0, bound.overrun - 1),
            .maxBurst = Milliseconds(0),
            .window = boundWindow };
    }

}

WarmupLimits::WarmupLimits(WarmupBound bound)
    : m_limits(policyFor(bound))
{
}

void WarmupLimits::setRate(const std::string& service, double perSecond, MonotonicTime now)
{
    m_rates[service] = std::isfinite(perSecond) ? std::max(0.0, perSecond) : 0;
    for (const auto& [hostId, server] : m_servers) {
        if (server.service == service && server.isCold(now))
            limit(hostId, server, now);
    }
}

WarmupLimits::ColdServer& WarmupLimits::coldServer(std::string_view hostId, std::string_view service)
{
    auto found = m_servers.find(hostId);
    if (found == m_servers.end())
        found = m_servers.emplace(std::string(hostId), ColdServer {}).first;
    found->second.service = service;
    return found->second;
}

bool WarmupLimits::reportCold(std::string_view hostId, std::string_view service, Milliseconds left, MonotonicTime now)
{
    bool wasCold = isCold(hostId, now);
    if (left <= Milliseconds(0) && !m_servers.contains(hostId))
        return false;
    ColdServer& server = coldServer(hostId, service);
    server.reportedUntil = now + std::clamp<Milliseconds>(left, Milliseconds(0), maxWarmup);
    if (server.isCold(now))
        limit(std::string(hostId), server, now);
    return wasCold != server.isCold(now);
}

void WarmupLimits::assumeCold(std::string_view hostId, std::string_view service, Milliseconds left, MonotonicTime now)
{
    if (left <= Milliseconds(0))
        return;
    ColdServer& server = coldServer(hostId, service);
    server.assumedUntil = now + std::min<Milliseconds>(left, maxWarmup);
    limit(std::string(hostId), server, now);
}

void WarmupLimits::limit(const std::string& hostId, const ColdServer& server, MonotonicTime now)
{
    auto rate = m_rates.find(server.service);
    bool isLimited = rate != m_rates.end() && rate->second > 0;
    m_limits.applyAnswer(hostId, isLimited ? std::optional(usedShare * rate->second) : std::nullopt, now, now);
}

bool WarmupLimits::isCold(std::string_view hostId, MonotonicTime now) const
{
    auto found = m_servers.find(hostId);
    return found != m_servers.end() && found->second.isCold(now);
}

bool WarmupLimits::admits(std::string_view hostId, MonotonicTime now) const
{
    return !isCold(hostId, now) || m_limits.admits(hostId, now);
}

void WarmupLimits::recordSend(std::string_view hostId, MonotonicTime now) { m_limits.recordSend(hostId, now); }

void WarmupLimits::assignShares(std::span<const CandidateNode> liveNodes, std::string_view self, MonotonicTime now)
{
    for (const CandidateNode& node : liveNodes)
        m_nodes.insert_or_assign(node.address, now);
    std::erase_if(m_nodes, [&](const auto& entry) { return now - entry.second > lostNodeRetention; });
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        if (entry->second.isCold(now)) {
            limit(entry->first, entry->second, now); // Keeps it from being dropped as outdated.
            ++entry;
        } else {
            m_limits.applyAnswer(entry->first, std::nullopt, now, now);
            entry = m_servers.erase(entry);
        }
    }
    // All with the same CPU share: each node has calls of its own, and those of a few large nodes would not fill the
    // budget.
    std::vector<CandidateNode> nodes;
    for (const auto& [address, aliveAt] : m_nodes) {
        if (!m_servers.empty())
            nodes.push_back({ address, 1 });
    }
    m_limits.assignShares(nodes, self, now); // Without cold servers, it only drops old counts of requests.
}

} // namespace Kumquatpick
