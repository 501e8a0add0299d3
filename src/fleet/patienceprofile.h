#pragma once

#include "base/clock.h"

#include <optional>

namespace Kumquatpick {

// How long the callers of a route are ready to wait, and which of them have waited before: a caller that was refused
// comes back with what is left of its patience. Callers differ by themselves, so the usual spread counts as none.
//
// Taken against the longest patience alone, two calls in three counted as come back where patience varies by 15 in 100,
// and were treated so.
class PatienceProfile {
public:
    // A call came with this patience; whether it can't be a first try any more, by at least this delay.
    bool cameBack(Milliseconds patience, Milliseconds leastDelay);

private:
    // Quantiles that follow the calls, each by steps that balance at its share.
    std::optional<double> m_median;
    std::optional<double> m_top;
};

} // namespace Kumquatpick
