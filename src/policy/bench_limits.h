#pragma once

#include "policy/bench_common.h"

namespace Kumquatpick {

// Simulates ten teams, one of which floods the service, over several entry nodes with delayed gossip, at 0.5 to 4
// times the capacity. Measures the answers in time, their distribution over the teams, and the recovery time.
BenchTable benchLimits(uint64_t seed);

} // namespace Kumquatpick
