#pragma once

#include "base/random.h"
#include "fleet/evacuations.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Kumquatpick {

// Simulates nodes that learn from a log, and from each other, which zones are evacuated: two nodes of each zone read
// the log, the others poll a reader of their zone, and every node exchanges messages with one other node several times
// a second. Each node sends requests to each zone that it does not consider evacuated. Time advances in fixed steps.
class EvacuationSimulation {
public:
    static constexpr size_t zoneCount = 3;
    static constexpr Milliseconds step { 10 };

    EvacuationSimulation(size_t nodes, uint64_t seed)
        : m_random(seed)
    {
        m_nodes.resize(nodes);
        for (Node& node : m_nodes)
            node.phase = static_cast<int>(m_random() % pollInterval);
    }

    // Returns the offset. The operators count from the time of the call.
    uint64_t write(const std::string& zone, Evacuations::Verdict verdict)
    {
        m_log.push_back({ zone, verdict });
        return m_log.size() - 1;
    }
    // Drops all but the newest record of each key; deleted keys are gone.
    void compact() { m_firstOffset = m_log.size(); }
    void restart(size_t node)
    {
        m_nodes[node].evacuations = Evacuations();
        m_nodes[node].next.reset();
        m_nodes[node].isInformed = false;
    }

    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end; now += step, ++m_steps) {
            for (size_t i = 0; i < m_nodes.size(); ++i)
                stepNode(i);
        }
    }

    // Requests that reached the zone in this time.
    size_t sent(const std::string& zone, MonotonicTime from, MonotonicTime to) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            sends, [&](const Send& send) { return send.zone == zone && send.at >= from && send.at < to; }));
    }
    bool doAllSend(const std::string& zone) const
    {
        return std::ranges::none_of(
            m_nodes, [&](const Node& node) { return !node.isInformed || node.evacuations.isEvacuated(zone); });
    }
    static std::string zoneName(size_t zone) { return "zone-" + std::to_string(zone); }
    size_t size() const { return m_nodes.size(); }

    struct Send {
        MonotonicTime at;
        std::string zone;
    };
    std::vector<Send> sends;
    std::set<size_t> cutFromLog; // Nodes that cannot read it.
    bool isLogDown = false;
    MonotonicTime now { std::chrono::hours(1) };

private:
    static constexpr int readInterval = 4; // In steps.
    static constexpr int pollInterval = 80;
    static constexpr int exchangeInterval = 25;
    static constexpr int sendInterval = 10;
    static constexpr size_t readersPerZone = 2;

    struct Record {
        std::string zone;
        Evacuations::Verdict verdict;
    };
    struct Node {
        Evacuations evacuations;
        std::optional<uint64_t> next; // Offset to read; nothing before a listing.
        bool isInformed = false; // It has the routes, from the log or from a node that has them.
        int phase = 0;
    };

    bool isReader(size_t node) const { return node < zoneCount * readersPerZone; }

    void stepNode(size_t index)
    {
        Node& node = m_nodes[index];
        int step = m_steps + node.phase;
        if (isReader(index) && step % readInterval == 0 && !isLogDown && !cutFromLog.contains(index))
            read(node);
        if (!isReader(index) && step % pollInterval == 0)
            tell(index % zoneCount + zoneCount * (m_random() % readersPerZone), index);
        if (step % exchangeInterval == 0) {
            size_t other = m_random() % m_nodes.size();
            tell(other, index);
            tell(index, other);
        }
        if (step % sendInterval != 0 || !node.isInformed)
            return;
        for (size_t zone = 0; zone < zoneCount; ++zone) {
            if (!node.evacuations.isEvacuated(zoneName(zone)))
                sends.push_back({ now, zoneName(zone) });
        }
    }

    void read(Node& node)
    {
        if (!node.next || *node.next < m_firstOffset) {
            std::map<std::string, Evacuations::Verdict> newest;
            for (const Record& record : m_log)
                newest.insert_or_assign(record.zone, record.verdict);
            node.evacuations.beginListing();
            for (const auto& [zone, verdict] : newest) {
                if (verdict != Evacuations::Verdict::Lifted)
                    node.evacuations.applyRecord(zone, verdict, 0, now);
            }
            node.evacuations.endListing(m_log.size(), now);
        } else {
            for (uint64_t offset = *node.next; offset < m_log.size(); ++offset)
                node.evacuations.applyRecord(m_log[offset].zone, m_log[offset].verdict, offset, now);
            node.evacuations.advance(m_log.size());
        }
        node.next = m_log.size();
        node.isInformed = true;
    }

    void tell(size_t from, size_t to)
    {
        const Node& sender = m_nodes[from];
        if (auto report = sender.evacuations.report(now))
            m_nodes[to].evacuations.applyReport(*report, now + step);
        m_nodes[to].isInformed = m_nodes[to].isInformed || sender.isInformed;
    }

    Random m_random;
    std::vector<Node> m_nodes;
    std::vector<Record> m_log;
    uint64_t m_firstOffset = 0;
    int m_steps = 0;
};

} // namespace Kumquatpick
