#include "coordination/slotserviceimpl.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds forgetPeriod { 30'000 };

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
    std::lock_guard lock(loadsMutex);
    Tick tick { now, wall, live, SlotPlan(live, loads) };
    for (const NodeInfo& node : live)
        tick.liveIds.insert(node.id);
    tick.others = tick.liveIds.size() - tick.liveIds.count(self.id);
    tick.resends = isDue(lastResend, now, settings.resend);
    tick.reproposes = isDue(lastRepropose, now, settings.repropose);
    tick.forgets = isDue(lastForget, now, forgetPeriod);
    return tick;
}

// Resets depend on this proof alone. It is therefore rejected for nodes in the live list and for this node: if the two
// sources contradict each other, the proof may be wrong.
void SlotService::Impl::noteGone(const Tick& tick, std::span<const NodeId> gone)
{
    provenGone.insert(gone.begin(), gone.end());
    provenGone.erase(self.id);
    std::erase_if(provenGone, [&](const NodeId& id) { return tick.liveIds.contains(id); });
}

// Records since when each partner is missing from the live nodes, and when the set of live nodes last changed.
void SlotService::Impl::noteMissing(const Tick& tick)
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
    if (lastLive != tick.liveIds)
        liveSince = tick.now;
    lastLive = tick.liveIds;
}

// True if the node is to be replaced. It may still be alive; sealing makes that case safe.
bool SlotService::Impl::isGone(const NodeInfo& node, const Tick& tick) const
{
    if (provenGone.contains(node.id))
        return true;
    auto missing = missingSince.find(node.id);
    return missing != missingSince.end() && tick.now - missing->second >= settings.partnerGrace;
}

// Any node may propose members for a slot that has none. The live node with the lowest id does so, once the set of
// live nodes has been stable for partnerGrace, so that slots are spread over nodes that start at the same time. Other
// nodes do so only if slots stay without members for three times the repropose interval.
bool SlotService::Impl::startsSlots(const Tick& tick)
{
    if (isLeaving || tick.now - liveSince < settings.partnerGrace)
        return false;
    bool isFirst = !tick.liveIds.empty() && *tick.liveIds.begin() == self.id;
    bool isOverdue = orphansSince != MonotonicTime::max() && tick.now - orphansSince >= 3 * settings.repropose;
    return (isFirst || isOverdue) && isDue(lastStart, tick.now, settings.repropose);
}

void SlotService::Impl::startSlot(uint32_t slot, SlotChange change, Tick& tick, SlotActions& actions) const
{
    const NodeInfo* owner = tick.plan.choose(slot, NodeInfo {});
    if (!owner)
        return;
    const NodeInfo* witness = tick.plan.choose(slot, *owner);
    if (!witness && !tick.mayBeAlone)
        return;
    change.slot = slot;
    change.owner = *owner;
    change.witness = witness ? *witness : NodeInfo {};
    actions.emplace_back(std::move(change));
}

// True if the partner acknowledged no record, or the proposed pair no journal part, for a whole repropose interval,
// although the partner is listed as live.
bool SlotService::Impl::isStuck(uint32_t slot, const SlotMember& member, const Tick& tick)
{
    if (!tick.reproposes)
        return false;
    uint64_t awaited = member.isSealed() ? member.partsMissing() : member.oldestUnwitnessed();
    uint64_t before = std::exchange(lastAwaited[slot], awaited);
    return awaited && awaited == before;
}

void SlotService::Impl::tickMember(uint32_t slot, SlotMember& member, Tick& tick, SlotActions& actions)
{
    if (tick.resends)
        member.resend(actions);
    if (tick.reproposes)
        member.propose(actions);
    if (tick.forgets)
        member.forget(tick.wall);
    if (isLeaving || !member.holdsJournal())
        return;
    const SlotAssignment& assignment = member.assignment();
    const NodeInfo& partner = member.isOwner() ? assignment.witness : assignment.owner;
    const NodeInfo& awaited = member.isSealed() ? member.proposedWitness() : partner;
    bool isAlone = awaited.id.name.empty();
    bool isReplaced = isAlone ? tick.others > 0 : isGone(awaited, tick) || isStuck(slot, member, tick);
    if (!isReplaced)
        return;
    const NodeInfo* next = tick.plan.choose(slot, self, std::array { partner.id, awaited.id });
    if (next || (tick.mayBeAlone && !isAlone))
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
        (member.isOwner() ? tick.mintableOwned : tick.mintable).push_back(slot);
    if (!tick.reproposes && !tick.startsSlots)
        return;
    auto change = resetChange(slot, assignment, provenGone, tick.wall, settings.clockSkew);
    if (assignment.epoch && !change)
        return;
    tick.sawOrphan = true;
    if (tick.startsSlots)
        startSlot(slot, change.value_or(SlotChange {}), tick, actions);
}

// Void requests of arrivals that gave up are repeated ten times less often: they are less urgent, and an outage can
// leave many of them.
void SlotService::Impl::tickWaiters(Shard& shard, const Tick& tick, SlotActions& actions) const
{
    auto isAbandoned = [](const PermitWaiter& waiter) { return waiter.abandonedAt != MonotonicTime::max(); };
    std::erase_if(shard.waiters, [&](const auto& entry) {
        const PermitWaiter& waiter = *entry.second;
        return isAbandoned(waiter) && tick.now - waiter.abandonedAt > settings.abandonedFor;
    });
    for (auto& [id, waiter] : shard.waiters) {
        Milliseconds period = isAbandoned(*waiter) ? 10 * settings.resend : settings.resend;
        if (tick.now - waiter->lastSent < period)
            continue;
        waiter->lastSent = tick.now;
        askOwner(shard, *waiter, actions);
    }
}

// Proposes a pair without this node and copies the journal to both nodes. The partner becomes the owner if it is live.
void SlotService::Impl::leave(
    uint32_t slot, SlotMember& member, SlotPlan& plan, std::span<const NodeInfo> live, SlotActions& actions) const
{
    auto isStaying = [&](const NodeInfo& node) {
        return node.id != self.id && std::find(live.begin(), live.end(), node) != live.end();
    };
    bool isUnderWay = isStaying(member.proposedOwner())
        && (member.proposedWitness().id.name.empty() || isStaying(member.proposedWitness()));
    if (isUnderWay)
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

void SlotService::Impl::countLoad(const SlotAssignment& assignment, int32_t by)
{
    for (const NodeInfo& node : { assignment.owner, assignment.witness }) {
        auto load = loads.try_emplace(node.id, 0).first;
        load->second += static_cast<uint32_t>(by);
        if (!load->second)
            loads.erase(load);
    }
}

} // namespace Kumquatpick
