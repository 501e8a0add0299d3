#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

struct CandidateNode;

// A rate limit announced by a backend server, as the nodes pass it on to each other.
struct HostRateLimit {
    std::string hostId;
    std::optional<double> perSecond; // nullopt: the server has lifted its limit.
    Milliseconds age {}; // Time since the server's answer.
};

// How a limit is divided among nodes.
struct RateLimitPolicy {
    // A limit is shared by this many nodes plus some per request per second. Each sharer may accumulate one request, so
    // more sharers could exceed the limit in a burst; fewer would leave it unused while one of them has no calls.
    double minSharers = 2;
    double sharersPerRequest = 1;
    Milliseconds maxBurst { 500 }; // Time over which a node may accumulate tokens of a high limit.
    Milliseconds window { 4000 }; // Over which a server's limit holds.
};

// Rate limits announced by backend servers, each for all nodes together, and this node's share of them.
//
// Each limit is divided among a few live nodes chosen by rendezvous hashing; the other nodes send the server nothing.
// No coordination is needed before a send, and the total holds also in a large fleet, where one request from each node
// within a few seconds would exceed it. A node that is newly assigned a share starts with no tokens, so the total also
// holds while nodes start and stop or detect each other late.
//
// Limits are keyed by server incarnation and kept whether or not the server is listed or chosen. Not thread-safe. The
// caller passes the time in.
class RateLimits {
public:
    RateLimits() = default;
    explicit RateLimits(RateLimitPolicy policy)
        : m_policy(policy)
    {
    }

    // Applies the limit in an answer to a request that was sent at sentAt. Returns whether the known limit changed.
    // An answer without a limit lifts it only if its request was sent after the limit was last announced, because
    // answers may arrive out of order.
    bool applyAnswer(std::string_view hostId, std::optional<double> perSecond, MonotonicTime sentAt, MonotonicTime now);
    // Applies a limit reported by another node. Returns whether the known limit changed.
    bool applyPeerReport(const HostRateLimit&, MonotonicTime now);
    // Limits announced recently, to be passed on to other nodes.
    std::vector<HostRateLimit> recentLimits(MonotonicTime now) const;

    // Counts a request of any kind that is sent to the server.
    void recordSend(std::string_view hostId, MonotonicTime now);
    // Whether the limits allow a request to the server now.
    bool admits(std::string_view hostId, MonotonicTime now) const;
    // Reassigns the shares and drops limits that have not been announced for long. Call about once a second.
    void assignShares(std::span<const CandidateNode> nodes, std::string_view self, MonotonicTime now);

    // Requests per second that the server accepts from all nodes together; nullopt if it has no limit.
    std::optional<double> limitOf(std::string_view hostId) const;
    // Number of servers with a limit.
    size_t size() const;

private:
    struct Limit {
        std::optional<double> perSecond; // nullopt once it was lifted.
        MonotonicTime announcedAt {};
        bool hasShare = false;
        double share = 0; // Requests per second of this node.
        double tokens = 0; // Requests that this node may send, as of filledAt; negative while in debt.
        MonotonicTime filledAt {};
    };

    // Requests that this node sent in the last few seconds.
    struct RecentSends {
        static constexpr size_t buckets = 8;
        std::array<uint16_t, buckets> counts {};
        int64_t newest = 0; // Bucket number, counted from the clock's epoch.

        void advance(int64_t bucket);
    };

    double tokensAt(const Limit&, MonotonicTime now) const;
    size_t sharerCount(double perSecond, size_t nodes) const;
    double initialTokens(double recentSends, size_t nodes, size_t sharers, double share) const;
    bool updateLimit(Limit&, std::optional<double> perSecond, MonotonicTime announcedAt);
    double recentSendCount(std::string_view hostId, MonotonicTime now);

    RateLimitPolicy m_policy;
    std::map<std::string, Limit, std::less<>> m_limits; // By host.
    std::map<std::string, RecentSends, std::less<>> m_sends; // By host, including servers without a limit.
};

} // namespace Kumquatpick
