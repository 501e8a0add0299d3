#include "policy/bench_common.h"

#include "policy/bench_limits.h"
#include "policy/bench_poison.h"
#include "policy/bench_retries.h"
#include "policy/bench_routing.h"

namespace Kumquatpick {

std::vector<BenchTable> runPolicyBench(uint64_t seed)
{
    return { benchRouting(seed), benchSubset(seed), benchLimits(seed), benchRetries(seed), benchPoison(seed) };
}

} // namespace Kumquatpick
