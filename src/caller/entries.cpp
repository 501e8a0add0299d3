#include "caller/entries.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // Added to the streams of each node, so that a difference of a few streams changes the weights little.
    constexpr double baseStreams = 16;
    // Weight factor of nodes in other availability zones while the caller's own has any. They are listed for failover
    // and should get hardly any load.
    constexpr double otherZoneWeight = 0.02;

    struct RankedNode {
        EntryChoice choice;
        bool isInCallerZone = false;
        double score = 0; // Nodes with a lower score come first.
    };

    // Weighted rendezvous hashing: each node is first for a share of the callers in proportion to its weight.
    double rendezvousScore(std::string_view caller, const Address& address, double weight)
    {
        uint64_t hash = hash64(address.toString(), hash64(caller));
        double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
        return -std::log(uniform) / weight;
    }

}

std::vector<EntryChoice> chooseEntries(std::span<const EntryNode> nodes, std::string_view zone, std::string_view caller)
{
    std::vector<const EntryNode*> availableNodes;
    for (const EntryNode& node : nodes) {
        if (!node.stopping)
            availableNodes.push_back(&node);
    }
    if (availableNodes.empty())
        return {};
    bool zoneHasNode = std::ranges::any_of(availableNodes, [&](auto* node) { return node->zone == zone; });
    auto leastLoaded = *std::ranges::min_element(availableNodes, {}, &EntryNode::streams);
    std::vector<RankedNode> ranked;
    for (const EntryNode* node : availableNodes) {
        bool isInCallerZone = node->zone == zone || !zoneHasNode;
        double weight = (leastLoaded->streams + baseStreams) / (node->streams + baseStreams);
        double score = rendezvousScore(caller, node->address, weight);
        ranked.push_back({ { node->address, node->zone, isInCallerZone ? weight : weight * otherZoneWeight },
            isInCallerZone, score });
    }
    std::ranges::sort(ranked, [](const RankedNode& a, const RankedNode& b) {
        return std::tie(b.isInCallerZone, a.score, a.choice.address.ip, a.choice.address.port)
            < std::tie(a.isInCallerZone, b.score, b.choice.address.ip, b.choice.address.port);
    });
    std::vector<EntryChoice> choices;
    choices.reserve(ranked.size());
    for (RankedNode& entry : ranked)
        choices.push_back(std::move(entry.choice));
    return choices;
}

} // namespace Kumquatpick
