#include "coordination/slotplan.h"

#include "base/hash.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace Kumquatpick {

namespace {

    // Breaks ties between equally loaded nodes by a hash that differs between slots and is the same on every node.
    uint64_t tieBreak(uint32_t slot, const NodeInfo& node) { return hash64(node.id.name, slot); }

    bool isProvenGone(const NodeInfo& member, const std::set<NodeId>& provenGone)
    {
        return member.id.name.empty() || provenGone.contains(member.id);
    }

} // namespace

SlotPlan::SlotPlan(std::span<const NodeInfo> live, const std::map<NodeId, uint32_t>& loads)
    : m_live(live)
{
    for (const NodeInfo& node : live) {
        auto load = loads.find(node.id);
        m_loads.push_back(load == loads.end() ? 0 : load->second);
    }
}

const NodeInfo* SlotPlan::choose(uint32_t slot, const NodeInfo& partner, std::span<const NodeId> excluded)
{
    size_t best = m_live.size();
    auto rankOf
        = [&](size_t i) { return std::tuple(m_live[i].zone == partner.zone, m_loads[i], tieBreak(slot, m_live[i])); };
    for (size_t i = 0; i < m_live.size(); i++) {
        const NodeInfo& node = m_live[i];
        bool isExcluded
            = std::any_of(excluded.begin(), excluded.end(), [&](const NodeId& id) { return id.name == node.id.name; });
        if (isExcluded || node.id.name == partner.id.name)
            continue;
        if (best == m_live.size() || rankOf(i) < rankOf(best))
            best = i;
    }
    if (best == m_live.size())
        return nullptr;
    m_loads[best]++;
    return &m_live[best];
}

std::optional<SlotChange> resetChange(uint32_t slot, const SlotAssignment& assignment,
    const std::set<NodeId>& provenGone, WallTime now, Milliseconds maxClockSkew, const SlotGuards& guards)
{
    if (!assignment.epoch)
        return std::nullopt;
    bool isProven = isProvenGone(assignment.owner, provenGone) && isProvenGone(assignment.witness, provenGone);
    if (!isProven && guards.resetNeedsProof)
        return std::nullopt;
    SlotChange change;
    change.slot = slot;
    change.expectedEpoch = assignment.epoch;
    change.journalLost = true;
    change.lostBefore = now + 2 * maxClockSkew;
    return change;
}

} // namespace Kumquatpick
