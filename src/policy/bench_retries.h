#pragma once

#include "policy/bench_common.h"

namespace Kumquatpick {

// Measures the dispatches per request and the answers in time under partial outages and overload, with and without a
// retry budget.
BenchTable benchRetries(uint64_t seed);

} // namespace Kumquatpick
