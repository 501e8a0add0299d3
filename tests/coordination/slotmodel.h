#pragma once

#include "coordination/slotguards.h"
#include "coordination/slotmember.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

// A pair of nodes, by index, for which a member may seal an epoch. A witness equal to the number of nodes means none.
struct SlotModelTakeover {
    uint32_t epoch = 0;
    size_t proposer = 0;
    size_t owner = 0;
    size_t witness = 0;
};

// The bounds of one run of the model checker: one key of one slot, a few arrivals of it and a few nodes. Messages are
// never removed from the network, so that each may be lost, delayed, duplicated or reordered. A node that takes no
// step models a paused node. A crashed node restarts as a new incarnation without state; if that takes no step, it
// models a node that does not restart.
struct SlotModelBounds {
    SlotGuards guards;
    uint8_t nodes = 3;
    std::vector<uint32_t> attempts { 1, 1 }; // One arrival each, at an entry node that is not a member.
    uint32_t epochs = 2;
    uint8_t crashes = 1;
    std::vector<size_t> mayCrash { 0, 1, 2 };
    std::vector<size_t> mayCancel { 0, 1, 2, 3 }; // Indexes of arrivals.
    std::vector<SlotModelTakeover> takeovers; // If not empty, only these are explored.
    bool replacesPartner = true; // A member may replace its partner at any time.
    bool changesProposedPair = false; // A sealed member may change the partner that it proposes.
    bool mayHandOver = false; // A member may propose a pair without itself.
    bool mayLackWitness = false; // A member may propose itself without a witness.
    bool mayReset = true; // A slot whose members both crashed may be reset.
    bool dropsExpired = false; // Members may drop entries older than the retention.
    Milliseconds issuedOffset { 0 }; // Issue time of the key, after the start of the model's time.
    Milliseconds reissueDelay { 0 }; // How much later than the first arrival's the issue time of other arrivals is.
    std::vector<Milliseconds> clocks { Milliseconds(0) }; // The readings that a node's clock may give at any step.
    bool hasSharedClock = false; // All nodes share one clock, which steps through the readings in order.
    size_t stateLimit = 0; // The number of states after which exploration stops; 0 means no limit.
};

struct SlotModelResult {
    size_t states = 0;
    size_t steps = 0;
    uint32_t depth = 0; // Of the deepest state, or of the violation; exploration finds the shortest violation.
    bool isComplete = false; // All states within the bounds were visited.
    std::string violation; // Empty if none was found.
    std::vector<std::string> trace;
    // Show that the explored states include the events under test.
    size_t dispatches = 0;
    size_t refusals = 0;
    uint32_t epochsReached = 0;
};

// Explores every interleaving, breadth first.
SlotModelResult exploreSlotModel(const SlotModelBounds&);
// Takes random walks from the initial state, of at most stepsPerWalk steps each, up to totalSteps in total.
SlotModelResult walkSlotModel(const SlotModelBounds&, uint64_t seed, size_t stepsPerWalk, size_t totalSteps);

} // namespace Kumquatpick
