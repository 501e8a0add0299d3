#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Returns the replicas that a node watches and routes to when there are too many for each node to watch all. Uses
// rendezvous hashing: for each replica, the highest-ranked nodes watch it, exactly this many of them (or all, if there
// are fewer). When a node joins or leaves, only its own share moves. All nodes with the same lists agree.
std::vector<std::string> replicaSubset(std::string_view self, std::span<const std::string> nodes,
    std::span<const std::string> replicas, uint32_t watchersPerReplica);

} // namespace Kumquatpick
