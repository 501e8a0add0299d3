#pragma once

#include "policy/bench_common.h"

namespace Kumquatpick {

// Compares time to first token, throughput and cache hits of ServiceRouter with random, round robin and least
// outstanding routing.
BenchTable benchRouting(uint64_t seed);
// Measures how evenly replicaSubset() spreads replicas over nodes at the target size.
BenchTable benchSubset(uint64_t seed);

} // namespace Kumquatpick
