#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// A node that can be chosen for a duty.
struct CandidateNode {
    std::string address;
    double cpuShare = 0; // Of one core.
};

// Chooses the nodes that take on a duty for the others, by rendezvous hashing. Each node chooses among those it has
// classified as alive, so no agreement is needed, and a node that joins or leaves changes the choice only if it is
// chosen itself. While the views of nodes differ, a duty may be performed by one node too many or by none; every duty
// must tolerate that.
//
// Nodes with a large CPU share are preferred, and the others are used only if there are too few of these. On a node
// with a twelfth of a core, the first plan for 760 hosts took over ten seconds, and the node's lease expired meanwhile.
std::vector<std::string> chooseNodes(std::span<const CandidateNode> nodes, std::string_view duty, size_t count);

// Whether the node's CPU share is at least half of the largest one.
bool hasLargeCpuShare(const CandidateNode&, std::span<const CandidateNode> all);

} // namespace Kumquatpick
