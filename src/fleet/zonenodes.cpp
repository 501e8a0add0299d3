#include "fleet/zonenodes.h"

#include "fleet/nodetable.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // In a fleet of at most this size every node is a relay.
    constexpr size_t fullMeshNodes = 9;
    // Bounds the calls that a relay answers: 256 a second.
    constexpr size_t nodesPerRelay = 64;
    // With two, a zone is not without a relay when one ends.
    constexpr size_t minRelays = 2;
    constexpr const char* duty = "relay";

}

void ZoneNodes::update(const NodeTable& table)
{
    if (m_tableVersion == table.version())
        return;
    m_tableVersion = table.version();
    m_nodes.clear();
    m_relays.clear();
    m_count = 1;
    auto add = [this](const NodeState& state) { m_nodes[state.zone].push_back({ state.address, state.cpuShare }); };
    add(table.self());
    for (const auto& [address, entry] : table.others()) {
        if (entry.state.isSilent)
            continue;
        ++m_count;
        if (!entry.state.isStopping)
            add(entry.state);
    }
}

bool ZoneNodes::isFullMesh() const { return m_count <= fullMeshNodes; }

std::span<const CandidateNode> ZoneNodes::nodesOf(std::string_view zone) const
{
    auto found = m_nodes.find(zone);
    if (found != m_nodes.end())
        return found->second;
    if (!zone.empty())
        return {};
    std::vector<CandidateNode> all;
    for (const auto& [name, nodes] : m_nodes)
        all.insert(all.end(), nodes.begin(), nodes.end());
    return m_nodes.emplace("", std::move(all)).first->second;
}

std::span<const std::string> ZoneNodes::relaysOf(std::string_view zone) const
{
    auto found = m_relays.find(zone);
    if (found == m_relays.end()) {
        auto nodes = nodesOf(zone);
        size_t count = std::max(minRelays, (nodes.size() + nodesPerRelay - 1) / nodesPerRelay);
        if (isFullMesh())
            count = nodes.size();
        found = m_relays.emplace(std::string(zone), chooseNodes(nodes, duty, count)).first;
    }
    return found->second;
}

bool ZoneNodes::isRelayOf(std::string_view zone, std::string_view address) const
{
    auto relays = relaysOf(zone);
    return std::ranges::find(relays, address) != relays.end();
}

std::vector<std::string> ZoneNodes::zonesWithout(std::string_view zone) const
{
    std::vector<std::string> zones;
    for (const auto& [name, nodes] : m_nodes) {
        if (!name.empty() && name != zone)
            zones.push_back(name);
    }
    return zones;
}

} // namespace Kumquatpick
