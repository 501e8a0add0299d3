#pragma once

#include "base/clock.h"
#include "fleet/rendezvous.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Kumquatpick {

class NodeExchange;

// The nodes among which limits that hold for all nodes together are divided, as one node knows them.
//
// A node that falls silent may live on behind a partition, where it goes on using its share. So it stays a member for
// some time, unless it announced its stop, and a node that hears of no other keeps all members. A new process may have
// started behind a partition, or after nodes were lost. So it does not know the members until it has run for that time
// itself, or a process that knows them tells it, or the whole fleet starts for the first time. Thus a share is rather
// left unused than used twice.
class FleetMembers {
public:
    // Longer than most partitions last.
    static constexpr std::chrono::seconds lostNodeRetention { 30 };
    // From the start of a process until all others count it.
    static constexpr Milliseconds joinTime { 2000 };

    // isFirstStart: whether all nodes start now, and for the first time.
    FleetMembers(MonotonicTime started, bool isFirstStart);

    // To be called about once a second.
    void update(const NodeExchange&, MonotonicTime now);
    // The number of members, with this node; nullopt while they are unknown.
    std::optional<uint32_t> count() const { return m_count; }
    // Those that this process has heard of and that are not stopping, with this node; empty if it may be cut off from
    // all of them. After its start, some that were lost before may be missing.
    std::span<const CandidateNode> nodes() const { return m_nodes; }

private:
    MonotonicTime m_started;
    bool m_isFirstStart;
    std::optional<uint32_t> m_count;
    std::vector<CandidateNode> m_nodes;
};

} // namespace Kumquatpick
