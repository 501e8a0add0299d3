#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// A node as others choose it for duties.
struct DutyNode {
    std::string address;
    double cpuShare = 0; // Of one core.
};

// The nodes that take on a duty for the others, by rendezvous hashing: each node chooses from those that it hears, so
// nothing has to be agreed, and one that comes or goes changes the choice only if it is chosen itself. Where views
// differ for a moment, a node more or none may see itself as chosen; what is chosen must bear that.
//
// Nodes with much of a core go first, and the others only where these are too few: the first plan of 760 hosts took a
// node with a twelfth of a core over ten seconds, and its lease ran out meanwhile.
std::vector<std::string> chooseNodes(std::span<const DutyNode> nodes, std::string_view duty, size_t count);

// Whether its share is near the largest of these.
bool isStrong(const DutyNode&, std::span<const DutyNode> all);

} // namespace Kumquatpick
