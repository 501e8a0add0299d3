#include "tool/benchfamilies.h"

#include "coordination/figures.h"
#include "node/bench_membership.h"
#include "policy/bench_placement_table.h"
#include "tool/benchplanner.h"
#include "tool/table.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr size_t smallClusters[] = { 8, 40 };
    constexpr size_t largeClusters[] = { 8, 40, 80, 160, 320 };

    constexpr CoordinationSize smallStates[] = { { 60, 4, 1024 }, { 1'200, 8, 1024 } };
    constexpr CoordinationSize largeStates[] = { { 60, 4, 1024 }, { 1'200, 8, 1024 }, { 12'000, 8, 1024 } };

    constexpr uint32_t placementSeeds = 10;

    std::span<const CoordinationSize> states(const BenchOptions& options)
    {
        return options.large ? std::span<const CoordinationSize>(largeStates) : smallStates;
    }

    std::vector<BenchTable> runPolicyFamily(const BenchOptions& options) { return runPolicyBench(options.seed); }

    std::vector<BenchTable> runPlacementFamily(const BenchOptions& options)
    {
        return { benchPlacement(options.seed, placementSeeds) };
    }

    std::vector<BenchTable> runMembershipFamily(const BenchOptions& options)
    {
        std::span<const size_t> sizes = options.large ? std::span<const size_t>(largeClusters) : smallClusters;
        return runMembershipBench(options.seed, sizes);
    }

    std::string milliseconds(double seconds) { return fmt::format("{:.1f}", 1000 * seconds); }

    std::vector<BenchTable> runCoordinationFamily(const BenchOptions& options)
    {
        BenchTable table { "coordination: bytes of the agreed state",
            { "replicas", "hosts each", "slots", "claim record", "snapshot", "records of a snapshot" }, {} };
        for (const CoordinationSize& size : states(options)) {
            CoordinationFigures figures = measureCoordination(size);
            table.rows.push_back({ std::to_string(size.replicas), std::to_string(size.hostsPerReplica),
                std::to_string(size.slots), std::to_string(figures.claimRecordBytes),
                std::to_string(figures.snapshotBytes), std::to_string(figures.snapshotRecords) });
        }
        return { table };
    }

    constexpr BenchFamily families[] = {
        { "policy", "Routing, limits, retries and poisonous requests against their baselines.", runPolicyFamily },
        { "placement", "Thirty days of host and domain failures, by policy, weights and weight store.",
            runPlacementFamily },
        { "membership", "Gossip traffic, failure detection and the spread of a text, by number of nodes.",
            runMembershipFamily },
        { "coordination", "Bytes of the agreed state, by number of replicas.", runCoordinationFamily },
    };

}

std::span<const BenchFamily> benchFamilies() { return families; }

std::vector<BenchTable> benchTimings(const BenchOptions& options)
{
    BenchTable table { "timings of this machine, one thread: the agreed state",
        { "replicas", "hosts each", "decoded and folded/s", "folded/s", "snapshot ms", "restore ms", "copy ms",
            "round, settled ms", "round, empty ms", "round, domain dark ms" },
        {} };
    for (const CoordinationSize& size : states(options)) {
        CoordinationFigures figures = measureCoordination(size);
        table.rows.push_back({ std::to_string(size.replicas), std::to_string(size.hostsPerReplica),
            fmt::format("{:.0f}", figures.recordsPerSecond), fmt::format("{:.0f}", figures.appliesPerSecond),
            milliseconds(figures.snapshotSeconds), milliseconds(figures.restoreSeconds),
            milliseconds(figures.copySeconds), milliseconds(figures.reconcileUnchangedSeconds),
            milliseconds(figures.reconcileAllMissingSeconds), milliseconds(figures.reconcileFailedDomainSeconds) });
    }
    return { table, benchPlanner() };
}

std::string formatBench(std::span<const BenchTable> tables)
{
    std::string text;
    for (const BenchTable& table : tables)
        text += fmt::format("{}{}\n{}", text.empty() ? "" : "\n", table.family, formatTable(table.columns, table.rows));
    return text;
}

nlohmann::json benchToJson(std::span<const BenchTable> tables)
{
    nlohmann::json json = nlohmann::json::array();
    for (const BenchTable& table : tables)
        json.push_back({ { "family", table.family }, { "columns", table.columns }, { "rows", table.rows } });
    return json;
}

} // namespace Kumquatpick
