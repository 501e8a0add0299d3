#include "coordination/slotserviceimpl.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds expiryPeriod { 30'000 };

}

bool SlotService::Impl::isDue(MonotonicTime& last, MonotonicTime now, Milliseconds period) const
{
    if (last != MonotonicTime {} && now - last < period)
        return false;
    last = now;
    return true;
}

SlotService::Impl::Tick SlotService::Impl::startTick(MonotonicTime now, WallTime wall, std::span<const NodeInfo> live)
{
    std::lock_guard lock(slotsPerNodeMutex);
    Tick tick { now, wall, live, SlotPlan(live, slotsPerNode) };
    for (const NodeInfo& node : live)
        tick.liveIds.insert(node.id);
    tick.otherNodes = tick.liveIds.size() - tick.liveIds.count(self.id);
    tick.isResendDue = isDue(lastResend, now, settings.resendInterval);
    tick.isReproposeDue = isDue(lastRepropose, now, settings.reproposeInterval);
    tick.isExpiryDue = isDue(lastExpiry, now, expiryPeriod);
    return tick;
}

// Resets depend on this proof alone. It is therefore rejected for nodes in the live list and for this node: if the two
// sources contradict each other, the proof may be wrong.
void SlotService::Impl::recordProvenGone(const Tick& tick, std::span<const NodeId> reportedGone)
{
    provenGone.insert(reportedGone.begin(), reportedGone.end());
    provenGone.erase(self.id);
    std::erase_if(provenGone, [&](const NodeId& id) { return tick.liveIds.contains(id); });
}

// Records since when each partner is missing from the live nodes, and when the set of live nodes last changed.
void SlotService::Impl::updateMissingSince(const Tick& tick)
{
    std::set<NodeId> partners;
    for (Shard& shard : shards) {
        std::lock_guard lock(shard.mutex);
        for (const SlotMember& member : shard.members) {
            if (!member.isMember())
                continue;
            partners.insert(member.assignment().owner.id);
            partners.insert(member.assignment().witness.id);
            partners.insert(member.proposedWitness().id);
        }
    }
    std::erase_if(missingSince,
        [&](const auto& entry) { return !partners.contains(entry.first) || tick.liveIds.contains(entry.first); });
    for (const NodeId& id : partners) {
        if (id != self.id && !tick.liveIds.contains(id))
            missingSince.try_emplace(id, tick.now);
    }
    if (lastLiveIds != tick.liveIds)
        liveIdsSince = tick.now;
    lastLiveIds = tick.liveIds;
}

// True if the node is to be replaced. It may still be alive; sealing makes that case safe.
bool SlotService::Impl::shouldReplace(const NodeInfo& node, const Tick& tick) const
{
    if (provenGone.contains(node.id))
        return true;
    auto missing = missingSince.find(node.id);
    return missing != missingSince.end() && tick.now - missing->second >= settings.partnerTimeout;
}

// Any node may propose members for a slot that has none. The live node with the lowest id does so, once the set of
// live nodes has been stable for partnerTimeout, so that slots are spread over nodes that start at the same time. Other
// nodes do so only if slots stay without members for three times reproposeInterval.
bool SlotService::Impl::shouldAssignSlots(const Tick& tick)
{
    if (isLeaving || tick.now - liveIdsSince < settings.partnerTimeout)
        return false;
    bool isFirst = !tick.liveIds.empty() && *tick.liveIds.begin() == self.id;
    bool isOverdue
        = unassignedSince != MonotonicTime::max() && tick.now - unassignedSince >= 3 * settings.reproposeInterval;
    return (isFirst || isOverdue) && isDue(lastAssign, tick.now, settings.reproposeInterval);
}

void SlotService::Impl::proposeFirstPair(uint32_t slot, SlotChange change, Tick& tick, SlotActions& actions) const
{
    const NodeInfo* owner = tick.plan.choose(slot, NodeInfo {});
    if (!owner)
        return;
    const NodeInfo* witness = tick.plan.choose(slot, *owner);
    if (!witness && !tick.mayLackWitness)
        return;
    change.slot = slot;
    change.owner = *owner;
    change.witness = witness ? *witness : NodeInfo {};
    actions.emplace_back(std::move(change));
}

// True if the partner acknowledged no record, or the proposed pair no journal part, for a whole reproposeInterval,
// although the partner is listed as live.
bool SlotService::Impl::isStuck(uint32_t slot, const SlotMember& member, const Tick& tick)
{
    if (!tick.isReproposeDue)
        return false;
    uint64_t progress = member.isSealed() ? member.missingParts() : member.oldestUnacknowledged();
    uint64_t previous = std::exchange(lastProgress[slot], progress);
    return progress && progress == previous;
}

