#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Placement input for one service. Services are referred to by index, because each decision scans every domain.
struct PlacementService {
    uint32_t hostsPerReplica = 1;
    uint32_t wanted = 0;
    uint32_t placed = 0;
    double groupDowntimeWeight = 0.5;
    double strandedWeight = 0.5;
};

// A live host that runs no replica and is not leaving.
struct FreeHost {
    std::string host;
    // Index of the service whose weights are still in its memory; noService if none.
    uint32_t warmFor = 0;
};

constexpr uint32_t noService = UINT32_MAX;

struct PlacedReplica {
    uint32_t service = 0;
    std::string replica;
};

struct PlacementDomain {
    std::string domain;
    uint32_t zone = 0;
    std::vector<FreeHost> freeHosts;
    std::vector<PlacedReplica> replicas;
};

struct PlacementView {
    std::vector<PlacementService> services;
    std::vector<PlacementDomain> domains;
    uint32_t zones = 1;
};

// The domain and hosts chosen for a replica.
struct PlacementChoice {
    uint32_t domain = 0;
    std::vector<std::string> hosts;
};

// A replica to rebuild in another domain and then remove from its current one, so that the freed hosts make room for a
// replica that fits nowhere now.
struct PlacementMove {
    uint32_t service = 0;
    std::string replica;
    uint32_t fromDomain = 0;
    PlacementChoice to;
};

// Baseline: the first free hosts of the first domain with enough of them.
std::optional<PlacementChoice> firstFit(const PlacementView&, uint32_t service);

// Chooses the domain with the lowest cost: the effect of losing the domain, the time until the replica serves, and the
// remaining hosts that no replica fits on, combined by the service's two weights. Returns nothing if no domain has
// enough free hosts.
std::optional<PlacementChoice> choosePlacement(const PlacementView&, uint32_t service);

// Returns the cheapest single move that makes room for a service that fits nowhere.
std::optional<PlacementMove> chooseMove(const PlacementView&, uint32_t service);

// The number of moves that may load at once: each takes bandwidth of the weight store from replicas that are down.
uint32_t movesAtOnce(const PlacementService&, bool recoveriesWait);

// Whether moves start loading only after all replicas that are down have loaded.
bool recoveryLoadsFirst(const PlacementService&);

// How many of this many hosts in one domain remain unused in the best combination of replicas.
uint32_t unusableHosts(std::span<const PlacementService>, uint32_t hosts);

} // namespace Kumquatpick
