#pragma once

#include "fleet/balancer.h"
#include "fleet/callgate.h"
#include "fleet/firsteventforecast.h"
#include "fleet/lateshare.h"
#include "fleet/teamshares.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Kumquatpick::Testing {

// What callers got, by the number of calls; a caller that is refused twice counts as refused.
struct CallTotals {
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int lateRetries = 0; // Of the late ones, those that were refused first.
    int refused = 0;
    int left = 0; // Gave up while they waited for the first event.

    double share(int part) const { return asked > 0 ? static_cast<double>(part) / asked : 0; }
};

struct SimulatedLoad {
    int nodes = 78;
    int heads = 40;
    uint32_t capacity = 20;
    double pace = 0.6;
    EngineTiming timing;
    double callsPerSecond = 444;
    double rise = 1; // Factor on the calls from the moment on when heads are lost.
    double lostHeads = 0; // Share.
    double cutNodes = 0; // Share of the nodes that neither send nor receive counts.
    Milliseconds countAge { 300 };
    double figuresFactor = 1; // On the engine's times, in the figures that the nodes are given.
    double baseMs = 100; // On the way and in the engine, not in its timing figures.
    double longPrompts = 0; // Share of the calls whose prompt is five times as long.
    Milliseconds target { 250 };
    Milliseconds timeout { 6000 };
    Milliseconds changeAt { 4000 };
    Milliseconds end { 16000 };
    std::vector<double> teams { 1 }; // Share of the calls of each team.
    bool usesForecast = true;
    bool usesShares = true;
    uint64_t seed = 1;
};

// Nodes that send calls to heads, each by what it knows, in event time. A head takes on waiting calls and reads their
// prompts between passes; each pass writes one event of each active call.
class HeadSimulation {
public:
    explicit HeadSimulation(SimulatedLoad load)
        : m_load(std::move(load))
        , m_random(m_load.seed)
        , m_teamTotals(m_load.teams.size())
    {
        for (int i = 0; i < m_load.heads; ++i)
            m_heads.emplace_back();
        for (int i = 0; i < m_load.nodes; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->isCut = i < m_load.cutNodes * m_load.nodes;
            EngineTiming told = m_load.timing;
            told.stepMs *= m_load.figuresFactor;
            told.promptTokensPerSecond /= m_load.figuresFactor;
            m_nodes.back()->forecast.setTiming("writers", told);
        }
        setTargets();
    }

    // Totals of the calls that arrived after the change.
    CallTotals run()
    {
        at(m_load.changeAt, [this] { loseHeads(); });
        at(Milliseconds(10), [this] { nextArrival(); });
        at(Milliseconds(10), [this] { exchangeCounts(); });
        at(Milliseconds(50), [this] { tick(); });
        while (!m_events.empty()) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.act();
        }
        return m_totals;
    }

    const CallTotals& longPromptTotals() const { return m_longTotals; }
    const std::vector<CallTotals>& teamTotals() const { return m_teamTotals; }