void SlotService::Impl::tickMember(uint32_t slot, SlotMember& member, Tick& tick, SlotActions& actions)
{
    if (tick.isResendDue)
        member.resend(actions);
    if (tick.isReproposeDue)
        member.propose(actions);
    if (tick.isExpiryDue)
        member.dropExpired(tick.wall);
    if (isLeaving || !member.holdsJournal())
        return;
    const SlotAssignment& assignment = member.assignment();
    const NodeInfo& partner = member.isOwner() ? assignment.witness : assignment.owner;
    const NodeInfo& expectedPartner = member.isSealed() ? member.proposedWitness() : partner;
    bool hasNoPartner = expectedPartner.id.name.empty();
    bool needsNewPartner
        = hasNoPartner ? tick.otherNodes > 0 : shouldReplace(expectedPartner, tick) || isStuck(slot, member, tick);
    if (!needsNewPartner)
        return;
    const NodeInfo* next = tick.plan.choose(slot, self, std::array { partner.id, expectedPartner.id });
    if (next || (tick.mayLackWitness && !hasNoPartner))
        member.replacePair(self, next ? *next : NodeInfo {}, actions);
}

void SlotService::Impl::tickSlot(uint32_t slot, Tick& tick, SlotActions& actions)
{
    SlotMember& member = memberOf(slot);
    const SlotAssignment& assignment = member.assignment();
    if (member.isMember())
        tickMember(slot, member, tick, actions);
    bool isOwnerLive = tick.liveIds.contains(assignment.owner.id);
    bool isWitnessLive = assignment.witness.id.name.empty() || tick.liveIds.contains(assignment.witness.id);
    bool isDeciding = !member.isMember() || (member.holdsJournal() && !member.isSealed());
    if (isOwnerLive && isWitnessLive && isDeciding && assignment.lostBefore <= tick.wall)
        (member.isOwner() ? tick.mintableOwnedSlots : tick.mintableSlots).push_back(slot);
    if (!tick.isReproposeDue && !tick.assignsSlots)
        return;
    auto change = resetChange(slot, assignment, provenGone, tick.wall, settings.maxClockSkew);
    if (assignment.epoch && !change)
        return;
    tick.foundUnassigned = true;
    if (tick.assignsSlots)
        proposeFirstPair(slot, change.value_or(SlotChange {}), tick, actions);
}

// Void requests of arrivals that timed out are repeated ten times less often: they are less urgent, and an outage can
// leave many of them.
void SlotService::Impl::resendWaiters(Shard& shard, const Tick& tick, SlotActions& actions) const
{
    auto isTimedOut = [](const PermitWaiter& waiter) { return waiter.timedOutAt != MonotonicTime::max(); };
    std::erase_if(shard.waiters, [&](const auto& entry) {
        const PermitWaiter& waiter = *entry.second;
        return isTimedOut(waiter) && tick.now - waiter.timedOutAt > settings.voidResendDuration;
    });
    for (auto& [id, waiter] : shard.waiters) {
        Milliseconds period = isTimedOut(*waiter) ? 10 * settings.resendInterval : settings.resendInterval;
        if (tick.now - waiter->lastSent < period)
            continue;
        waiter->lastSent = tick.now;
        sendToOwner(shard, *waiter, actions);
    }
}

// Proposes a pair without this node and copies the journal to both nodes. The partner becomes the owner if it is live.
void SlotService::Impl::handOverSlot(
    uint32_t slot, SlotMember& member, SlotPlan& plan, std::span<const NodeInfo> live, SlotActions& actions) const
{
    auto isStaying = [&](const NodeInfo& node) {
        return node.id != self.id && std::find(live.begin(), live.end(), node) != live.end();
    };
    bool isHandOverPending = isStaying(member.proposedOwner())
        && (member.proposedWitness().id.name.empty() || isStaying(member.proposedWitness()));
    if (isHandOverPending)
        return;
    const SlotAssignment& assignment = member.assignment();
    const NodeInfo& partner = member.isOwner() ? assignment.witness : assignment.owner;
    const NodeInfo* owner = isStaying(partner) ? &partner : plan.choose(slot, NodeInfo {}, std::array { self.id });
    if (!owner)
        return;
    NodeInfo nextOwner = *owner;
    const NodeInfo* witness = plan.choose(slot, nextOwner, std::array { self.id });
    member.replacePair(nextOwner, witness ? *witness : NodeInfo {}, actions);
}

void SlotService::Impl::adjustSlotCount(const SlotAssignment& assignment, int32_t by)
{
    for (const NodeInfo& node : { assignment.owner, assignment.witness }) {
        auto count = slotsPerNode.try_emplace(node.id, 0).first;
        count->second += static_cast<uint32_t>(by);
        if (!count->second)
            slotsPerNode.erase(count);
    }
}

} // namespace Kumquatpick
