#include "node/simulation.h"

#include "node/codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    using std::chrono::microseconds;
    using std::chrono::nanoseconds;

    constexpr Milliseconds callTimeout { 1000 };
    constexpr Milliseconds addedDelay { 2000 };
    // One-way base latencies. Random jitter adds between zero and the same amount again.
    constexpr microseconds sameZoneLatency { 300 };
    constexpr microseconds sameRegionLatency { 1200 };
    constexpr microseconds crossRegionLatency { 60000 };

    // Bytes of the RPC messages of a call (including its finish message) and of its return, as measured on the wire.
    // The payload of an exchange is added to these.
    constexpr uint64_t exchangeCallBytes = 176;
    constexpr uint64_t exchangeReturnBytes = 96;
    constexpr uint64_t helloCallBytes = 152;
    constexpr uint64_t helloReturnBytes = 176;
    constexpr uint64_t probeCallBytes = 200;
    constexpr uint64_t probeReturnBytes = 112;

    constexpr Milliseconds pingPeriod { 1000 };
    constexpr Milliseconds pingTimeout { 500 };
    constexpr int missesForDead = 3;
    constexpr int exchangeLegs = 3;

    uint64_t incarnationOf(size_t node) { return 1'000'000 + node; }

    size_t indexOf(uint64_t incarnation) { return incarnation - 1'000'000; }

}

struct MembershipSimulation::Node {
    Node(const NodeInfo& info, const SimulationOptions& options, uint64_t seed)
        : info(info)
        , gossip(info, options.gossip)
        , detector(info, options.detector)
        , random(seed)
        , misses(options.nodes, 0)
    {
    }

    NodeInfo info;
    size_t region = 0;
    Gossip gossip;
    Detector detector;
    Random random;
    bool dead = false;
    MonotonicTime pausedUntil {};
    uint64_t bytesSent = 0;
    Offset configVersion = 1;
    std::map<Offset, Milliseconds> adoptionTimes;
    std::vector<TeamUsage> usage;
    std::vector<int> misses; // Consecutive missed pings by target; used only by the baseline.
};

struct MembershipSimulation::Event {
    MonotonicTime time;
    uint64_t number; // Orders events with the same time.
    size_t node;
    std::function<void()> run;

