#include "policy/bench_routing.h"

#include "policy/bench_model.h"
#include "policy/servicerouter.h"
#include "policy/subset.h"

#include <cmath>
#include <fmt/format.h>
#include <memory>
#include <variant>

namespace Kumquatpick {

namespace {

    constexpr uint32_t replicaCount = 60;
    constexpr uint32_t nodeCount = 7;
    constexpr uint32_t zoneCount = 3;
    constexpr uint32_t streamLimit = 16;
    constexpr double measuredFrom = 60;
    constexpr double measuredUntil = 180;
    constexpr double reportPeriod = 1;
    constexpr uint32_t conversations = 3000;
    constexpr uint32_t templates = 40; // System prompts shared by conversations.
    constexpr size_t templateDepth = 3;
    constexpr size_t promptDepth = 7;
    constexpr double promptSeconds = 0.6;
    constexpr double fixedSeconds = 0.06;
    constexpr double answerSeconds = 2.5;
    // Streams share a replica's speed: at the limit it does limit / (1 + slowdownPerStream * (limit - 1)) seconds of
    // work per second.
    constexpr double fullRate = streamLimit / (1 + 0.08 * (streamLimit - 1));

    struct Scenario {
        std::string name;
        double load = 0.7; // Relative to the work of all replicas at the stream limit without any cache.
        uint32_t slow = 0; // Replicas at a fifth of the normal speed.
        uint32_t underreporting = 0; // Replicas at half speed that report no load.
        bool withFeaturesDisabled = false; // Also measures ServiceRouter with single features disabled.
    };

    struct RandomChoice { };
    struct RoundRobin {
        uint32_t next = 0;
    };
    struct LeastOutstanding {
        std::vector<uint32_t> inFlight = std::vector<uint32_t>(replicaCount);
    };
    using Chooser = std::variant<RandomChoice, RoundRobin, LeastOutstanding, ServiceRouter>;

    using MakeChooser = std::function<Chooser()>;

    std::string replicaName(uint32_t index) { return fmt::format("r{:02}", index); }
    uint32_t replicaIndex(std::string_view name) { return uint32_t(name[1] - '0') * 10 + uint32_t(name[2] - '0'); }
    std::string zoneName(uint32_t index) { return fmt::format("z{}", index % zoneCount); }

    // Chooses a replica with each algorithm, using only data that a node has.
    struct Choose {
        const RequestShape& shape;
        MonotonicTime now;
        Random& random;

        uint32_t operator()(RandomChoice&) const { return uint32_t(random() % replicaCount); }
        uint32_t operator()(RoundRobin& chooser) const { return chooser.next++ % replicaCount; }
        uint32_t operator()(LeastOutstanding& chooser) const
        {
            auto first = uint32_t(random() % replicaCount);
            uint32_t best = first;
            for (uint32_t step = 1; step < replicaCount; ++step) {
                uint32_t index = (first + step) % replicaCount;
                if (chooser.inFlight[index] < chooser.inFlight[best])
                    best = index;
            }
            ++chooser.inFlight[best];
            return best;
        }
        uint32_t operator()(ServiceRouter& router) const { return replicaIndex(router.choose(shape, now, random)); }
    };

    struct RoutingOutcome {
        std::vector<double> firstTokens;
        uint32_t finished = 0;
        double hitRatioSum = 0;
        double sameZone = 0;
    };

    class RoutingRun {
    public:
        RoutingRun(Scenario scenario, const MakeChooser& makeChooser, uint64_t seed)
            : m_scenario(std::move(scenario))
            , m_random(seed)
            , m_choices(seed + 1)
            , m_load(seed + 2)
            , m_samples(replicaCount)
        {
            for (uint32_t index = 0; index < replicaCount; ++index)
                addReplica(index);
            for (uint32_t node = 0; node < nodeCount; ++node)
                m_nodes.push_back(makeChooser());
        }

        RoutingOutcome run()
        {
            for (uint32_t node = 0; node < nodeCount; ++node)
                report(node, uniform(m_random, 0, reportPeriod));
            arrive();
            m_events.runUntil(measuredUntil);
            return std::move(m_outcome);
        }

    private:
        struct InFlight {
            uint32_t node = 0;
            uint32_t replica = 0;
            double dispatched = 0;
        };

        bool isSlow(uint32_t index) const { return index < m_scenario.slow; }
        bool underreports(uint32_t index) const { return index >= replicaCount - m_scenario.underreporting; }
        bool measured() const { return m_events.now() >= measuredFrom; }

        void addReplica(uint32_t index)
        {
            ModelReplica::Settings settings;
            settings.streamLimit = streamLimit;
            if (isSlow(index))
                settings.speed = 0.2;
            if (underreports(index))
                settings.speed = 0.5;
            ModelReplica::Callbacks callbacks;
            callbacks.firstToken = [this](uint64_t id, double hitRatio) { firstToken(id, hitRatio); };
            callbacks.finished = [this](uint64_t id) { finished(id); };
            callbacks.cacheChanged
                = [this, index](uint64_t prefix, bool stored) { cacheChanged(index, prefix, stored); };
            m_replicas.push_back(std::make_unique<ModelReplica>(m_events, settings, callbacks));
            m_samples[index] = { replicaName(index), zoneName(index), streamLimit, 0, 0, 0, EventQueue::timeAt(0) };
        }

