#pragma once

#include "fleet/rendezvous.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

class NodeTable;

// The live nodes of each zone and which of them are its relays, according to one node's table. Kept between two changes
// of the table. Not thread-safe; does no I/O.
class ZoneNodes {
public:
    // Rebuilds what is kept if the table has changed.
    void update(const NodeTable&);

    // Nodes that are neither silent nor stopping, including this one. An empty zone means all zones.
    std::span<const CandidateNode> nodesOf(std::string_view zone) const;
    std::span<const std::string> relaysOf(std::string_view zone) const;
    bool isRelayOf(std::string_view zone, std::string_view address) const;
    // Zones of such nodes, without the given one.
    std::vector<std::string> zonesWithout(std::string_view zone) const;
    // Nodes that are not silent, including this one and those that are stopping.
    size_t count() const { return m_count; }
    // Whether the fleet is so small that every node is a relay and calls all others.
    bool isFullMesh() const;

private:
    uint64_t m_tableVersion = UINT64_MAX;
    size_t m_count = 0;
    // Filled when asked for.
    mutable std::map<std::string, std::vector<CandidateNode>, std::less<>> m_nodes; // By zone; empty name: all.
    mutable std::map<std::string, std::vector<std::string>, std::less<>> m_relays; // By zone.
};

} // namespace Kumquatpick
