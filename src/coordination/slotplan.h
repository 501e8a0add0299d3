#pragma once

#include "base/clock.h"
#include "coordination/record.h"
#include "coordination/slotguards.h"
#include "coordination/slottable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Kumquatpick {

// Selects the nodes of slots: the least loaded ones, in a different availability zone than the partner if possible.
// Safety does not depend on the selection.
class SlotPlan {
public:
    // loads: the number of slots that each node is a member of.
    SlotPlan(std::span<const NodeInfo> live, const std::map<NodeId, uint32_t>& loads);

    // Selects a live node other than partner and the excluded ones, and adds one to its load; nullptr if there is none.
    const NodeInfo* choose(uint32_t slot, const NodeInfo& partner, std::span<const NodeId> excluded = {});

private:
    std::span<const NodeInfo> m_live;
    std::vector<uint32_t> m_loads;
};

// The change that resets a slot whose members are all proven gone; nothing without that proof. Both journals are lost,
// so each key issued before the reset may have run. The reset time is later than now by twice the clock skew: once for
// keys that the old owner accepted from ahead of its own clock, once for the difference between its clock and this one.
std::optional<SlotChange> resetChange(uint32_t slot, const SlotAssignment&, const std::set<NodeId>& provenGone,
    WallTime now, Milliseconds maxClockSkew, const SlotGuards& = {});

} // namespace Kumquatpick