private:
    struct SimulatedCall {
        MonotonicTime arrivedAt {};
        MonotonicTime sentAt {};
        uint32_t promptTokens = 0;
        bool isLong = false;
        bool isRetry = false;
        bool isCounted = false; // Arrived after the change.
        bool isGone = false;
        bool hasEvent = false;
        int eventsLeft = 0;
        size_t team = 0;
        size_t node = 0;
        size_t head = 0;
        uint64_t send = 0;
    };
    using CallPointer = std::shared_ptr<SimulatedCall>;
    struct SimulatedHead {
        std::deque<CallPointer> waiting;
        std::vector<CallPointer> active;
        bool isRunning = false;
        bool isLost = false;
    };
    struct Node {
        Balancer balancer { "zone" };
        FirstEventForecast forecast;
        TeamShares shares;
        LateShare late;
        bool isCut = false;
    };
    struct Event {
        MonotonicTime at {};
        uint64_t number = 0;
        std::function<void()> act;
        bool operator<(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };

    static std::string idOf(size_t head) { return "head" + std::to_string(head); }
    static MonotonicTime::duration inMs(double ms)
    {
        return std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double, std::milli>(ms));
    }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void at(Milliseconds time, std::function<void()> act) { at(m_start + time, std::move(act)); }
    void at(MonotonicTime time, std::function<void()> act) { m_events.push({ time, ++m_number, std::move(act) }); }
    bool isOver() const { return m_now >= m_start + m_load.end; }

    void setTargets()
    {
        for (const auto& node : m_nodes) {
            std::vector<ServingTarget> targets;
            for (size_t i = 0; i < m_heads.size(); ++i) {
                if (!m_heads[i].isLost)
                    targets.push_back({ idOf(i), "writers", "small", "zone", m_load.capacity, m_load.pace });
            }
            node->balancer.setTargets(std::move(targets));
        }
    }

    void loseHeads()
    {
        m_hasChanged = true;
        for (size_t i = 0; i < m_load.lostHeads * static_cast<double>(m_heads.size()); ++i) {
            m_heads[i].isLost = true;
            for (const CallPointer& call : m_heads[i].waiting)
                leave(*call);
            for (const CallPointer& call : m_heads[i].active)
                leave(*call);
            m_heads[i].waiting.clear();
            m_heads[i].active.clear();
        }
        setTargets();
    }

    // Calls of a lost head are none that the choice could have served.
    void leave(SimulatedCall& call)
    {
        call.isGone = true;
        m_nodes[call.node]->forecast.sendWithdrawn(idOf(call.head), call.send);
        m_nodes[call.node]->balancer.sendEnded(idOf(call.head), SendResult::Left, m_now);
    }

    void nextArrival()
    {
        if (isOver())
            return;
        double rate = m_load.callsPerSecond * (m_hasChanged ? m_load.rise : 1);
        at(m_now + inMs(-std::log(1 - draw()) * 1000 / rate), [this] { nextArrival(); });
        auto call = std::make_shared<SimulatedCall>();
        call->arrivedAt = m_now;
        call->isLong = draw() < m_load.longPrompts;
        call->promptTokens = m_load.timing.usualPromptTokens * (call->isLong ? 5 : 1);
        call->isCounted = m_hasChanged;
        call->team = std::discrete_distribution<size_t>(m_load.teams.begin(), m_load.teams.end())(m_random);
        count(*call, &CallTotals::asked);
        take(call);
    }

    void count(const SimulatedCall& call, int CallTotals::*part)
    {
        if (!call.isCounted)
            return;
        ++(m_totals.*part);
        ++(m_teamTotals[call.team].*part);
        if (call.isLong)
            ++(m_longTotals.*part);
    }

    std::string choose(Node& node, const SimulatedCall& call)
    {
        ChoiceRequest request { "writers", "small", {}, 2 };
        if (!m_load.usesForecast)
            return node.balancer.choose(request, m_now, m_random);
        auto timeLeft = std::chrono::duration_cast<Milliseconds>(call.arrivedAt + m_load.timeout - m_now);
        std::string team = "team" + std::to_string(call.team);
        node.shares.recordAsked(team, m_now);
        bool isOverShare = m_load.usesShares && node.shares.isOverShare(team, m_now);
        for (const GateStep& step :
            gateSteps({ m_load.target, Milliseconds(200), Milliseconds(0), timeLeft, isOverShare, call.isRetry,
                node.late.isOverloaded(m_now), node.forecast.fastestMs("writers", "small", m_now) })) {
            request.firstEvent = { &node.forecast, call.promptTokens, step.maxFirstEventMs, step.maxLoad };
            std::string id = node.balancer.choose(request, m_now, m_random);
            if (id.empty())
                continue;
            node.shares.recordAdmitted(team, m_now);
            if (!call.isRetry)
                node.late.record(step.isInTime, m_now);
            return id;
        }
        if (!call.isRetry)
            node.late.record(false, m_now);
        return {};
    }

    void take(const CallPointer& call)
    {
        call->node = m_random() % m_nodes.size();
        Node& node = *m_nodes[call->node];
        std::string id = choose(node, *call);
        if (id.empty())
            return refuse(call, node);
        call->head = std::stoul(id.substr(4));
        call->sentAt = m_now;
        call->send = node.forecast.sendStarted(*node.balancer.headLoad(id), call->promptTokens, m_now);
        node.balancer.sendStarted(id, m_now);
        call->eventsLeft = 1
            + static_cast<int>(-std::log(1 - draw()) * m_load.timing.usualAnswerTokens / m_load.timing.stepsPerPass);
        m_heads[call->head].waiting.push_back(call);
        at(call->sentAt + Milliseconds(2000), [this, call] {
            if (call->hasEvent || call->isGone)
                return;
            call->isGone = true;
            count(*call, &CallTotals::left);
            m_nodes[call->node]->forecast.callerLeft(idOf(call->head), call->send, m_now);
            m_nodes[call->node]->balancer.sendEnded(idOf(call->head), SendResult::CallerGone, m_now);
        });
        startPass(call->head);
    }

    void refuse(const CallPointer& call, Node& node)
    {
        if (call->isRetry)
            return count(*call, &CallTotals::refused);
        call->isRetry = true;
        auto timeLeft = std::chrono::duration_cast<Milliseconds>(call->arrivedAt + m_load.timeout - m_now);
        Milliseconds delay = Milliseconds(400) + Milliseconds(static_cast<int64_t>(900 * draw()));
        if (m_load.usesForecast) {
            auto shortest = node.balancer.shortestFirstEventMs(
                { "writers", "small", {}, 0, { &node.forecast, call->promptTokens } }, m_now);
            delay = gateRetryAfter(shortest.value_or(0), m_load.target, timeLeft, draw());
        }
        at(m_now + delay, [this, call] { take(call); });
    }

    void startPass(size_t index)
    {
        SimulatedHead& head = m_heads[index];
        if (head.isRunning || head.isLost)
            return;
        std::erase_if(head.waiting, [](const CallPointer& call) { return call->isGone; });
        std::erase_if(head.active, [](const CallPointer& call) { return call->isGone; });
        double readTokens = 0;
        while (!head.waiting.empty() && head.active.size() < m_load.capacity) {
            readTokens += head.waiting.front()->promptTokens;
            head.active.push_back(head.waiting.front());
            head.waiting.pop_front();
        }
        if (head.active.empty())
            return;
        head.isRunning = true;
        const EngineTiming& timing = m_load.timing;
        double stepMs = timing.stepMs + static_cast<double>(head.active.size()) * timing.perSequenceMs;
        double passMs = m_load.pace * (timing.stepsPerPass * stepMs + readTokens * 1000 / timing.promptTokensPerSecond);
        at(m_now + inMs(passMs), [this, index] { endPass(index); });
    }

    void endPass(size_t index)
    {
        SimulatedHead& head = m_heads[index];
        head.isRunning = false;
        for (const CallPointer& call : head.active) {
            if (call->isGone)
                continue;
            if (!std::exchange(call->hasEvent, true))
                at(m_now + inMs(m_load.baseMs), [this, call] { deliverFirstEvent(*call); });
            if (--call->eventsLeft > 0)
                continue;
            call->isGone = true;
            at(m_now + inMs(m_load.baseMs), [this, call] {
                m_nodes[call->node]->balancer.sendEnded(idOf(call->head), SendResult::Finished, m_now);
            });
        }
        startPass(index);
    }

    void deliverFirstEvent(SimulatedCall& call)
    {
        m_nodes[call.node]->forecast.firstEventArrived(idOf(call.head), call.send, m_now);
        bool isInTime = m_now - call.arrivedAt <= m_load.target;
        count(call, isInTime ? &CallTotals::inTime : &CallTotals::late);
        if (!isInTime && call.isRetry)
            count(call, &CallTotals::lateRetries);
    }

    // Each node learns the counts of the others some time after they were right.
    void exchangeCounts()
    {
        if (isOver())
            return;
        std::map<std::string, uint32_t, std::less<>> total;
        for (const auto& node : m_nodes) {
            for (const auto& [id, count] : node->isCut ? LoadsOfNode() : node->balancer.inFlight())
                total[id] += count;
        }
        at(m_now + m_load.countAge, [this, total] {
            for (const auto& node : m_nodes) {
                if (node->isCut)
                    continue;
                auto others = total;
                for (const auto& [id, count] : node->balancer.inFlight())
                    others[id] -= std::min(others[id], count);
                node->balancer.setRemoteInFlight(std::move(others));
            }
        });
        at(m_now + Milliseconds(100), [this] { exchangeCounts(); });
    }

    void tick()
    {
        if (isOver())
            return;
        for (const auto& node : m_nodes)
            node->forecast.tick(m_now);
        at(m_now + Milliseconds(50), [this] { tick(); });
    }

    using LoadsOfNode = std::map<std::string, uint32_t, std::less<>>;

    static constexpr MonotonicTime m_start { std::chrono::hours(1) };
    SimulatedLoad m_load;
    Random m_random;
    MonotonicTime m_now = m_start;
    uint64_t m_number = 0;
    bool m_hasChanged = false;
    std::vector<SimulatedHead> m_heads;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::priority_queue<Event> m_events;
    CallTotals m_totals;
    CallTotals m_longTotals;
    std::vector<CallTotals> m_teamTotals;
};

} // namespace Kumquatpick::Testing