        // Nodes receive reports periodically and with a delay.
        void report(uint32_t node, double delay)
        {
            m_events.after(delay, [this, node] {
                std::vector<ReplicaSample> samples = m_samples;
                for (uint32_t index = 0; index < replicaCount; ++index) {
                    samples[index].reportedAt = m_events.time();
                    samples[index].reportedRunning = underreports(index) ? 0 : m_replicas[index]->running();
                    samples[index].reportedQueued = underreports(index) ? 0 : m_replicas[index]->queued();
                }
                double lag = uniform(m_random, 0.3, 1.2);
                m_events.after(lag, [this, node, samples = std::move(samples)] {
                    if (auto* router = std::get_if<ServiceRouter>(&m_nodes[node]))
                        router->setServing(samples);
                });
                report(node, reportPeriod);
            });
        }

        void cacheChanged(uint32_t index, uint64_t prefix, bool stored)
        {
            for (uint32_t node = 0; node < nodeCount; ++node) {
                auto* router = std::get_if<ServiceRouter>(&m_nodes[node]);
                if (!router)
                    return;
                bool lost = uniform(m_random, 0, 1) < 0.05;
                bool gapSeen = lost && uniform(m_random, 0, 1) < 0.1;
                if (lost && !gapSeen)
                    continue;
                m_events.after(uniform(m_random, 0.5, 3), [router, index, prefix, stored, gapSeen] {
                    router->cacheEvent({ replicaName(index), prefix, stored, gapSeen });
                });
            }
        }

        void arrive()
        {
            double perSecond
                = m_scenario.load * replicaCount * fullRate / (fixedSeconds + promptSeconds + answerSeconds);
            m_events.after(exponential(m_load, 1 / perSecond), [this] {
                dispatch(nextRequest());
                arrive();
            });
        }

        // Some conversations send far more requests than others. Each starts with one of the shared templates.
        ModelRequest nextRequest()
        {
            auto conversation = uint32_t(conversations * std::pow(uniform(m_load, 0, 1), 2));
            uint32_t shared = conversation % templates;
            ModelRequest request;
            request.id = ++m_lastId;
            for (size_t depth = 0; depth < promptDepth; ++depth) {
                uint64_t owner = depth < templateDepth ? shared : templates + conversation;
                request.prefixes.push_back(owner * 16 + depth + 1);
            }
            request.promptSeconds = promptSeconds;
            request.fixedSeconds = fixedSeconds;
            request.answerSeconds = exponential(m_load, answerSeconds);
            return request;
        }

        void dispatch(ModelRequest request)
        {
            auto node = uint32_t(m_load() % nodeCount);
            std::string zone = zoneName(node);
            RequestShape shape { "model", zone, request.prefixes, {} };
            uint32_t replica = std::visit(Choose { shape, m_events.time(), m_choices }, m_nodes[node]);
            m_inFlight[request.id] = { node, replica, m_events.now() };
            m_replicas[replica]->start(std::move(request));
        }

        void firstToken(uint64_t id, double hitRatio)
        {
            const InFlight& inFlight = m_inFlight[id];
            double seconds = m_events.now() - inFlight.dispatched;
            if (auto* router = std::get_if<ServiceRouter>(&m_nodes[inFlight.node]))
                router->firstToken(replicaName(inFlight.replica), nanoseconds(seconds), m_events.time());
            if (!measured())
                return;
            m_outcome.firstTokens.push_back(seconds);
            m_outcome.hitRatioSum += hitRatio;
            m_outcome.sameZone += zoneName(inFlight.node) == zoneName(inFlight.replica);
        }

        void finished(uint64_t id)
        {
            InFlight inFlight = m_inFlight[id];
            m_inFlight.erase(id);
            if (auto* router = std::get_if<ServiceRouter>(&m_nodes[inFlight.node]))
                router->ended(replicaName(inFlight.replica), DispatchEnd::Finished, m_events.time());
            if (auto* chooser = std::get_if<LeastOutstanding>(&m_nodes[inFlight.node]))
                --chooser->inFlight[inFlight.replica];
            if (measured())
                ++m_outcome.finished;
        }

        Scenario m_scenario;
        EventQueue m_events;
        Random m_random;
        Random m_choices;
        Random m_load; // A separate generator, so that all algorithms get the same requests.
        std::vector<Chooser> m_nodes;
        std::vector<std::unique_ptr<ModelReplica>> m_replicas;
        std::vector<ReplicaSample> m_samples;
        std::unordered_map<uint64_t, InFlight> m_inFlight;
        uint64_t m_lastId = 0;
        RoutingOutcome m_outcome;
    };

