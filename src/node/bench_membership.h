#pragma once

#include "policy/bench_common.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Kumquatpick {

// Measures network traffic, failure-detection time and configuration propagation at each cluster size in a
// discrete-event simulation. In the baseline each node pings all others and decides alone. The same seed gives the
// same figures. Takes minutes at 320 nodes.
std::vector<BenchTable> runMembershipBench(uint64_t seed, std::span<const size_t> sizes);

} // namespace Kumquatpick
