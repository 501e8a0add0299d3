#pragma once

#include "coordination/record.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace Kumquatpick {

// Must never change during the life of a deployment, because keys hash to slots and minted keys contain their slot.
constexpr uint32_t slotCount = 1024;

uint32_t slotOf(std::string_view key);

// The members of a slot; its owner grants permits. Epoch 0 means that none were assigned yet. An empty witness name
// means that the slot has no witness, because a single node was left.
struct SlotAssignment {
    uint32_t epoch = 0;
    NodeInfo owner;
    NodeInfo witness;
    WallTime lostBefore {}; // Keys issued before this may have run, because a reset lost the journal.
    NodeId proposer {}; // The node whose frozen journal this epoch starts from.
    bool startsEmpty = false; // True for the first epoch and after a reset because both members were lost.

    bool operator==(const SlotAssignment&) const = default;
};

// The assignments of all slots, a deterministic function of the log records applied so far.
class SlotTable {
public:
    const SlotAssignment& assignment(uint32_t slot) const { return m_assignments[slot]; }
    // Applies each change that names the slot's current epoch and that is its first assignment, a reset, or proposed
    // by one of its members. Returns the slots that changed.
    std::vector<uint32_t> apply(const SlotsProposal&);
    void restore(uint32_t slot, SlotAssignment);

private:
    std::array<SlotAssignment, slotCount> m_assignments;
};

} // namespace Kumquatpick
