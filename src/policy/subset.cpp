#include "policy/subset.h"

#include "base/hash.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Combines two hashes. Cheaper than hashing each pair of names: 320 nodes and 12,000 replicas make almost four
    // million pairs.
    uint64_t combineHashes(uint64_t node, uint64_t replica)
    {
        uint64_t value = node ^ (replica * 0x9E3779B97F4A7C15);
        value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9;
        value = (value ^ (value >> 27)) * 0x94D049BB133111EB;
        return value ^ (value >> 31);
    }

} // namespace

std::vector<std::string> replicaSubset(std::string_view self, std::span<const std::string> nodes,
    std::span<const std::string> replicas, uint32_t watchersPerReplica)
{
    uint64_t selfHash = hash64(self);
    std::vector<uint64_t> otherHashes;
    otherHashes.reserve(nodes.size());
    for (const std::string& node : nodes) {
        if (node != self)
            otherHashes.push_back(hash64(node));
    }
    std::vector<std::string> watched;
    for (const std::string& replica : replicas) {
        uint64_t replicaHash = hash64(replica);
        uint64_t selfRank = combineHashes(selfHash, replicaHash);
        auto ranksHigher = [&](uint64_t other) { return combineHashes(other, replicaHash) > selfRank; };
        if (std::count_if(otherHashes.begin(), otherHashes.end(), ranksHigher) < ptrdiff_t(watchersPerReplica))
            watched.push_back(replica);
    }
    return watched;
}

} // namespace Kumquatpick
