#pragma once

#include "base/address.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Kumquatpick {

// Position of a record in the log; also the fencing number of the decision in the record.
// Offsets start at 1; 0 means "none yet".
using Offset = uint64_t;

// One run of a node process. A restarted process keeps its name and gets a new incarnation.
struct NodeId {
    std::string name;
    uint64_t incarnation = 0;

    auto operator<=>(const NodeId&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

// Identity, zone and addresses of a node, as peers and the log record them.
struct NodeInfo {
    NodeId id;
    std::string zone;
    Address peerAddress; // Cap'n Proto RPC between nodes.
    Address callerAddress; // HTTP for callers and operators.

    auto operator<=>(const NodeInfo&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

// Identifies one arrival of a request at an entry node; unique in the system.
struct ArrivalId {
    uint64_t incarnation = 0; // Of the entry node.
    uint64_t serial = 0;

    auto operator<=>(const ArrivalId&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

} // namespace Kumquatpick
