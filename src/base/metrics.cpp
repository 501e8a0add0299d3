#include "base/metrics.h"

#include "base/hash.h"

#include <fmt/format.h>
#include <limits>

namespace Kumquatpick {

namespace {

    constexpr unsigned bucketCount = 30; // Five per decade.
    constexpr double lowestEdge = 1e-4; // Seconds.
    constexpr double highestEdge = 100;

    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Buckets = decltype(boost::histogram::make_histogram(LogAxis()));

    struct Latency {
        Buckets buckets = boost::histogram::make_histogram(LogAxis(bucketCount, lowestEdge, highestEdge));
        uint64_t count = 0;
        double sum = 0;
    };

    // The two parts of `requests_total{outcome="answered"}`; the labels are without braces.
    struct SplitName {
        std::string_view family;
        std::string_view labels;
    };

    SplitName split(std::string_view nameWithLabels)
    {
        auto brace = nameWithLabels.find('{');
        if (brace == std::string_view::npos)
            return { nameWithLabels, {} };
        std::string_view labels = nameWithLabels.substr(brace + 1);
        if (labels.ends_with('}'))
            labels.remove_suffix(1);
        return { nameWithLabels.substr(0, brace), labels };
    }

    uint64_t bucketValue(const Latency& latency, int index)
    {
        return static_cast<uint64_t>(double(latency.buckets.at(index)));
    }

    double upperEdge(const Latency& latency, int index)
    {
        if (index >= static_cast<int>(bucketCount))
            return std::numeric_limits<double>::infinity();
        return latency.buckets.axis().bin(index).upper();
    }

    // The text format requires all lines of a family together under one TYPE line.
    using Families = std::map<std::string, std::string, std::less<>>;

    std::string& familyText(Families& families, std::string_view family, std::string_view type)
    {
        auto [found, isNew] = families.try_emplace(std::string(family));
        if (isNew)
            found->second = fmt::format("# TYPE kumquatpick_{} {}\n", family, type);
        return found->second;
    }

    template <typename Value>
    void printSimple(Families& families, std::string_view nameWithLabels, std::string_view type, Value value)
    {
        std::string& text = familyText(families, split(nameWithLabels).family, type);
        text += fmt::format("kumquatpick_{} {}\n", nameWithLabels, value);
    }

    // Observations below the lowest edge count in the first bucket, those above the highest only in +Inf.
    void printLatency(Families& families, std::string_view nameWithLabels, const Latency& latency)
    {
        auto [family, labels] = split(nameWithLabels);
        std::string& text = familyText(families, family, "histogram");
        std::string_view comma = labels.empty() ? "" : ",";
        uint64_t cumulative = bucketValue(latency, -1);
        for (int index = 0; index < static_cast<int>(bucketCount); ++index) {
            cumulative += bucketValue(latency, index);
            text += fmt::format("kumquatpick_{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", family, labels, comma,
                upperEdge(latency, index), cumulative);
        }
        text += fmt::format("kumquatpick_{}_bucket{{{}{}le=\"+Inf\"}} {}\n", family, labels, comma, latency.count);
        std::string braced = labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
        text += fmt::format("kumquatpick_{}_sum{} {}\n", family, braced, latency.sum);
        text += fmt::format("kumquatpick_{}_count{} {}\n", family, braced, latency.count);
    }

    template <typename Map> typename Map::mapped_type& entry(Map& map, std::string_view name)
    {
        auto found = map.find(name);
        if (found == map.end())
            found = map.try_emplace(std::string(name)).first;
        return found->second;
    }

}

struct Metrics::Shard {
    std::mutex mutex;
    std::map<std::string, uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, Latency, std::less<>> latencies;
};

Metrics::Metrics()
    : m_shards(std::make_unique<std::array<Shard, shardCount>>())
{
}

Metrics::~Metrics() = default;

Metrics::Shard& Metrics::shardOf(std::string_view name) const { return (*m_shards)[hash64(name) % shardCount]; }

void Metrics::count(std::string_view nameWithLabels, uint64_t by)
{
    Shard& shard = shardOf(nameWithLabels);
    std::lock_guard lock(shard.mutex);
    entry(shard.counters, nameWithLabels) += by;
}

void Metrics::set(std::string_view nameWithLabels, double value)
{
    Shard& shard = shardOf(nameWithLabels);
    std::lock_guard lock(shard.mutex);
    entry(shard.gauges, nameWithLabels) = value;
}

void Metrics::observe(std::string_view nameWithLabels, std::chrono::nanoseconds duration)
{
    double seconds = toSeconds(duration);
    Shard& shard = shardOf(nameWithLabels);
    std::lock_guard lock(shard.mutex);
    Latency& latency = entry(shard.latencies, nameWithLabels);
    latency.buckets(seconds);
    ++latency.count;
    latency.sum += seconds;
}

// Interpolates inside the bucket; values outside the edges are clamped to the edge.
double Metrics::quantile(std::string_view nameWithLabels, double share) const
{
    Shard& shard = shardOf(nameWithLabels);
    std::lock_guard lock(shard.mutex);
    auto found = shard.latencies.find(nameWithLabels);
    if (found == shard.latencies.end())
        return 0;
    const Latency& latency = found->second;
    double rank = share * static_cast<double>(latency.count);
    auto below = static_cast<double>(bucketValue(latency, -1));
    if (rank <= below)
        return lowestEdge;
    for (int index = 0; index < static_cast<int>(bucketCount); ++index) {
        auto inside = static_cast<double>(bucketValue(latency, index));
        if (inside > 0 && rank <= below + inside) {
            auto bin = latency.buckets.axis().bin(index);
            return bin.lower() + (bin.upper() - bin.lower()) * (rank - below) / inside;
        }
        below += inside;
    }
    return highestEdge;
}

std::string Metrics::prometheusText() const
{
    Families families;
    for (Shard& shard : *m_shards) {
        std::lock_guard lock(shard.mutex);
        for (const auto& [name, value] : shard.counters)
            printSimple(families, name, "counter", value);
        for (const auto& [name, value] : shard.gauges)
            printSimple(families, name, "gauge", value);
        for (const auto& [name, latency] : shard.latencies)
            printLatency(families, name, latency);
    }
    std::string text;
    for (const auto& [family, lines] : families)
        text += lines;
    return text;
}

} // namespace Kumquatpick
