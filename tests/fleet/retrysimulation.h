#pragma once

#include "fleet/fleetmembers.h"
#include "fleet/nodesimulation.h"
#include "fleet/retryallowance.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace Kumquatpick {

// Nodes that exchange messages, and their calls to one service, in event time. Some of the calls want a retry; what the
// nodes allow is counted over all of them. Callers find the nodes that run.
class RetrySimulation {
public:
    struct Setup {
        int nodes = 7;
        double callsPerSecond = 175;
        RetryLimits limits { 0.2, 105, std::chrono::seconds(10) };
        uint64_t seed = 1;
    };

    explicit RetrySimulation(const Setup& setup)
        : fleet(setup.nodes, setup.seed)
        , m_setup(setup)
        , m_random(setup.seed + 1)
    {
        run(startTime);
    }

    // The share of calls that want a retry.
    void setDemand(double share) { m_demand = share; }
    void run(Milliseconds duration)
    {
        for (MonotonicTime end = fleet.now + duration; fleet.now < end;) {
            fleet.run(step);
            addStartedNodes();
            m_calls.push_back(0);
            m_wanted.push_back(0);
            m_retries.push_back(0);
            if (std::ssize(m_calls) > startTime / step)
                placeCalls();
        }
    }
    // A process in place of the present one, which ends now. down: until it starts.
    void restart(int node, Milliseconds down, bool losesPower = false)
    {
        if (fleet.isDead(node))
            return;
        fleet.kill(node, losesPower);
        fleet.after(down, [this, node] { fleet.restart(node); });
    }
    void stopAndRestart(int node, Milliseconds grace, Milliseconds down)
    {
        if (fleet.isDead(node))
            return;
        fleet.stop(node);
        int life = fleet.life(node);
        fleet.after(grace, [this, node, down, life] {
            if (fleet.life(node) == life)
                restart(node, down);
        });
    }

    // What a window of ten seconds had at most beyond its limit; negative if there was room in all of them. The limit
    // counts the calls in that window, the one before it or the one half a window before it, whichever has most.
    struct Window {
        double beginS = 0; // Since the first call.
        int retries = 0;
        double limit = 0;
        double excess() const { return retries - limit; }
    };
    Window worstWindow() const
    {
        Window worst { 0, 0, 1e9 };
        auto window = static_cast<ptrdiff_t>(m_setup.limits.window / step);
        auto first = static_cast<ptrdiff_t>(startTime / step);
        for (ptrdiff_t begin = first - window; begin < std::ssize(m_calls); ++begin) {
            int calls = std::max({ sum(m_calls, begin, begin + window), sum(m_calls, begin - window, begin),
                sum(m_calls, begin - window / 2, begin + window / 2) });
            Window each { static_cast<double>(begin - first) * toSeconds(step), sum(m_retries, begin, begin + window),
                m_setup.limits.ratio * calls + m_setup.limits.allowance };
            if (each.excess() > worst.excess())
                worst = each;
        }
        return worst;
    }
    // In the last part of the run.
    int retriesIn(Milliseconds last) const { return sumOfLast(m_retries, last); }
    int wantedIn(Milliseconds last) const { return sumOfLast(m_wanted, last); }
    int callsIn(Milliseconds last) const { return sumOfLast(m_calls, last); }

    NodeSimulation fleet;

private:
    static constexpr Milliseconds step { 20 };
    // As long as a fleet runs before its first call.
    static constexpr Milliseconds startTime { 10'000 };
    static constexpr Milliseconds shareTime { 1000 }; // Between two looks at who is there.
    static constexpr const char* service = "writers";

    struct Node {
        RetryAllowance allowance;
        FleetMembers members;
        int life;
        MonotonicTime sharedAt;
    };

    void addStartedNodes()
    {
        for (int i = 0; i < fleet.count(); ++i) {
            if (i == std::ssize(m_nodes))
                m_nodes.push_back(startedNode(i));
            else if (m_nodes[index(i)].life != fleet.life(i) && !fleet.isDead(i))
                m_nodes[index(i)] = startedNode(i);
        }
    }
    Node startedNode(int i)
    {
        double phase = std::uniform_real_distribution<double>(0, 1)(m_random);
        bool isFirstStart = fleet.now <= NodeSimulation::start + step;
        return { RetryAllowance(m_setup.limits, phase), FleetMembers(fleet.now, isFirstStart), fleet.life(i), {} };
    }

    void placeCalls()
    {
        std::vector<int> running;
        for (int i = 0; i < fleet.count(); ++i) {
            if (!fleet.isDead(i) && !fleet.isFrozen(i))
                running.push_back(i);
        }
        if (running.empty())
            return;
        for (int i : running) {
            Node& node = m_nodes[index(i)];
            if (fleet.now - node.sharedAt >= shareTime) {
                node.sharedAt = fleet.now;
                takeShare(i, node);
            }
        }
        std::poisson_distribution<int> calls(m_setup.callsPerSecond * toSeconds(step));
        for (int left = calls(m_random); left > 0; --left)
            call(m_nodes[index(running[m_random() % running.size()])].allowance);
    }

    // As the gateway does.
    void takeShare(int i, Node& node)
    {
        node.members.update(fleet.exchange(i), fleet.now);
        node.allowance.setNodes(node.members.count(), fleet.now);
        fleet.report(i).fleetNodes = node.members.count().value_or(0);
    }

    void call(RetryAllowance& allowance)
    {
        ++m_calls.back();
        allowance.recordFirstSend(service, fleet.now);
        if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_demand)
            return;
        ++m_wanted.back();
        if (allowance.takeRetry(service, fleet.now))
            ++m_retries.back();
    }

    static size_t index(int i) { return static_cast<size_t>(i); }
    static int sum(const std::vector<int>& steps, ptrdiff_t begin, ptrdiff_t end)
    {
        begin = std::clamp<ptrdiff_t>(begin, 0, std::ssize(steps));
        end = std::clamp<ptrdiff_t>(end, 0, std::ssize(steps));
        return std::reduce(steps.begin() + begin, steps.begin() + end);
    }
    static int sumOfLast(const std::vector<int>& steps, Milliseconds last)
    {
        return sum(steps, std::ssize(steps) - static_cast<ptrdiff_t>(last / step), std::ssize(steps));
    }

    Setup m_setup;
    Random m_random;
    double m_demand = 0;
    std::vector<Node> m_nodes;
    // By step.
    std::vector<int> m_calls;
    std::vector<int> m_wanted;
    std::vector<int> m_retries;
};

} // namespace Kumquatpick
