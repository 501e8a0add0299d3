#include "node/bench_membership.h"

#include "node/simulation.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <string>
#include <tbb/parallel_for.h>
#include <tbb/task_arena.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds settleTime { 15'000 };
    constexpr Milliseconds trafficTime { 10'000 };
    constexpr Milliseconds detectionTime { 30'000 };
    constexpr Milliseconds propagationTime { 10'000 };
    constexpr Milliseconds logLongPoll { 2'000 };
    constexpr size_t nodesPerZone = 15;
    constexpr size_t maxZones = 21;
    constexpr size_t maxRegions = 6;
    constexpr size_t publicationCount = 3;

    using Detection = SimulationOptions::Detection;

    SimulationOptions optionsFor(size_t nodes, uint64_t seed)
    {
        SimulationOptions options;
        options.nodes = nodes;
        options.zones = std::clamp<size_t>(nodes / nodesPerZone, 3, maxZones);
        options.regions = std::clamp<size_t>(options.zones / 3, 1, maxRegions);
        options.seed = seed;
        return options;
    }

    double quantile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::ranges::sort(values);
        return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
    }

    std::string_view label(Detection detection) { return detection == Detection::Swim ? "gossip" : "single observer"; }

    using Row = std::vector<std::string>;

    // The runs are independent. The limit leaves CPU time for other processes on the machine.
    constexpr int maxParallelRuns = 4;

    std::vector<Row> runParallel(const std::vector<std::function<Row()>>& runs)
    {
        std::vector<Row> rows(runs.size());
        tbb::task_arena arena(maxParallelRuns);
        arena.execute([&] { tbb::parallel_for(size_t { 0 }, runs.size(), [&](size_t i) { rows[i] = runs[i](); }); });
        return rows;
    }

    // Kilobytes per second sent by a node: the average over all nodes and the maximum.
    struct Traffic {
        double mean = 0;
        double highest = 0;
    };

    Traffic measureTraffic(const SimulationOptions& options)
    {
        MembershipSimulation simulation(options);
        simulation.run(settleTime);
        std::vector<uint64_t> before;
        for (size_t i = 0; i < options.nodes; ++i)
            before.push_back(simulation.bytesSent(i));
        simulation.run(trafficTime);
        Traffic traffic;
        double scale = 1 / (1000.0 * toSeconds(trafficTime));
        for (size_t i = 0; i < options.nodes; ++i) {
            double rate = static_cast<double>(simulation.bytesSent(i) - before[i]) * scale;
            traffic.mean += rate / static_cast<double>(options.nodes);
            traffic.highest = std::max(traffic.highest, rate);
        }
        return traffic;
    }

    // Slope of the least-squares line through the points.
    double slope(const std::vector<std::pair<double, double>>& points)
    {
        double count = static_cast<double>(points.size());
        double sumX = 0;
        double sumY = 0;
        double sumXx = 0;
        double sumXy = 0;
        for (const auto& [x, y] : points) {
            sumX += x;
            sumY += y;
            sumXx += x * x;
            sumXy += x * y;
        }
        double denominator = count * sumXx - sumX * sumX;
        return denominator == 0 ? 0 : (count * sumXy - sumX * sumY) / denominator;
    }

    BenchTable trafficTable(uint64_t seed, std::span<const size_t> sizes)
    {
        BenchTable table { "membership: kilobytes per second sent by each node",
            { "nodes", "zones", "way", "mean", "busiest" }, {} };
        std::vector<std::function<Row()>> runs;
        std::vector<std::pair<double, double>> points(sizes.size());
        for (Detection detection : { Detection::Swim, Detection::SingleObserver }) {
            for (size_t i = 0; i < sizes.size(); ++i) {
                SimulationOptions options = optionsFor(sizes[i], seed);
                options.detection = detection;
                runs.emplace_back([options, i, &points]() -> Row {
                    Traffic traffic = measureTraffic(options);
                    if (options.detection == Detection::Swim)
                        points[i] = { static_cast<double>(options.nodes), traffic.mean * 1000 };
                    return { fmt::format("{}", options.nodes), fmt::format("{}", options.zones),
                        std::string(label(options.detection)), fmt::format("{:.2f}", traffic.mean),
                        fmt::format("{:.2f}", traffic.highest) };
                });
            }
        }
        table.rows = runParallel(runs);
        table.rows.push_back({ "", "", "gossip, bytes per additional node", fmt::format("{:.1f}", slope(points)), "" });
        return table;
    }

    struct Scenario {
        std::string_view name;
        double loss = 0;
        double delayed = 0;
        bool pauses = false;
    };

    constexpr Scenario scenarios[] = {
        { "quiet" },
        { "5% of messages lost", 0.05 },
        { "5% of messages 2 s late", 0, 0.05 },
        { "10 s pauses", 0, 0, true },
    };

    // Kills one node in twenty. A scenario with pauses first suspends as many other nodes for ten seconds.
    void runScenario(MembershipSimulation& simulation, const Scenario& scenario, size_t victims)
    {
        simulation.run(settleTime);
        if (scenario.pauses) {
            for (size_t i = 0; i < victims; ++i)
                simulation.pause(simulation.size() - 1 - i, Milliseconds(10'000));
            simulation.run(detectionTime);
        }
        for (size_t i = 0; i < victims; ++i)
            simulation.kill(i);
        simulation.run(detectionTime);
    }

    Row detectionRow(const SimulationOptions& options, const Scenario& scenario)
    {
        size_t victims = std::max<size_t>(1, options.nodes / 20);
        MembershipSimulation simulation(options);
        runScenario(simulation, scenario, victims);
        double killedAt = toSeconds(simulation.now() - detectionTime);
        std::vector<double> seconds;
        size_t falseVerdicts = 0;
        size_t pausedTargets = 0;
        size_t resumedTargets = 0;
        for (const SimulatedVerdict& verdict : simulation.verdicts()) {
            if (verdict.targetDied)
                seconds.push_back(toSeconds(verdict.at) - killedAt);
            else
                ++(verdict.targetPaused ? pausedTargets : verdict.targetResumed ? resumedTargets : falseVerdicts);
        }
        size_t missed = 0;
        for (size_t observer = victims; observer < options.nodes; ++observer) {
            for (size_t target = 0; target < victims; ++target)
                missed += simulation.liveness(observer, target) < Liveness::Dead;
        }
        return { fmt::format("{}", options.nodes), std::string(scenario.name), std::string(label(options.detection)),
            fmt::format("{:.1f}", quantile(seconds, 0.5)), fmt::format("{:.1f}", quantile(seconds, 0.99)),
            fmt::format("{}", missed), fmt::format("{}", simulation.falseSuspicions()),
            fmt::format("{}", falseVerdicts), fmt::format("{}", pausedTargets), fmt::format("{}", resumedTargets) };
    }

    BenchTable detectionTable(uint64_t seed, std::span<const size_t> sizes)
    {
        BenchTable table { "membership: seconds until a dead node is detected, one sample per observer",
            { "nodes", "scenario", "way", "p50", "p99", "missed", "false suspicions", "false verdicts", "on paused",
                "on resumed" },
            {} };
        std::vector<std::function<Row()>> runs;
        for (const Scenario& scenario : scenarios) {
            for (size_t nodes : sizes) {
                for (Detection detection : { Detection::Swim, Detection::SingleObserver }) {
                    SimulationOptions options = optionsFor(nodes, seed);
                    options.detection = detection;
                    options.loss = scenario.loss;
                    options.delayed = scenario.delayed;
                    runs.emplace_back([options, &scenario] { return detectionRow(options, scenario); });
                }
            }
        }
        table.rows = runParallel(runs);
        return table;
    }

    std::vector<double> gossipPropagationDelays(const SimulationOptions& options, size_t& unreached)
    {
        MembershipSimulation simulation(options);
        simulation.run(settleTime);
        std::vector<double> seconds;
        for (size_t i = 0; i < publicationCount; ++i) {
            Offset version = 2 + i;
            double publishedAt = toSeconds(simulation.now());
            simulation.publish(i % options.nodes, version);
            simulation.run(propagationTime);
            for (size_t node = 0; node < options.nodes; ++node) {
                auto adoptedTime = simulation.adoptedAt(node, version);
                if (node == i % options.nodes)
                    continue;
                if (adoptedTime)
                    seconds.push_back(toSeconds(*adoptedTime) - publishedAt);
                else
                    ++unreached;
            }
        }
        return seconds;
    }

    // Models the delay of a log reader, as the simulation does not include the log. When a record is published, the
    // reader's long poll is either waiting at the log or in transit. In the second case the next poll reads the record.
    std::vector<double> logPropagationDelays(const SimulationOptions& options)
    {
        constexpr double sameRegionLatency = 0.0018;
        constexpr double otherRegionLatency = 0.09;
        Random random(options.seed);
        std::vector<double> seconds;
        for (size_t i = 0; i < options.nodes * publicationCount; ++i) {
            double latency = i % options.zones % options.regions == 0 ? sameRegionLatency : otherRegionLatency;
            double wait = toSeconds(logLongPoll);
            double phase = std::uniform_real_distribution<double>(0, wait + 2 * latency)(random);
            double untilWaiting = std::max(0.0, phase - wait);
            seconds.push_back(untilWaiting + latency);
        }
        return seconds;
    }

    Row propagationRow(size_t nodes, std::string_view method, const std::vector<double>& seconds, size_t unreached)
    {
        double period = toSeconds(GossipOptions {}.period);
        double highest = seconds.empty() ? 0 : std::ranges::max(seconds);
        return { fmt::format("{}", nodes), std::string(method), fmt::format("{:.3f}", quantile(seconds, 0.5)),
            fmt::format("{:.3f}", quantile(seconds, 0.99)), fmt::format("{:.3f}", highest),
            fmt::format("{:.1f}", highest / period), fmt::format("{}", unreached) };
    }

    Row gossipPropagationRow(const SimulationOptions& options, std::string_view method)
    {
        size_t unreached = 0;
        std::vector<double> seconds = gossipPropagationDelays(options, unreached);
        return propagationRow(options.nodes, method, seconds, unreached);
    }

    BenchTable propagationTable(uint64_t seed, std::span<const size_t> sizes)
    {
        BenchTable table { "membership: seconds until another node has a newly accepted configuration",
            { "nodes", "way", "p50", "p99", "last", "last in rounds", "unreached" }, {} };
        std::vector<std::function<Row()>> runs;
        for (size_t nodes : sizes) {
            SimulationOptions options = optionsFor(nodes, seed);
            runs.emplace_back([options] {
                return propagationRow(options.nodes, "log, long poll (model)", logPropagationDelays(options), 0);
            });
            runs.emplace_back([options] { return gossipPropagationRow(options, "gossip, log down"); });
            options.loss = 0.05;
            runs.emplace_back([options] { return gossipPropagationRow(options, "gossip, log down, 5% lost"); });
        }
        table.rows = runParallel(runs);
        return table;
    }

}

std::vector<BenchTable> runMembershipBench(uint64_t seed, std::span<const size_t> sizes)
{
    return { trafficTable(seed, sizes), detectionTable(seed, sizes), propagationTable(seed, sizes) };
}

} // namespace Kumquatpick