    bool operator>(const Event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
};

MembershipSimulation::MembershipSimulation(const SimulationOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
    std::vector<NodeInfo> seeds;
    for (size_t i = 0; i < options.nodes; ++i) {
        size_t zone = i % options.zones;
        NodeInfo info;
        info.id = { fmt::format("entry-{:03}", i), incarnationOf(i) };
        info.zone = fmt::format("zone-{:02}", zone);
        info.peerAddress = { fmt::format("10.{}.0.{}", i / 250, i % 250 + 1), 7200 };
        info.callerAddress = { info.peerAddress.ip, 7100 };
        seeds.push_back(info);
        m_nodes.push_back(std::make_unique<Node>(info, options, options.seed * 1000 + i));
        m_nodes.back()->region = zone % options.regions;
    }
    for (size_t i = 0; i < options.nodes; ++i) {
        m_nodes[i]->gossip.setSeeds(seeds);
        auto phase = [this](Milliseconds period) {
            return nanoseconds(std::uniform_int_distribution<int64_t>(0, nanoseconds(period).count())(m_random));
        };
        if (options.detection == SimulationOptions::Detection::SingleObserver) {
            schedule(i, phase(pingPeriod), [this, i] { pingRound(i); });
            continue;
        }
        schedule(i, phase(options.gossip.period), [this, i] { gossipRound(i); });
        schedule(i, phase(options.detector.probePeriod), [this, i] { probeRound(i); });
    }
}

MembershipSimulation::~MembershipSimulation() = default;

void MembershipSimulation::run(Milliseconds duration)
{
    MonotonicTime end = m_now + duration;
    while (!m_events.empty() && m_events.top().time <= end) {
        Event event = std::move(const_cast<Event&>(m_events.top()));
        m_events.pop();
        m_now = event.time;
        Node& node = *m_nodes[event.node];
        if (node.dead)
            continue;
        if (node.pausedUntil > m_now)
            schedule(event.node, node.pausedUntil - m_now, std::move(event.run));
        else
            event.run();
    }
    m_now = end;
}

void MembershipSimulation::kill(size_t node) { m_nodes[node]->dead = true; }

void MembershipSimulation::pause(size_t node, Milliseconds duration) { m_nodes[node]->pausedUntil = m_now + duration; }

void MembershipSimulation::publish(size_t node, Offset version)
{
    adoptVersion(node, version);
    gossipOnce(node);
}

Liveness MembershipSimulation::liveness(size_t observer, size_t target) const
{
    const Node& node = *m_nodes[observer];
    if (m_options.detection == SimulationOptions::Detection::SingleObserver)
        return node.misses[target] >= missesForDead ? Liveness::Dead : Liveness::Alive;
    if (!node.gossip.table().find(incarnationOf(target)))
        return Liveness::Dead;
    return node.detector.liveness(incarnationOf(target));
}

const Gossip& MembershipSimulation::gossip(size_t node) const { return m_nodes[node]->gossip; }

std::optional<Milliseconds> MembershipSimulation::adoptedAt(size_t node, Offset version) const
{
    auto found = m_nodes[node]->adoptionTimes.find(version);
    return found == m_nodes[node]->adoptionTimes.end() ? std::nullopt : std::optional(found->second);
}

uint64_t MembershipSimulation::bytesSent(size_t node) const { return m_nodes[node]->bytesSent; }

void MembershipSimulation::schedule(size_t node, nanoseconds delay, std::function<void()> run)
{
    m_events.push({ m_now + delay, m_nextEvent++, node, std::move(run) });
}

void MembershipSimulation::call(
    size_t from, size_t to, Milliseconds timeout, std::function<void()> handle, Continue done)
{
    auto finished = std::make_shared<bool>(false);
    auto finish = [finished, done = std::move(done)](bool answered) {
        if (!std::exchange(*finished, true))
            done(answered);
    };
    schedule(from, timeout, [finish] { finish(false); });
    auto there = randomTransitTime(from, to);
    if (!there)
        return;
    schedule(to, *there, [this, from, to, handle = std::move(handle), finish] {
        handle();
        if (auto back = randomTransitTime(to, from))
            schedule(from, *back, [finish] { finish(true); });
    });
}

std::optional<nanoseconds> MembershipSimulation::randomTransitTime(size_t from, size_t to)
{
    if (randomChance(m_options.loss))
        return {};
    const Node& one = *m_nodes[from];
    const Node& other = *m_nodes[to];
    nanoseconds base = one.info.zone == other.info.zone ? sameZoneLatency
        : one.region == other.region                    ? sameRegionLatency
                                                        : crossRegionLatency;
    nanoseconds jitter(std::uniform_int_distribution<int64_t>(0, base.count())(m_random));
    return base + jitter + (randomChance(m_options.delayed) ? nanoseconds(addedDelay) : nanoseconds(0));
}

bool MembershipSimulation::randomChance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void MembershipSimulation::gossipRound(size_t node)
{
    gossipOnce(node);
    schedule(node, m_options.gossip.period, [this, node] { gossipRound(node); });
}

void MembershipSimulation::gossipOnce(size_t node)
{
    Node& self = *m_nodes[node];
    self.gossip.report(reportOf(node), m_now);
    for (const NodeInfo& peer : self.gossip.pickPeers(self.random))
        exchange(node, indexOf(peer.id.incarnation), std::make_shared<GossipMessage>(self.gossip.openingMessage()),
            exchangeLegs);
    fetchNewerConfig(node);
}

void MembershipSimulation::exchange(size_t from, size_t to, const std::shared_ptr<GossipMessage>& message, int legsLeft)
{
    m_nodes[from]->bytesSent += exchangeCallBytes + encode(*message).size();
    auto reply = std::make_shared<GossipMessage>();
    auto handle = [this, to, message, reply] {
        *reply = m_nodes[to]->gossip.answer(*message);
        m_nodes[to]->bytesSent += exchangeReturnBytes + encode(*reply).size();
    };
    call(from, to, callTimeout, handle, [this, from, to, reply, legsLeft](bool answered) {
        if (!answered)
            return;
        auto next = std::make_shared<GossipMessage>(m_nodes[from]->gossip.answer(*reply));
        if (!next->empty() && legsLeft > 1)
            exchange(from, to, next, legsLeft - 1);
    });
}

void MembershipSimulation::fetchNewerConfig(size_t node)
{
    Node& self = *m_nodes[node];
    auto holder = self.gossip.nodeWithNewerConfig(self.configVersion, self.random);
    if (!holder)
        return;
    size_t from = indexOf(holder->node.id.incarnation);
    auto version = std::make_shared<Offset>(0);
    call(
        node, from, callTimeout, [this, from, version] { *version = m_nodes[from]->configVersion; },
        [this, node, version](bool answered) {
            if (answered && *version > m_nodes[node]->configVersion)
                adoptVersion(node, *version);
        });
}

void MembershipSimulation::adoptVersion(size_t node, Offset version)
{
    m_nodes[node]->configVersion = version;
    m_nodes[node]->adoptionTimes[version] = now();
}

// Simulates the load of a busy node: each report has new random figures.
OwnReport MembershipSimulation::reportOf(size_t node)
{
    Node& self = *m_nodes[node];
    OwnReport report;
    report.configVersion = self.configVersion;
    report.logOffset = 100'000 + static_cast<Offset>(now().count() / 5);
    report.suspects = self.detector.ownSuspects();
    std::uniform_int_distribution<uint32_t> running(0, 60);
    for (size_t service = 0; service < m_options.services; ++service) {
        for (size_t team = 0; team < m_options.teams; ++team)
            report.usage.push_back({ fmt::format("service-{}", service), fmt::format("team-{}", team),
                running(self.random), running(self.random) / 10 });
    }
    report.streams = running(self.random) * 10;
    return report;
}

void MembershipSimulation::probeRound(size_t node)
{
    Node& self = *m_nodes[node];
    schedule(node, m_options.detector.probePeriod, [this, node] { probeRound(node); });
    const DigestTable& table = self.gossip.table();
    self.detector.tick(table, m_now);
    for (uint64_t incarnation : self.detector.takeLost()) {
        recordLost(node, indexOf(incarnation));
        self.gossip.forget(incarnation, self.detector.liveness(incarnation) == Liveness::Gone);
    }
    auto plan = self.detector.nextProbe(table, self.random);
    if (!plan)
        return;
    auto sharedPlan = std::make_shared<ProbePlan>(std::move(*plan));
    auto result = std::make_shared<ProbeResult>();
    result->targetIncarnation = sharedPlan->target.id.incarnation;
    result->startedAt = m_now;
    size_t target = indexOf(result->targetIncarnation);
    self.bytesSent += helloCallBytes;
    call(
        node, target, m_options.detector.probeTimeout,
        [this, target] { m_nodes[target]->bytesSent += helloReturnBytes; },
        [this, node, sharedPlan, result](bool answered) {
            if (answered)
                result->answeredBy = sharedPlan->target.id;
            if (answered || sharedPlan->helpers.empty())
                finishProbe(node, *result);
            else
                askHelpers(node, sharedPlan, result);
        });
}

void MembershipSimulation::askHelpers(
    size_t node, const std::shared_ptr<ProbePlan>& plan, const std::shared_ptr<ProbeResult>& result)
{
    Milliseconds timeout = m_options.detector.probeTimeout;
    size_t target = indexOf(plan->target.id.incarnation);
    auto remainingHelpers = std::make_shared<size_t>(plan->helpers.size());
    for (const NodeInfo& info : plan->helpers) {
        size_t helper = indexOf(info.id.incarnation);
        auto reached = std::make_shared<std::optional<bool>>();
        auto finished = std::make_shared<bool>(false);
        auto finish = [this, node, result, reached, remainingHelpers, finished] {
            if (std::exchange(*finished, true))
                return;
            ++(!*reached ? result->unansweredHelpers : **reached ? result->helperSuccesses : result->helperFailures);
            if (--*remainingHelpers == 0)
                finishProbe(node, *result);
        };
        m_nodes[node]->bytesSent += probeCallBytes;
        schedule(node, timeout * 3 / 2, finish);
        auto there = randomTransitTime(node, helper);
        if (!there)
            continue;
        schedule(helper, *there, [this, node, helper, target, timeout, reached, finish] {
            m_nodes[helper]->bytesSent += helloCallBytes;
            call(
                helper, target, timeout, [this, target] { m_nodes[target]->bytesSent += helloReturnBytes; },
                [this, node, helper, reached, finish](bool answered) {
                    m_nodes[helper]->bytesSent += probeReturnBytes;
                    if (auto back = randomTransitTime(helper, node))
                        schedule(node, *back, [reached, finish, answered] {
                            *reached = answered;
                            finish();
                        });
                });
        });
    }
}

void MembershipSimulation::finishProbe(size_t node, const ProbeResult& result)
{
    Node& self = *m_nodes[node];
    size_t before = self.detector.ownSuspects().size();
    self.detector.recordProbe(self.gossip.table(), result, m_now);
    const Node& target = *m_nodes[indexOf(result.targetIncarnation)];
    if (self.detector.ownSuspects().size() > before && !target.dead && target.pausedUntil <= m_now)
        ++m_falseSuspicions;
}

void MembershipSimulation::pingRound(size_t node)
{
    schedule(node, pingPeriod, [this, node] { pingRound(node); });
    for (size_t target = 0; target < m_nodes.size(); ++target) {
        if (target == node)
            continue;
        m_nodes[node]->bytesSent += helloCallBytes;
        recordPing(node, target, ping(node, target));
    }
}

// Determines the result without events, as simulating a call for each pair of nodes would take too long.
bool MembershipSimulation::ping(size_t from, size_t to)
{
    Node& target = *m_nodes[to];
    auto there = randomTransitTime(from, to);
    if (!there || target.dead || target.pausedUntil > m_now)
        return false;
    target.bytesSent += helloReturnBytes;
    auto back = randomTransitTime(to, from);
    return back && *there + *back <= pingTimeout;
}

void MembershipSimulation::recordPing(size_t observer, size_t target, bool answered)
{
    int& misses = m_nodes[observer]->misses[target];
    misses = answered ? 0 : misses + 1;
    if (misses == missesForDead)
        recordLost(observer, target);
}

void MembershipSimulation::recordLost(size_t observer, size_t target)
{
    const Node& node = *m_nodes[target];
    bool wasPaused = node.pausedUntil != MonotonicTime {};
    bool isPaused = node.pausedUntil > m_now;
    m_verdicts.push_back({ now(), observer, target, node.dead, isPaused, wasPaused && !isPaused });
}

} // namespace Kumquatpick
