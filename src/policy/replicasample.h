#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace Kumquatpick {

// The data about one serving replica that the choice among replicas uses.
struct ReplicaSample {
    std::string replica;
    std::string zone;
    uint32_t streamLimit = 0; // Maximum concurrent requests, from the operators' configuration.
    // From the backend server's latest report, which is always delayed.
    uint32_t reportedRunning = 0;
    uint32_t reportedQueued = 0;
    double reportedCacheUsed = 0; // Used share of the KV cache, 0..1.
    MonotonicTime reportedAt {};
};

} // namespace Kumquatpick
