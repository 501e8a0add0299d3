#pragma once

#include "base/clock.h"

#include <optional>

namespace Kumquatpick {

// Tracks the timeouts that the callers of a route set, to detect retries: a caller that was refused retries with the
// remaining part of its timeout. Timeouts also differ between callers, so their usual spread does not count as a
// retry.
//
// A comparison with the longest timeout alone classified two calls in three as retries where timeouts vary by 15%.
class RetryDetector {
public:
    // Records the timeout of a call. Returns whether it is too short for a first attempt by at least minDelay.
    bool classifyAsRetry(Milliseconds timeout, Milliseconds minDelay);

private:
    // Running quantile estimates. Each step up or down is weighted so that the estimate settles at its quantile.
    std::optional<double> m_median;
    std::optional<double> m_highQuantile;
};

} // namespace Kumquatpick
