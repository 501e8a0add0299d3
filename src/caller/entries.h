#pragma once

#include "base/address.h"
#include "caller/dependencies.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// One node in the list of nodes that a caller should call.
struct EntryChoice {
    Address address;
    std::string zone;
    double weight = 0; // The weight is above 0 and at most 1.
};

// Nodes that a caller should call, best first. Nodes in the caller's availability zone come before others, less loaded
// nodes have more weight, and stopping nodes are left out. The order depends on the caller's name, which spreads
// callers over nodes, and is the same for each call with the same nodes and loads.
std::vector<EntryChoice> chooseEntries(std::span<const EntryNode>, std::string_view zone, std::string_view caller);

} // namespace Kumquatpick
