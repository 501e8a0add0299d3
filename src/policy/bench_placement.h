#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

enum class PlacementPolicy : uint8_t {
    FirstFit, // Baseline: the first domain that fits, without moves.
    Weighed, // Uses choosePlacement() and chooseMove().
};

// The results of one placement run over a fault sequence.
struct PlacementMetrics {
    double downReplicaHours = 0; // Wanted replicas that were not serving, integrated over time.
    double strandedHostHours = 0; // Healthy idle hosts while some wanted replica fits in no domain.
    double loadedHosts = 0; // Hosts whose weights were loaded from the weight store.
    double loadingHours = 0; // The part of downReplicaHours that was spent loading weights.
    uint64_t moves = 0;
    // Lower bounds for any placement, given the hosts that were up. Loading time is not counted.
    double downBound = 0;
    double strandedBound = 0;
};

struct PlacementRun {
    PlacementPolicy policy = PlacementPolicy::FirstFit;
    double groupDowntimeWeight = 0.5;
    double strandedWeight = 0.5;
    uint64_t seed = 1;
    double days = 30;
    double hoursPerLoad = 0.03; // Time to load one host's weights at the weight store's full rate.
};

// Simulates placement over a seeded sequence of host failures, short host outages and domain outages, with weights
// loaded from one rate-limited weight store. The same seed gives the same faults for every policy.
PlacementMetrics runPlacement(const PlacementRun&);

} // namespace Kumquatpick
