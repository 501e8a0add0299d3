#pragma once

#include "policy/bench_common.h"

namespace Kumquatpick {

// Counts the backend servers lost to requests that crash them, and the harmless requests that are held back, with and
// without poison request detection.
BenchTable benchPoison(uint64_t seed);

} // namespace Kumquatpick
