#pragma once

#include "fleet/balancer.h"
#include "fleet/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Which heads a simulated node prefers.
enum class SimulatedPreference : uint8_t {
    None,
    Rendezvous, // A fixed few of each node.
    Warm, // Those to which the node holds an idle connection.
};

// Simulates nodes that spread calls over the heads of replicas, on connections that heads close after an idle time. The
// nodes learn late what the others have in flight.
class ConnectionSimulation {
public:
    struct Settings {
        int nodes = 130;
        int heads = 20;
        uint32_t places = 24; // Of each head.
        double use = 0.66; // Of all places.
        double meanSeconds = 1.2; // Of a call.
        Milliseconds idleLimit { 1500 }; // Of heads.
        Milliseconds longestIdle { 1200 }; // Of connections that nodes use again.
        SimulatedPreference preference = SimulatedPreference::None;
        size_t preferredHeads = 2;
        uint64_t seed = 1;
    };

    struct Totals {
        int calls = 0;
        int full = 0; // Sent to a head without a free place.
        int opened = 0; // Connections.
        int unsent = 0; // No head had room in the view of the node.
        int samples = 0;
        double deviations = 0; // Of heads' loads, in shares of their places, one for each sample.
        double fullShare() const { return static_cast<double>(full) / std::max(1, calls); }
        double openedShare() const { return static_cast<double>(opened) / std::max(1, calls); }
        double unevenness() const { return deviations / std::max(1, samples); }
        Totals& operator+=(const Totals& other)
        {
            calls += other.calls;
            full += other.full;
            opened += other.opened;
            unsent += other.unsent;
            samples += other.samples;
            deviations += other.deviations;
            return *this;
        }
    };

    explicit ConnectionSimulation(const Settings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_heads(size(settings.heads))
    {
        double rates = 0;
        for (int i = 0; i < settings.nodes; ++i) {
            m_nodes.push_back({ Balancer("zone-0"), uniform(0.2, 2) });
            rates += m_nodes.back().rate;
        }
        double callsPerSecond = settings.use * settings.places * settings.heads / settings.meanSeconds;
        for (int i = 0; i < settings.nodes; ++i) {
            m_nodes[size(i)].rate *= callsPerSecond / rates;
            listHeads(i);
            arrive(i);
            after(uniform(0, 0.1), [this, i] { refresh(i); });
        }
        takeCounts();
    }

    void run(Milliseconds duration)
    {
        MonotonicTime end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            m_now = m_events.top().at;
            auto act = m_events.top().act;
            m_events.pop();
            act();
        }
        m_now = end;
    }

    // Heads end together; nodes are told by the list a second later.
    void loseHeads(int count)
    {
        for (int head = 0; head < count; ++head) {
            m_heads[size(head)].isUp = false;
            ++m_heads[size(head)].life;
            m_heads[size(head)].taken = 0;
        }
        for (int node = 0; node < m_settings.nodes; ++node)
            after(1 + uniform(0, 0.3), [this, node] { listHeads(node); });
    }
    void returnHeads()
    {
        for (Head& head : m_heads)
            head.isUp = true;
        for (int node = 0; node < m_settings.nodes; ++node)
            listHeads(node);
    }

    Totals takeTotals() { return std::exchange(m_totals, {}); }

private:
    struct Node {
        Balancer balancer;
        double rate;
        std::map<std::string, std::deque<MonotonicTime>> idle {}; // Since when, by head.
        std::vector<std::string> preferred {};
    };
    struct Head {
        bool isUp = true;
        int life = 0;
        int taken = 0;
    };
    struct Event {
        MonotonicTime at;
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };
    using Counts = std::vector<std::map<std::string, uint32_t, std::less<>>>; // By node.

