#pragma once

#include "base/ids.h"
#include "policy/admission.h"
#include "suspicion/suspicion.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

// The latest known digest sequence of one incarnation.
struct IncarnationSequence {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;

    bool operator==(const IncarnationSequence&) const = default;
};

// State that one node publishes about itself. Gossip forwards the latest digest of each node.
struct NodeDigest {
    NodeInfo node; // An update to a peer that has the other fields already carries only the incarnation.
    uint64_t sequence = 0; // Increases with each digest of this incarnation.
    bool stopping = false; // The node is shutting down as planned and gets no new callers or slots.
    Offset configVersion = 0;
    Offset logOffset = 0;
    uint32_t streams = 0; // Number of streams in flight; determines the weights in address answers.
    uint64_t usageSequence = 0; // Sequence of the digest that reported the usage; 0 if the usage is left out.
    std::vector<TeamUsage> usage; // Usage of this node; sent only within its availability zone.
    std::vector<TeamUsage> zoneUsage; // Total usage of the availability zone; set by one node of each zone.
    std::vector<SuspicionCount> suspicions; // Backend server deaths, counted by this and other nodes.
    std::vector<IncarnationSequence> suspects; // Nodes that this node cannot reach, with their latest known sequence.
};

} // namespace Kumquatpick
