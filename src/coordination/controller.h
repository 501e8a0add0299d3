#pragma once

#include "coordination/hostview.h"
#include "coordination/lease.h"
#include "coordination/placer.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// An order of the controller to the engine of one host, given under a claim.
struct HostOrder {
    enum class Kind : uint8_t {
        Load,
        Unload,
    };

    Kind kind = Kind::Load;
    std::string host;
    Offset claim = 0; // Its offset is the fencing number of the order.
    std::string service;
    std::string replica;
    std::string model;
    std::string modelVersion;
    uint32_t rank = 0;
    std::vector<std::string> peers; // All hosts of the replica, in rank order.
    uint64_t weightsBytes = 0;
    // The order must be sent before this time or be dropped: the lease under which it is valid ends shortly after.
    MonotonicTime sendBefore {};
};

// Actions are executed in order. Each one is idempotent, so it may be repeated if its response was lost.
using ControllerAction = std::variant<LeaseProposal, ClaimEndProposal, HostsFreedProposal, ClaimProposal, HostOrder>;

struct ControllerSettings {
    Milliseconds statusLifetime { 5'000 }; // Age from which a status is ignored: the host may no longer be probed.
    Milliseconds unresponsiveTimeout { 10'000 }; // A claim ends when one of its hosts has not answered for this long.
    // Time after which a host that is missing from the list counts as dead. Longer than the lists of two nodes may
    // differ.
    Milliseconds unlistedTimeout { 3'000 };
    Milliseconds minAnsweringTime { 2'000 }; // A host must have answered for this long before it can be claimed.
    // Time after the end of a claim within which every node stops sending work to it.
    Milliseconds routingDrainTime { 5'000 };
    // Time after the end of a claim for which requests on an unreachable host may still run.
    Milliseconds maxRequestTime { 120'000 };
    Milliseconds maxOrderDelay { 2'000 }; // Upper bound for the delivery of an order, including its timeout.
    // Delay before a node that most hosts do not answer proposes to take a free lease, so that other nodes can take it
    // first.
    Milliseconds disconnectedLeaseDelay { 10'000 };
    uint32_t maxLoadingHosts = 64; // Limited by the throughput of the weight store.
    uint32_t maxProposalsPerRound = 64; // The log accepts several hundred appends per second from all nodes together.
    double rollingUpdateShare
        = 0.1; // Share of a service's replicas that a version change may take down at the same time.
};

struct ControllerInput {
    const AcceptedConfig* config = nullptr;
    const std::map<Offset, Claim>& claims;
    const std::map<std::string, HostView, std::less<>>& hosts;
    const std::map<Offset, MonotonicTime>& endedAt; // When this node read the end of each ending claim.
    const LeaseTracker& lease;
    MonotonicTime hostDataSince {}; // When this node first received the host list; it has no host data from before.
    MonotonicTime now {};
};

// Returns the next steps from the current state of the deployment towards the accepted configuration. A pure function:
// the same input gives the same actions. It returns actions on claims and hosts only while this node holds the lease.
// It should be called again only after the proposals of the previous round were decided or abandoned; an earlier call
// would append some of them twice.
std::vector<ControllerAction> reconcile(const ControllerInput&, const ControllerSettings&, const PlacementRules&);
// Uses default rules with this placer, under which no replica is moved.
std::vector<ControllerAction> reconcile(const ControllerInput&, const ControllerSettings&, const Placer&);

} // namespace Kumquatpick
