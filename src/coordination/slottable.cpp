#include "coordination/slottable.h"

#include "base/hash.h"
#include "coordination/slotkey.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // The proposer of a reset has verified that both members are gone. Any other change after the first must come from
    // a member, because only members have the journal. Owner and witness must be different nodes, or a single crash
    // would lose both copies of the journal.
    bool isAdmissible(const SlotAssignment& current, const SlotChange& change, const NodeId& proposer)
    {
        if (change.expectedEpoch != current.epoch)
            return false;
        if (change.owner.id.name.empty() || change.owner.id.name == change.witness.id.name)
            return false;
        if (!current.epoch || change.journalLost)
            return true;
        return proposer == current.owner.id || proposer == current.witness.id;
    }

} // namespace

uint32_t slotOf(std::string_view key)
{
    if (auto minted = MintedKey::parse(key))
        return minted->slot;
    return static_cast<uint32_t>(hash64(key) % slotCount);
}

std::vector<uint32_t> SlotTable::apply(const SlotsProposal& proposal)
{
    std::vector<uint32_t> changed;
    for (const SlotChange& change : proposal.changes) {
        if (change.slot >= slotCount)
            continue;
        SlotAssignment& current = m_assignments[change.slot];
        if (!isAdmissible(current, change, proposal.proposer))
            continue;
        current.startsEmpty = !current.epoch || change.journalLost;
        current.epoch++;
        current.owner = change.owner;
        current.witness = change.witness;
        current.proposer = proposal.proposer;
        if (change.journalLost)
            current.lostBefore = std::max(current.lostBefore, change.lostBefore);
        changed.push_back(change.slot);
    }
    return changed;
}

void SlotTable::restore(uint32_t slot, SlotAssignment assignment)
{
    if (slot < slotCount)
        m_assignments[slot] = std::move(assignment);
}

} // namespace Kumquatpick
