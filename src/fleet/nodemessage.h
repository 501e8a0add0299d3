#pragma once

#include "base/clock.h"
#include "fleet/evacuations.h"
#include "fleet/hostfact.h"
#include "fleet/nodetable.h"
#include "fleet/ratelimits.h"
#include "fleet/servicemodel.h"
#include "suspicion/suspicion.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// Up to where a node has received the changes of another one.
struct FeedPosition {
    uint64_t incarnation = 0; // Of the node whose changes these are.
    uint64_t nodes = 0;
    uint64_t facts = 0;
    uint64_t suspicions = 0;

    bool operator==(const FeedPosition&) const = default;
};

// A time of the receiver's clock that the sender passes back, and how long it held it. It bounds how long a message was
// under way: a partition may delay it for as long as it lasts.
struct ClockEcho {
    uint64_t incarnation = 0; // Of the receiver when its clock showed this time.
    Milliseconds at {};
    Milliseconds heldFor {};
};

// One direction of an exchange between two nodes.
struct NodeMessage {
    NodeState sender;
    bool isRelay = false; // The sender passes on the states of other nodes.
    bool isSettled = false; // The sender has been running long enough to know the other nodes.
    uint64_t configVersion = 0;
    uint64_t controllerTerm = 0; // Newest term that the sender knows; see ControllerLease.
    bool anyCallSeen = false; // Any node has seen a call.
    uint32_t fleetNodes = 0; // Among which the sender divides limits, with those lost lately; 0 if it does not know.
    std::map<std::string, uint32_t, std::less<>> inFlight; // By host; only in a full mesh.
    UnmetDemand unmetDemand; // Only in a full mesh.
    std::map<std::string, Milliseconds, std::less<>> progressAges; // See NodeLoads; only in a full mesh.
    bool isProgressReadable = true; // Unreadable ages are ignored.
    std::vector<HostRateLimit> limits;
    std::optional<EvacuationReport> evacuations; // Nothing if the sender knows of none.
    std::vector<NodeState> nodes;
    std::vector<HostFact> facts;
    std::vector<SuspicionCount> suspicions;
    FeedPosition sent; // The receiver has the sender's changes up to here.
    FeedPosition received; // The sender has the receiver's changes up to here.
    std::optional<NodeTable::BucketHashes> bucketHashes; // If the sender has no position in the receiver's changes.
    std::vector<std::string> unreachable; // Relays that did not answer the sender.
    bool hasMore = false; // More changes are ready to be sent.
    Milliseconds clock {}; // Of the sender, to be passed back.
    std::optional<ClockEcho> echo;
};

} // namespace Kumquatpick