    MakeChooser router(RouterSettings settings)
    {
        return [settings] {
            std::vector<ReplicaSample> idle;
            for (uint32_t index = 0; index < replicaCount; ++index)
                idle.push_back({ replicaName(index), zoneName(index), streamLimit, 0, 0, 0, EventQueue::timeAt(0) });
            ServiceRouter serviceRouter(settings);
            serviceRouter.setServing(std::move(idle));
            return Chooser(std::move(serviceRouter));
        };
    }

    struct RoutingVariant {
        std::string name;
        MakeChooser make;
        bool hasFeatureDisabled = false;
    };

    std::vector<RoutingVariant> routingVariants()
    {
        RouterSettings noAffinity;
        noAffinity.usesPrefixes = false;
        RouterSettings noSpeed;
        noSpeed.learnsSpeed = false;
        RouterSettings reportsOnly;
        reportsOnly.reportWeight = 1;
        RouterSettings asReported = reportsOnly;
        asReported.correctsReports = false;
        return {
            { "random", [] { return Chooser(RandomChoice {}); } },
            { "round robin", [] { return Chooser(RoundRobin {}); } },
            { "least outstanding", [] { return Chooser(LeastOutstanding {}); } },
            { "ours", router({}) },
            { "ours, no affinity", router(noAffinity), true },
            { "ours, no learned speed", router(noSpeed), true },
            { "ours, corrected reports only", router(reportsOnly), true },
            { "ours, uncorrected reports", router(asReported), true },
        };
    }

} // namespace

BenchTable benchRouting(uint64_t seed)
{
    const std::vector<Scenario> scenarios {
        { "all healthy", 0.8, 0, 0, true },
        { "one slow", 0.8, 1, 0, false },
        { "one underreporting", 0.8, 0, 1, false },
        { "slow and underreporting, busy", 0.95, 2, 2, true },
    };
    BenchTable table { "routing",
        { "scenario", "way", "ttft p50 s", "ttft p95 s", "ttft p99 s", "finished/s", "cache hit share", "same zone" },
        {} };
    for (const Scenario& scenario : scenarios) {
        for (const RoutingVariant& variant : routingVariants()) {
            if (variant.hasFeatureDisabled && !scenario.withFeaturesDisabled)
                continue;
            RoutingOutcome outcome = RoutingRun(scenario, variant.make, seed).run();
            double p50 = quantile(outcome.firstTokens, 0.5);
            double p95 = quantile(outcome.firstTokens, 0.95);
            double p99 = quantile(outcome.firstTokens, 0.99);
            double perSecond = outcome.finished / (measuredUntil - measuredFrom);
            double sameZone = outcome.sameZone / double(outcome.firstTokens.size());
            double hitRatio = outcome.hitRatioSum / double(outcome.firstTokens.size());
            table.rows.push_back({ scenario.name, variant.name, fmt::format("{:.3f}", p50), fmt::format("{:.3f}", p95),
                fmt::format("{:.3f}", p99), fmt::format("{:.1f}", perSecond), fmt::format("{:.3f}", hitRatio),
                fmt::format("{:.2f}", sameZone) });
        }
    }
    return table;
}

BenchTable benchSubset(uint64_t seed)
{
    constexpr uint32_t nodes = 320;
    constexpr uint32_t replicas = 12000;
    constexpr uint32_t watchersPerReplica = 8;
    constexpr uint32_t sampledNodes = 64; // One in five; each needs a pass over all pairs of nodes and replicas.
    std::vector<std::string> nodeNames;
    for (uint32_t index = 0; index < nodes; ++index)
        nodeNames.push_back(fmt::format("node-{}-{}", seed, index));
    std::vector<std::string> replicaNames;
    for (uint32_t index = 0; index < replicas; ++index)
        replicaNames.push_back(fmt::format("replica-{}", index));
    std::vector<double> sizes;
    double moved = 0;
    std::vector<std::string> remainingNodeNames(nodeNames.begin(), nodeNames.end() - 1);
    for (uint32_t index = 0; index < sampledNodes; ++index) {
        auto before = replicaSubset(nodeNames[index], nodeNames, replicaNames, watchersPerReplica);
        auto after = replicaSubset(nodeNames[index], remainingNodeNames, replicaNames, watchersPerReplica);
        sizes.push_back(double(before.size()));
        moved += double(after.size() - before.size()) / double(before.size()) / sampledNodes;
    }
    double mean = 0;
    for (double size : sizes)
        mean += size / sampledNodes;
    BenchTable table { "subset",
        { "nodes", "replicas", "watchers each", "subset mean", "subset least", "subset most", "moved by one node" },
        {} };
    table.rows.push_back({ fmt::format("{}", nodes), fmt::format("{}", replicas), fmt::format("{}", watchersPerReplica),
        fmt::format("{:.1f}", mean), fmt::format("{:.0f}", quantile(sizes, 0)),
        fmt::format("{:.0f}", quantile(sizes, 1)), fmt::format("{:.4f}", moved) });
    return table;
}

} // namespace Kumquatpick
