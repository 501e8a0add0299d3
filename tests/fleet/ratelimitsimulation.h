#pragma once

#include "base/random.h"
#include "fleet/ratelimits.h"
#include "fleet/rendezvous.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Kumquatpick {

// Simulates nodes with calls for one server, which may announce a limit in its answers. The nodes periodically pull
// known limits from some peers. Time advances in fixed steps.
class RateLimitSimulation {
public:
    struct Arrival {
        MonotonicTime at;
        size_t node;
        bool knewLimit; // The node had received an answer with a limit at least half a second earlier.
    };

    RateLimitSimulation(size_t nodes, double callsPerSecond, uint64_t seed)
        : m_callsPerStep(callsPerSecond * toSeconds(step) / static_cast<double>(nodes))
        , m_random(seed)
    {
        for (size_t i = 0; i < nodes; ++i)
            m_nodes.push_back({ { fmt::format("10.0.{}.{}:7", i / 200, i % 200), 1 }, {}, {}, true, {},
                static_cast<int>(m_random() % askInterval), static_cast<int>(m_random() % assignmentInterval) });
        considersAlive = [this](size_t, size_t other) {
            return m_nodes[other].isAlive || now < m_nodes[other].stoppedAt + failureDetectionDelay;
        };
    }

    void setLimit(std::optional<double> perSecond)
    {
        if (perSecond && !m_limit)
            limitedSince = now;
        m_limit = perSecond;
    }

    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end; now += step, ++m_steps) {
            deliverAnswers();
            for (size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_nodes[i].isAlive)
                    stepNode(i);
            }
        }
    }

    void stop(size_t node)
    {
        m_nodes[node].isAlive = false;
        m_nodes[node].stoppedAt = now;
    }
    // With empty state, as after a process start.
    void restart(size_t node)
    {
        m_nodes[node].isAlive = true;
        m_nodes[node].limits = RateLimits();
        m_nodes[node].learnedAt.reset();
    }
    std::optional<size_t> busiestSince(MonotonicTime since) const
    {
        std::map<size_t, int> counts;
        for (const Arrival& arrival : arrivals)
            counts[arrival.node] += arrival.at >= since && m_nodes[arrival.node].isAlive ? 1 : 0;
        auto most = std::ranges::max_element(counts, {}, [](const auto& entry) { return entry.second; });
        return most == counts.end() || most->second == 0 ? std::nullopt : std::optional(most->first);
    }

    // The maximum number of arrivals in any window of four seconds that ends after the nodes had time to learn of the
    // limit. Only arrivals from nodes that knew the limit count, and none from the excused nodes.
    size_t maxInWindow(const std::set<size_t>& excused = {}) const
    {
        std::deque<MonotonicTime> inSpan;
        size_t most = 0;
        for (const Arrival& arrival : arrivals) {
            if (!arrival.knewLimit || excused.contains(arrival.node))
                continue;
            inSpan.push_back(arrival.at);
            while (arrival.at - inSpan.front() >= std::chrono::seconds(4))
                inSpan.pop_front();
            if (arrival.at > limitedSince + learningTime)
                most = std::max(most, inSpan.size());
        }
        return most;
    }
    size_t arrivedSince(MonotonicTime since) const
    {
        return static_cast<size_t>(
            std::ranges::count_if(arrivals, [&](const Arrival& arrival) { return arrival.at >= since; }));
    }
    size_t sendersSince(MonotonicTime since) const
    {
        std::set<size_t> nodes;
        for (const Arrival& arrival : arrivals) {
            if (arrival.at >= since)
                nodes.insert(arrival.node);
        }
        return nodes.size();
    }
    static size_t allowed(double perSecond) { return static_cast<size_t>(1.5 * perSecond * 4 + 5); }

    MonotonicTime now { std::chrono::hours(1) };
    MonotonicTime limitedSince {};
    std::vector<Arrival> arrivals;
    // Whether one node considers another one alive.
    std::function<bool(size_t node, size_t other)> considersAlive;
    // Whether one node's request reaches another one.
    std::function<bool(size_t node, size_t other)> canReach = [](size_t, size_t) { return true; };

private:
    static constexpr Milliseconds step { 10 };
    static constexpr Milliseconds answerDelay { 150 };
    static constexpr Milliseconds failureDetectionDelay { 1500 }; // Until the other nodes consider a stopped node dead.
    static constexpr Milliseconds learningTime { 3000 };
    static constexpr Milliseconds reactionTime { 500 };
    static constexpr int askInterval = 25; // In steps.
    static constexpr int assignmentInterval = 100;
    static constexpr size_t peersPerRound = 8;
    static constexpr const char* server = "server-1";

    struct Node {
        CandidateNode identity;
        RateLimits limits;
        std::optional<MonotonicTime> learnedAt;
        bool isAlive = true;
        MonotonicTime stoppedAt {};
        int askPhase = 0;
        int assignmentPhase = 0;
    };
    struct Answer {
        MonotonicTime due;
        size_t node;
        MonotonicTime sentAt;
    };

    void deliverAnswers()
    {
        for (; !m_answers.empty() && m_answers.front().due <= now; m_answers.pop_front()) {
            const Answer& answer = m_answers.front();
            Node& node = m_nodes[answer.node];
            node.limits.applyAnswer(server, m_limit, answer.sentAt, now);
            if (m_limit && !node.learnedAt)
                node.learnedAt = now;
        }
    }

    void stepNode(size_t self)
    {
        Node& node = m_nodes[self];
        if (m_steps % askInterval == node.askPhase)
            pullFromPeers(self);
        if (m_steps % assignmentInterval == node.assignmentPhase)
            assignShares(self);
        bool hasCall = std::uniform_real_distribution<double>(0, 1)(m_random) < m_callsPerStep;
        if (!hasCall || !node.limits.admits(server, now))
            return;
        node.limits.recordSend(server, now);
        arrivals.push_back({ now, self, node.learnedAt && *node.learnedAt + reactionTime <= now });
        m_answers.push_back({ now + answerDelay, self, now });
    }

    void pullFromPeers(size_t self)
    {
        for (size_t i = 0; i < std::min(peersPerRound, m_nodes.size() - 1); ++i) {
            size_t other = m_random() % m_nodes.size();
            if (other == self || !m_nodes[other].isAlive || !canReach(self, other))
                continue;
            for (HostRateLimit& limit : m_nodes[other].limits.recentLimits(now)) {
                limit.age += step;
                m_nodes[self].limits.applyPeerReport(limit, now);
            }
        }
    }

    void assignShares(size_t self)
    {
        std::vector<CandidateNode> seen;
        for (size_t other = 0; other < m_nodes.size(); ++other) {
            if (other == self || considersAlive(self, other))
                seen.push_back(m_nodes[other].identity);
        }
        m_nodes[self].limits.assignShares(seen, m_nodes[self].identity.address, now);
    }

    double m_callsPerStep;
    Random m_random;
    std::vector<Node> m_nodes;
    std::optional<double> m_limit;
    std::deque<Answer> m_answers;
    int m_steps = 0;
};

} // namespace Kumquatpick
