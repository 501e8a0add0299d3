#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

// One table of benchmark results with formatted cells, to be printed as text or JSON.
struct BenchTable {
    std::string family;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

// Compares routing, limits, retries and poison request detection with their baselines on the same seeded load, in a
// discrete-event simulation. The same seed gives the same results.
std::vector<BenchTable> runPolicyBench(uint64_t seed);

} // namespace Kumquatpick
