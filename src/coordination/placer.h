#pragma once

#include "coordination/state.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Hosts of one fault domain that are available to a new replica: idle hosts first, then by name.
struct FreeDomain {
    std::string zone;
    std::vector<std::string> hosts;
};

struct PlacementRequest {
    const ServiceConfig& service;
    const OperatorConfig& text;
    const std::map<Offset, Claim>& claims;
    std::span<const ClaimProposal> proposed; // Claims proposed earlier in the same round, not yet in `claims`.
    const std::map<std::string, FreeDomain>& freeDomains;
};

// The hosts for one replica, in rank order.
struct Placement {
    std::string domain;
    std::vector<std::string> hosts;
};

// Returns no value if no domain has room for the service.
using Placer = std::function<std::optional<Placement>(const PlacementRequest&)>;

// A service that lacks a replica for which no domain has room or will soon have room.
struct MoveRequest {
    // Its free hosts exclude those reserved for other moves and for other services that lack replicas.
    const PlacementRequest& wanted;
    std::span<const Claim* const> movable; // Replicas that are ready and are not being moved.
};

// A replica to be rebuilt in another domain; the old claim ends once the new replica is ready.
struct ReplicaMove {
    Offset claim = 0;
    Placement to;
};

// Returns no value if no move makes room for the service.
using Mover = std::function<std::optional<ReplicaMove>(const MoveRequest&)>;

// Placement policy that the controller is configured with.
struct PlacementRules {
    Placer place;
    Mover move = [](const MoveRequest&) { return std::nullopt; };
    // Upper limit for running moves when another one is begun for this service.
    std::function<size_t(const ServiceConfig&, bool recoveriesWait)> movesAtOnce
        = [](const ServiceConfig&, bool) { return 0; };
    // Whether the loads of moves wait while a replica of this service is down and recovering.
    std::function<bool(const ServiceConfig&)> recoveryLoadsFirst = [](const ServiceConfig&) { return true; };
};

// Default policy: takes the first hosts of the first domain that has enough free hosts.
std::optional<Placement> placeFirstFit(const PlacementRequest&);

} // namespace Kumquatpick