    static size_t size(int index) { return static_cast<size_t>(index); }
    static std::string nameOf(int head) { return fmt::format("h{}", head); }
    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }
    void after(double seconds, std::function<void()> act)
    {
        auto delay = std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
        m_events.push({ m_now + delay, m_order++, std::move(act) });
    }

    void listHeads(int node)
    {
        std::vector<ServingTarget> targets;
        std::vector<CandidateNode> candidates;
        for (int head = 0; head < m_settings.heads; ++head) {
            if (!m_heads[size(head)].isUp)
                continue;
            targets.push_back({ nameOf(head), "writers", "large", "zone-0", m_settings.places, 1 });
            candidates.push_back({ nameOf(head), 1 });
        }
        m_nodes[size(node)].balancer.setTargets(std::move(targets));
        if (m_settings.preference == SimulatedPreference::Rendezvous)
            m_nodes[size(node)].preferred
                = chooseNodes(candidates, fmt::format("node {}", node), m_settings.preferredHeads);
    }

    void takeCounts()
    {
        Counts counts;
        for (const Node& node : m_nodes)
            counts.push_back(node.balancer.inFlight());
        m_history.push_back(std::move(counts));
        if (m_history.size() > historySize)
            m_history.pop_front();
        sampleUnevenness();
        after(toSeconds(countPeriod), [this] { takeCounts(); });
    }

    void sampleUnevenness()
    {
        double sum = 0;
        double squares = 0;
        double up = 0;
        for (const Head& head : m_heads) {
            double load = static_cast<double>(head.taken) / m_settings.places;
            sum += head.isUp ? load : 0;
            squares += head.isUp ? load * load : 0;
            up += head.isUp ? 1 : 0;
        }
        m_totals.deviations += std::sqrt(std::max(0.0, squares / up - sum / up * (sum / up)));
        ++m_totals.samples;
    }

    // The node takes over counts that are 0.1 to 0.5 s old.
    void refresh(int node)
    {
        size_t age = 1 + m_random() % (historySize - 1);
        const Counts& counts = m_history[m_history.size() > age ? m_history.size() - 1 - age : 0];
        std::map<std::string, uint32_t, std::less<>> remote;
        for (int other = 0; other < m_settings.nodes; ++other) {
            if (other == node)
                continue;
            for (const auto& [head, count] : counts[size(other)])
                remote[head] += count;
        }
        m_nodes[size(node)].balancer.setRemoteInFlight(std::move(remote));
        after(toSeconds(countPeriod), [this, node] { refresh(node); });
    }

    void arrive(int node)
    {
        after(exponential(1 / m_nodes[size(node)].rate), [this, node] {
            arrive(node);
            ++m_totals.calls;
            send(node, 0);
        });
    }

    std::vector<std::string> preferredBy(const Node& node) const
    {
        if (m_settings.preference != SimulatedPreference::Warm)
            return node.preferred;
        std::vector<std::string> result;
        for (const auto& [head, idle] : node.idle) {
            if (!idle.empty() && m_now - idle.back() <= m_settings.longestIdle)
                result.push_back(head);
        }
        return result;
    }

    void send(int index, int attempt)
    {
        Node& node = m_nodes[size(index)];
        std::vector<std::string> preferred = preferredBy(node);
        std::string name = node.balancer.choose({ .service = "writers",
                                                    .model = "large",
                                                    .excludedHosts = {},
                                                    .queueLimit = 2,
                                                    .preferredHosts = preferred },
            m_now, m_random);
        if (name.empty()) {
            ++m_totals.unsent;
            return;
        }
        Head& head = m_heads[size(std::stoi(name.substr(1)))];
        connect(node, name);
        node.balancer.sendStarted(name, m_now);
        if (!head.isUp) {
            node.idle.erase(name);
            node.balancer.sendEnded(name, SendResult::Unreachable, m_now);
            if (attempt < 3)
                send(index, attempt + 1);
            return;
        }
        m_totals.full += head.taken >= static_cast<int>(m_settings.places) ? 1 : 0;
        ++head.taken;
        int life = head.life;
        after(exponential(m_settings.meanSeconds), [this, &node, &head, name, life] {
            bool isBroken = head.life != life;
            node.balancer.sendEnded(name, isBroken ? SendResult::Failed : SendResult::Finished, m_now);
            if (isBroken)
                return;
            --head.taken;
            node.idle[name].push_back(m_now);
        });
    }

    void connect(Node& node, const std::string& head)
    {
        auto& idle = node.idle[head];
        MonotonicTime::duration longest = std::min(m_settings.idleLimit, m_settings.longestIdle);
        if (!idle.empty() && m_now - idle.back() <= longest) {
            idle.pop_back();
            return;
        }
        idle.clear();
        ++m_totals.opened;
    }

    static constexpr Milliseconds countPeriod { 100 };
    static constexpr size_t historySize = 5;

    Settings m_settings;
    Random m_random;
    std::vector<Head> m_heads;
    std::vector<Node> m_nodes;
    std::priority_queue<Event> m_events;
    std::deque<Counts> m_history;
    uint64_t m_order = 0;
    MonotonicTime m_now { std::chrono::hours(1) };
    Totals m_totals;
};

} // namespace Kumquatpick
