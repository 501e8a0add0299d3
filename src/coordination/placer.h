#pragma once

#include "coordination/state.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Hosts of one domain that a new replica may have: idle ones first, then by name.
struct FreeDomain {
    std::string zone;
    std::vector<std::string> hosts;
};

struct PlacementQuestion {
    const ServiceConfig& service;
    const OperatorConfig& text;
    const std::map<Offset, Claim>& claims;
    std::span<const ClaimProposal> proposed; // Earlier in the same round, not in claims yet.
    const std::map<std::string, FreeDomain>& freeDomains;
};

// Hosts for one replica, in rank order.
struct Placement {
    std::string domain;
    std::vector<std::string> hosts;
};

// Answers nothing if the service fits nowhere.
using Placer = std::function<std::optional<Placement>(const PlacementQuestion&)>;

// A service that is short of a replica, fits nowhere, and has no room coming either.
struct MoveQuestion {
    const PlacementQuestion& wanted; // Its free hosts are those that no other move or short service counts on.
    std::span<const Claim* const> movable; // Replicas that serve and of which no move is running.
};

// A replica to build a second time in another domain; the old one ends once the new one serves.
struct ReplicaMove {
    Offset claim = 0;
    Placement to;
};

// Answers nothing if no move makes room for the service.
using Mover = std::function<std::optional<ReplicaMove>(const MoveQuestion&)>;

// What the controller leaves to policy.
struct PlacementRules {
    Placer place;
    Mover move = [](const MoveQuestion&) { return std::nullopt; };
    // How many moves may run when one more for this service is begun.
    std::function<size_t(const ServiceConfig&, bool recoveriesWait)> movesAtOnce
        = [](const ServiceConfig&, bool) { return 0; };
    // Whether loads of moves wait while a replica of this service is down and loads.
    std::function<bool(const ServiceConfig&)> recoveryLoadsFirst = [](const ServiceConfig&) { return true; };
};

// The baseline: the first domain with enough free hosts, its first hosts.
std::optional<Placement> placeFirstFit(const PlacementQuestion&);

} // namespace Kumquatpick
