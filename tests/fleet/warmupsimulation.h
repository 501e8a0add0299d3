#pragma once

#include "base/random.h"
#include "fleet/rendezvous.h"
#include "fleet/warmuplimits.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Simulates nodes with calls for some backend servers that are cold. Each node learns this from a record some time
// after it is written. Time advances in fixed steps.
class WarmupSimulation {
public:
    static constexpr const char* service = "writers";
    static constexpr WarmupBound bound { 1.5, 5 };

    WarmupSimulation(size_t nodes, size_t servers, double perSecond, double callsPerSecond, uint64_t seed)
        : m_perSecond(perSecond)
        , m_servers(servers)
        , m_callsPerStep(callsPerSecond * toSeconds(step) / static_cast<double>(nodes))
        , m_random(seed)
    {
        for (size_t i = 0; i < nodes; ++i) {
            m_nodes.push_back({ fmt::format("10.0.{}.{}:7", i / 200, i % 200), WarmupLimits(bound), {},
                static_cast<int>(m_random() % assignmentInterval), Milliseconds(m_random() % maxDelay.count()) });
            m_nodes.back().limits.setRate(service, perSecond, now);
        }
        considersAlive = [this](size_t, size_t other) { return now >= m_nodes[other].offUntil; };
    }

    static std::string server(size_t index) { return fmt::format("server-{}", index); }

    // All servers are cold from now on for this time, and say so in each of their records.
    void turnCold(Milliseconds duration)
    {
        coldSince = now;
        coldUntil = now + duration;
    }
    // The process starts again with empty state.
    void restart(size_t node, Milliseconds downTime)
    {
        m_nodes[node].limits = WarmupLimits(bound);
        m_nodes[node].limits.setRate(service, m_perSecond, now);
        m_nodes[node].offUntil = now + downTime;
        m_nodes[node].hasList = false;
    }

    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end; now += step, ++m_steps) {
            for (size_t i = 0; i < m_nodes.size(); ++i) {
                if (now >= m_nodes[i].offUntil)
                    stepNode(i);
            }
        }
    }

    // The largest number of requests that one server got within a second while it was cold, from when all nodes could
    // know it.
    size_t maxInASecond() const
    {
        size_t most = 0;
        for (const auto& [id, times] : m_arrivals) {
            std::deque<MonotonicTime> recent;
            for (MonotonicTime at : times) {
                if (at < coldSince + maxDelay + step * readInterval || at >= coldUntil)
                    continue;
                recent.push_back(at);
                while (at - recent.front() >= std::chrono::seconds(1))
                    recent.pop_front();
                most = std::max(most, recent.size());
            }
        }
        return most;
    }
    size_t allowed() const { return static_cast<size_t>(m_perSecond * bound.overrun + bound.allowance); }
    // Of all servers.
    size_t arrivals(MonotonicTime from, MonotonicTime to) const
    {
        size_t count = 0;
        for (const auto& [id, times] : m_arrivals)
            count += static_cast<size_t>(
                std::ranges::count_if(times, [&](MonotonicTime at) { return at >= from && at < to; }));
        return count;
    }
    size_t size() const { return m_nodes.size(); }

    static constexpr Milliseconds maxDelay { 1500 }; // Of a record.
    MonotonicTime now { std::chrono::hours(1) };
    MonotonicTime coldSince {};
    MonotonicTime coldUntil {};
    // Whether one node considers another one alive.
    std::function<bool(size_t node, size_t other)> considersAlive;

private:
    static constexpr Milliseconds step { 5 };
    static constexpr int assignmentInterval = 200; // In steps.
    static constexpr int readInterval = 20;

    struct Node {
        std::string address;
        WarmupLimits limits;
        MonotonicTime offUntil {};
        int assignmentPhase = 0;
        Milliseconds recordDelay {};
        bool hasList = true; // It knows no servers before it has read the list.
    };

    void stepNode(size_t self)
    {
        Node& node = m_nodes[self];
        if (!std::exchange(node.hasList, true) || m_steps % readInterval == 0)
            readRecords(node);
        if (m_steps % assignmentInterval == node.assignmentPhase) {
            std::vector<CandidateNode> alive;
            for (size_t other = 0; other < m_nodes.size(); ++other) {
                if (other == self || considersAlive(self, other))
                    alive.push_back({ m_nodes[other].address, other % 13 == 0 ? 0.5 : 0.12 });
            }
            node.limits.assignShares(alive, node.address, now);
        }
        bool hasCall = std::uniform_real_distribution<double>(0, 1)(m_random) < m_callsPerStep;
        if (!hasCall)
            return;
        // The first one that takes the call, as a choice among servers does.
        size_t first = m_random() % m_servers;
        for (size_t i = 0; i < m_servers; ++i) {
            std::string id = server((first + i) % m_servers);
            if (!node.limits.admits(id, now))
                continue;
            node.limits.recordSend(id, now);
            m_arrivals[id].push_back(now);
            return;
        }
    }

    // What the list said when it was written.
    void readRecords(Node& node)
    {
        MonotonicTime writtenAt = now - node.recordDelay;
        if (writtenAt < coldSince)
            return;
        auto left = std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(coldUntil - writtenAt));
        for (size_t i = 0; i < m_servers; ++i)
            node.limits.reportCold(server(i), service, left, now);
    }

    double m_perSecond;
    size_t m_servers;
    double m_callsPerStep;
    Random m_random;
    std::vector<Node> m_nodes;
    std::map<std::string, std::vector<MonotonicTime>> m_arrivals; // By server.
    int m_steps = 0;
};

} // namespace Kumquatpick
