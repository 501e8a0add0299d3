#include "policy/bench_placement_table.h"

#include "policy/bench_placement.h"

#include <algorithm>
#include <fmt/format.h>
#include <span>
#include <tbb/parallel_for.h>
#include <tbb/task_arena.h>

namespace Kumquatpick {

namespace {

    struct PolicyVariant {
        std::string_view name;
        PlacementPolicy policy = PlacementPolicy::Weighed;
        double groupDowntimeWeight = 0.5;
        double strandedWeight = 0.5;
    };

    constexpr PolicyVariant policyVariants[] = {
        { "first fit", PlacementPolicy::FirstFit },
        { "weighed, downtime 0.8, stranded 0.2", PlacementPolicy::Weighed, 0.8, 0.2 },
        { "weighed, downtime 0.2, stranded 0.8", PlacementPolicy::Weighed, 0.2, 0.8 },
    };

    constexpr double hoursPerLoad[] = { 0.03, 0.08 };

    // Runs are independent; the limit leaves processors to other work on the machine.
    constexpr int runsAtOnce = 4;

    std::vector<PlacementRun> plannedRuns(uint64_t firstSeed, uint32_t seeds)
    {
        std::vector<PlacementRun> runs;
        for (double hours : hoursPerLoad) {
            for (const PolicyVariant& variant : policyVariants) {
                for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
                    PlacementRun run;
                    run.policy = variant.policy;
                    run.groupDowntimeWeight = variant.groupDowntimeWeight;
                    run.strandedWeight = variant.strandedWeight;
                    run.seed = seed;
                    run.hoursPerLoad = hours;
                    runs.push_back(run);
                }
            }
        }
        return runs;
    }

    double mean(std::span<const PlacementMetrics> figures, const auto& value)
    {
        double sum = 0;
        for (const PlacementMetrics& one : figures)
            sum += value(one);
        return figures.empty() ? 0 : sum / static_cast<double>(figures.size());
    }

    std::string cell(std::span<const PlacementMetrics> figures, double PlacementMetrics::*member)
    {
        return fmt::format("{:.1f}", mean(figures, [member](const PlacementMetrics& one) { return one.*member; }));
    }

    std::vector<std::string> row(double hours, const PolicyVariant& variant, std::span<const PlacementMetrics> figures)
    {
        double moves = mean(figures, [](const PlacementMetrics& one) { return static_cast<double>(one.moves); });
        return { fmt::format("{:.2f}", hours), std::string(variant.name),
            cell(figures, &PlacementMetrics::downReplicaHours), cell(figures, &PlacementMetrics::loadingHours),
            cell(figures, &PlacementMetrics::downBound), cell(figures, &PlacementMetrics::strandedHostHours),
            cell(figures, &PlacementMetrics::strandedBound), cell(figures, &PlacementMetrics::loadedHosts),
            fmt::format("{:.1f}", moves) };
    }

}

BenchTable benchPlacement(uint64_t firstSeed, uint32_t seeds)
{
    std::vector<PlacementRun> runs = plannedRuns(firstSeed, seeds);
    std::vector<PlacementMetrics> figures(runs.size());
    tbb::task_arena arena(runsAtOnce);
    arena.execute(
        [&] { tbb::parallel_for(size_t { 0 }, runs.size(), [&](size_t i) { figures[i] = runPlacement(runs[i]); }); });
    BenchTable table { fmt::format("placement: mean of {} seeds of 30 days", seeds),
        { "hours per load", "policy", "down replica h", "of which loading", "lower bound", "stranded host h",
            "lower bound", "loads", "moves" },
        {} };
    std::span<const PlacementMetrics> rest(figures);
    for (double hours : hoursPerLoad) {
        for (const PolicyVariant& variant : policyVariants) {
            table.rows.push_back(row(hours, variant, rest.first(seeds)));
            rest = rest.subspan(seeds);
        }
    }
    return table;
}

} // namespace Kumquatpick
