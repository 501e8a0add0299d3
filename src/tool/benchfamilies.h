#pragma once

#include "policy/bench_common.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

struct BenchOptions {
    uint64_t seed = 1;
    bool large = false; // The sizes of the target; takes minutes.
};

// A part of the system whose decisions can be measured here: in event time, or by counting bytes. The same options
// give the same tables.
struct BenchFamily {
    std::string_view name;
    std::string_view summary;
    std::vector<BenchTable> (*run)(const BenchOptions&);
};

std::span<const BenchFamily> benchFamilies();

// Processor times of this machine, which differ from run to run. Apart from the families for that reason.
std::vector<BenchTable> benchTimings(const BenchOptions&);

std::string formatBench(std::span<const BenchTable>);
nlohmann::json benchToJson(std::span<const BenchTable>);

} // namespace Kumquatpick
