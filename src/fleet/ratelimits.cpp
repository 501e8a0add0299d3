#include "fleet/ratelimits.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds bucketLength { 500 };
    // Enough gossip rounds to reach all nodes.
    constexpr Milliseconds gossipDuration { 3000 };
    constexpr size_t maxGossipedLimits = 64;
    // Longer than gossipDuration, so that no older report reinstates a lifted limit.
    constexpr Milliseconds liftedRetention { 10'000 };
    // A limit that is not announced again is dropped, because the nodes that share it may have no calls for the
    // server.
    constexpr Milliseconds staleRetention { 30'000 };

    int64_t bucketOf(MonotonicTime at) { return at.time_since_epoch() / bucketLength; }

}

size_t RateLimits::sharerCount(double perSecond, size_t nodes) const
{
    double wanted = std::max(1.0, std::floor(m_policy.minSharers + m_policy.sharersPerRequest * perSecond));
    return static_cast<size_t>(std::min(static_cast<double>(nodes), wanted));
}

// The sharers start in debt for the requests that all nodes sent before they knew of the limit, but none for more than
// the limit's window.
double RateLimits::initialTokens(double recentSends, size_t nodes, size_t sharers, double share) const
{
    double sentByAll = recentSends * static_cast<double>(nodes) / static_cast<double>(sharers);
    double owed = sentByAll - share * toSeconds(m_policy.window);
    double maxOwed = std::max(0.0, share * toSeconds(m_policy.window) - 1);
    return -std::clamp(owed, 0.0, maxOwed);
}

void RateLimits::RecentSends::advance(int64_t bucket)
{
    int64_t passed = std::clamp<int64_t>(bucket - newest, 0, buckets);
    for (int64_t i = 1; i <= passed; ++i)
        counts[static_cast<size_t>(bucket - passed + i) % buckets] = 0;
    newest = std::max(newest, bucket);
}

double RateLimits::tokensAt(const Limit& limit, MonotonicTime now) const
{
    double filled = limit.tokens + limit.share * std::max(0.0, toSeconds(now - limit.filledAt));
    return std::min(filled, std::max(1.0, limit.share * toSeconds(m_policy.maxBurst)));
}

bool RateLimits::updateLimit(Limit& limit, std::optional<double> perSecond, MonotonicTime reportedAt)
{
    limit.announcedAt = std::max(limit.announcedAt, reportedAt);
    if (limit.perSecond == perSecond)
        return false;
    bool isStillLimited = limit.perSecond && perSecond && *limit.perSecond > 0;
    if (isStillLimited) {
        limit.share *= *perSecond / *limit.perSecond; // Until the next assignShares().
    } else {
        limit.share = limit.tokens = 0;
        limit.hasShare = false;
    }
    limit.perSecond = perSecond;
    return true;
}

bool RateLimits::applyAnswer(
    std::string_view hostId, std::optional<double> perSecond, MonotonicTime sentAt, MonotonicTime now)
{
    auto found = m_limits.find(hostId);
    if (perSecond) {
        if (found == m_limits.end())
            found = m_limits.try_emplace(std::string(hostId)).first;
        return updateLimit(found->second, perSecond, now);
    }
    bool isLifted = found != m_limits.end() && found->second.perSecond && sentAt > found->second.announcedAt;
    return isLifted && updateLimit(found->second, std::nullopt, sentAt);
}

bool RateLimits::applyPeerReport(const HostRateLimit& remote, MonotonicTime now)
{
    MonotonicTime reportedAt = now - remote.age;
    auto found = m_limits.find(remote.hostId);
    if (found == m_limits.end()) {
        if (!remote.perSecond || remote.age > staleRetention)
            return false;
        found = m_limits.try_emplace(remote.hostId).first;
    }
    return reportedAt > found->second.announcedAt && updateLimit(found->second, remote.perSecond, reportedAt);
}

std::vector<HostRateLimit> RateLimits::recentLimits(MonotonicTime now) const
{
    std::vector<HostRateLimit> result;
    for (const auto& [hostId, limit] : m_limits) {
        if (now - limit.announcedAt <= gossipDuration)
            result.push_back({ hostId, limit.perSecond, std::chrono::ceil<Milliseconds>(now - limit.announcedAt) });
    }
    std::ranges::sort(result, {}, &HostRateLimit::age);
    result.resize(std::min(result.size(), maxGossipedLimits));
    return result;
}

void RateLimits::recordSend(std::string_view hostId, MonotonicTime now)
{
    auto found = m_sends.find(hostId);
    if (found == m_sends.end())
        found = m_sends.try_emplace(std::string(hostId)).first;
    RecentSends& sends = found->second;
    sends.advance(bucketOf(now));
    uint16_t& count = sends.counts[static_cast<size_t>(sends.newest) % RecentSends::buckets];
    if (count < std::numeric_limits<uint16_t>::max())
        ++count;
    auto limit = m_limits.find(hostId);
    if (limit == m_limits.end())
        return;
    limit->second.tokens = tokensAt(limit->second, now) - 1;
    limit->second.filledAt = now;
}

double RateLimits::recentSendCount(std::string_view hostId, MonotonicTime now)
{
    auto found = m_sends.find(hostId);
    if (found == m_sends.end())
        return 0;
    found->second.advance(bucketOf(now));
    return std::accumulate(found->second.counts.begin(), found->second.counts.end(), 0.0);
}

bool RateLimits::admits(std::string_view hostId, MonotonicTime now) const
{
    auto found = m_limits.find(hostId);
    return found == m_limits.end() || !found->second.perSecond || tokensAt(found->second, now) >= 1;
}

void RateLimits::assignShares(std::span<const CandidateNode> nodes, std::string_view self, MonotonicTime now)
{
    std::erase_if(m_limits, [&](const auto& entry) {
        return now - entry.second.announcedAt > (entry.second.perSecond ? staleRetention : liftedRetention);
    });
    std::erase_if(m_sends, [&](const auto& entry) {
        return bucketOf(now) - entry.second.newest >= static_cast<int64_t>(RecentSends::buckets);
    });
    for (auto& [hostId, limit] : m_limits) {
        if (!limit.perSecond)
            continue;
        auto sharers = chooseNodes(nodes, "rate-limit " + hostId, sharerCount(*limit.perSecond, nodes.size()));
        bool isSharer = std::ranges::find(sharers, self) != sharers.end();
        double share = isSharer ? *limit.perSecond / static_cast<double>(sharers.size()) : 0;
        limit.tokens = tokensAt(limit, now);
        limit.filledAt = now;
        if (isSharer && !limit.hasShare)
            limit.tokens = initialTokens(recentSendCount(hostId, now), nodes.size(), sharers.size(), share);
        else if (limit.share == 0 || !isSharer)
            limit.tokens = std::min(limit.tokens, 0.0);
        limit.share = share;
        limit.hasShare = true;
    }
}

std::optional<double> RateLimits::limitOf(std::string_view hostId) const
{
    auto found = m_limits.find(hostId);
    return found == m_limits.end() ? std::nullopt : found->second.perSecond;
}

size_t RateLimits::size() const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_limits, [](const auto& entry) { return entry.second.perSecond.has_value(); }));
}

} // namespace Kumquatpick
