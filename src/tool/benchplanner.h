#pragma once

#include "policy/bench_common.h"

namespace Kumquatpick {

// What a controller's plan takes of this machine, by number of hosts: while nothing changes, after one host changed,
// and the longest of a first plan.
BenchTable benchPlanner();

} // namespace Kumquatpick
