#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// How many requests may go to a second backend server, summed over all nodes.
struct RetryLimits {
    double ratio = 0.2; // Of the service's first sends.
    double allowance = 100; // On top, in each window.
    std::chrono::seconds window { 10 };
};

// This node's part of the fleet's limit on retries. Sliding windows by service: each node may repeat its share of
// its own first sends and an even share of the fixed allowance, so the sum keeps the limit without any messages.
class RetryAllowance {
public:
    // started: of this process. What the one before it repeated counts in the fleet's windows too, so the fixed
    // allowance grows from nothing over the first window.
    RetryAllowance(RetryLimits, MonotonicTime started);

    void setNodes(uint32_t liveNodes);
    void firstSend(std::string_view service, MonotonicTime now);
    // Counts a repeat if the limit allows it.
    bool takeRetry(std::string_view service, MonotonicTime now);
    // What could be taken now.
    double left(std::string_view service, MonotonicTime now);

private:
    struct Bucket {
        MonotonicTime begin;
        uint32_t firstSends = 0;
        uint32_t retries = 0;
    };
    using Window = std::deque<Bucket>;

    Window& windowOf(std::string_view service, MonotonicTime now);

    RetryLimits m_limits;
    MonotonicTime m_started;
    uint32_t m_nodes = 1;
    std::map<std::string, Window, std::less<>> m_services;
};

} // namespace Kumquatpick
