#pragma once

#include "base/clock.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Counters, gauges and latency histograms by name, printed in the Prometheus text format.
// Names carry their labels: `requests_total{outcome="answered"}`; the `kumquatpick_` prefix is added on printing.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void count(std::string_view nameWithLabels, uint64_t by = 1);
    void set(std::string_view nameWithLabels, double value);
    // Records seconds in logarithmic buckets from 0.1 ms to 100 s.
    void observe(std::string_view nameWithLabels, std::chrono::nanoseconds);

    // The value below which the given share (0..1) of the observations lie, in seconds; 0 if there are none.
    double quantile(std::string_view nameWithLabels, double share) const;

    std::string prometheusText() const;

private:
    struct Shard;
    static constexpr size_t shardCount = 16;
    Shard& shardOf(std::string_view name) const;

    std::unique_ptr<std::array<Shard, shardCount>> m_shards;
};

} // namespace Kumquatpick
