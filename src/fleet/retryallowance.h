#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Limits on requests that may be sent to a second backend server, summed over all nodes.
struct RetryLimits {
    double ratio = 0.2; // Share of the service's first sends.
    double allowance = 100; // Additional retries in each window.
    std::chrono::seconds window { 10 };
};

// What a node used of its share since the last report, and what it may still use.
struct RetryUse {
    std::string service;
    uint32_t firstSends = 0;
    uint32_t retries = 0;
    uint32_t refused = 0; // Retries that the share did not allow.
    double remaining = 0; // Retries that it allows now.
};

// This node's share of the fleet's limit on retries: a token bucket for each service, in which a retry costs a token.
// Each first send adds a fraction of a token, and each second adds this node's even share of the fixed allowance.
// Unused tokens expire soon.
//
// So the total keeps the limit, whatever becomes of nodes: a token arises once, at one node, and ends with its process.
// With a sliding window per node, callers that move to other nodes, and processes that start, would be given again what
// others have used in the same window.
class RetryAllowance {
public:
    // Unused tokens expire after this time. A window may begin with as many.
    static constexpr Milliseconds tokenLifetime { 2000 };

    // roundingPhase: uniform in [0, 1), so that nodes with few tokens do not all round at the same time.
    RetryAllowance(RetryLimits, double roundingPhase);

    // The nodes among which the fixed allowance is divided; nullopt while they are unknown, so that there is no share.
    void setNodes(std::optional<uint32_t> nodes, MonotonicTime now);
    void recordFirstSend(std::string_view service, MonotonicTime now);
    // Counts a retry and returns true if the limit allows it.
    bool takeRetry(std::string_view service, MonotonicTime now);
    // Of services with retries, allowed or not, since the last call.
    std::vector<RetryUse> takeUses(MonotonicTime now);
    // 0 while they are unknown.
    uint32_t nodes() const { return m_nodes.value_or(0); }

private:
    struct TokenSlot {
        MonotonicTime begin;
        double tokens = 0;
    };
    struct Service {
        std::deque<TokenSlot> slots; // Oldest first.
        MonotonicTime refilledUntil; // By the share of the fixed allowance.
        double rounding = 0; // Fractions of a token that were spent without a retry.
        RetryUse use; // Since the last report.
    };

    Service& serviceAt(std::string_view name, MonotonicTime now);
    void refill(Service&, MonotonicTime now);
    static void add(Service&, double tokens, MonotonicTime at);
    static double remaining(const Service&);
    static bool take(Service&);

    RetryLimits m_limits;
    double m_roundingPhase;
    std::optional<uint32_t> m_nodes;
    MonotonicTime m_nodesSetAt {}; // When their number changed.
    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace Kumquatpick
