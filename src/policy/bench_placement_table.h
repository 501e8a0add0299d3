#pragma once

#include "policy/bench_common.h"

#include <cstdint>

namespace Kumquatpick {

// Compares first fit with the weighed policy under two weightings, each with a fast and a slow weight store. The
// results are means over consecutive seeds from `firstSeed` on, with 30 simulated days per seed.
BenchTable benchPlacement(uint64_t firstSeed, uint32_t seeds);

} // namespace Kumquatpick
