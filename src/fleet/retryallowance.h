#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
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

// This node's share of the fleet's limit on retries. In a sliding window per service, each node may retry the ratio of
// its own first sends plus an even share of the fixed allowance, so the total keeps the limit without any messages.
class RetryAllowance {
public:
    // started: when this process started. Retries of the previous process still count in the fleet's windows, so the
    // fixed allowance ramps up from 0 over the first window.
    RetryAllowance(RetryLimits, MonotonicTime started);

    void setNodes(uint32_t liveNodes);
    void recordFirstSend(std::string_view service, MonotonicTime now);
    // Counts a retry and returns true if the limit allows it.
    bool takeRetry(std::string_view service, MonotonicTime now);
    // Retries that are allowed now.
    double remainingRetries(std::string_view service, MonotonicTime now);
    // Of services with retries, allowed or not, since the last call.
    std::vector<RetryUse> takeUses(MonotonicTime now);
    // Nodes among which the fixed allowance is divided.
    uint32_t nodes() const { return m_nodes; }

private:
    struct Bucket {
        MonotonicTime begin;
        uint32_t firstSends = 0;
        uint32_t retries = 0;
    };
    using Window = std::deque<Bucket>;

    Window& windowOf(std::string_view service, MonotonicTime now);
    RetryUse& useOf(std::string_view service);

    RetryLimits m_limits;
    MonotonicTime m_started;
    uint32_t m_nodes = 1;
    std::map<std::string, Window, std::less<>> m_services;
    std::map<std::string, RetryUse, std::less<>> m_uses; // Since the last report, by service.
};

} // namespace Kumquatpick
