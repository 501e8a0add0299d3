#include "coordination/slotserviceimpl.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Kumquatpick {

namespace {

    constexpr size_t changesPerRecord = 256;

}

SlotService::Impl::Impl(NodeInfo self, Settings settings, Sender sender, Proposer proposer)
    : self(std::move(self))
    , settings(settings)
    , sender(std::move(sender))
    , proposer(std::move(proposer))
{
    SlotLimits limits;
    limits.retention = settings.retention;
    limits.maxClockSkew = settings.maxClockSkew;
    for (uint32_t slot = 0; slot < slotCount; slot++)
        shardOf(slot).members.emplace_back(slot, this->self, limits);
}

// Messages to this node are handled directly, without the transport.
void SlotService::Impl::perform(SlotActions actions)
{
    while (!actions.empty()) {
        SlotActions next;
        for (SlotAction& action : actions) {
            if (auto* change = std::get_if<SlotChange>(&action)) {
                queueChange(std::move(*change));
                continue;
            }
            auto& send = std::get<SlotSend>(action);
            if (send.to.id != self.id) {
                sender(send.to, send.message);
                continue;
            }
            if (auto* reply = std::get_if<PermitReply>(&send.message)) {
                resolveWaiter(*reply);
                continue;
            }
            WallTime now { Milliseconds(wallMs.load()) };
            std::visit(
                [&](const auto& message) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(message)>, PermitReply>) {
                        std::lock_guard lock(shardOf(message.slot).mutex);
                        memberOf(message.slot).handle(message, now, next);
                    }
                },
                send.message);
        }
        actions = std::move(next);
    }
}

void SlotService::Impl::queueChange(SlotChange change)
{
    std::lock_guard lock(changesMutex);
    changes.push_back(std::move(change));
}

void SlotService::Impl::flushChanges()
{
    std::vector<SlotChange> ready;
    {
        std::lock_guard lock(changesMutex);
        ready.swap(changes);
    }
    for (size_t first = 0; first < ready.size(); first += changesPerRecord) {
        size_t last = std::min(first + changesPerRecord, ready.size());
        SlotsProposal proposal;
        proposal.proposer = self.id;
        proposal.changes.assign(
            ready.begin() + static_cast<ptrdiff_t>(first), ready.begin() + static_cast<ptrdiff_t>(last));
        proposer(proposal);
    }
}

void SlotService::Impl::resolveWaiter(const PermitReply& reply)
{
    Shard& shard = shardOf(reply.slot);
    std::lock_guard lock(shard.mutex);
    auto found = shard.waiters.find(reply.arrival);
    if (found == shard.waiters.end())
        return;
    PermitWaiter& waiter = *found->second;
    auto outcome = waiter.arrival.handle(reply);
    if (!outcome)
        return;
    waiter.outcome = std::move(outcome);
    waiter.decided.notify_all();
    shard.waiters.erase(found);
}

// Sends nothing while the slot has no owner; the next tick or assignment sends the request.
void SlotService::Impl::sendToOwner(const Shard& shard, const PermitWaiter& waiter, SlotActions& actions) const
{
    const SlotAssignment& assignment = shard.members[waiter.slot / shardCount].assignment();
    if (assignment.epoch)
        actions.push_back(SlotSend { assignment.owner, waiter.arrival.makeRequest(waiter.slot, assignment.epoch) });
}

PermitOutcome SlotService::Impl::waitForOutcome(SlotArrival arrival, MonotonicTime deadline)
{
    MonotonicTime start = monotonicNow();
    deadline = std::min(deadline, start + settings.maxWait);
    auto waiter = std::make_shared<PermitWaiter>(std::move(arrival));
    waiter->slot = slotOf(waiter->arrival.requestKey().key);
    waiter->lastSent = start;
    Shard& shard = shardOf(waiter->slot);
    SlotActions actions;
    {
        std::lock_guard lock(shard.mutex);
        shard.waiters[waiter->arrival.id()] = waiter;
        sendToOwner(shard, *waiter, actions);
    }
    perform(std::move(actions));
    std::unique_lock lock(shard.mutex);
    waiter->decided.wait_until(lock, deadline, [&] { return waiter->outcome.has_value(); });
    if (waiter->outcome)
        return *waiter->outcome;
    waiter->arrival.cancel();
    waiter->timedOutAt = deadline;
    return {};
}

SlotService::SlotService(NodeInfo self, Settings settings, Sender sender, Proposer proposer)
    : m_impl(std::make_unique<Impl>(std::move(self), settings, std::move(sender), std::move(proposer)))
{
}

SlotService::~SlotService() = default;

void SlotService::deliver(const SlotMessage& message)
{
    bool isValidSlot = std::visit([](const auto& m) { return m.slot < slotCount; }, message);
    if (isValidSlot)
        m_impl->perform({ SlotSend { m_impl->self, message } });
}

PermitOutcome SlotService::permit(const RequestKey& request, ArrivalId arrival, MonotonicTime deadline)
{
    return m_impl->waitForOutcome(SlotArrival(request, arrival, m_impl->self), deadline);
}

PermitOutcome SlotService::makeVoid(const RequestKey& request, ArrivalId arrival, MonotonicTime deadline)
{
    SlotArrival cancelledArrival(request, arrival, m_impl->self);
    cancelledArrival.cancel();
    return m_impl->waitForOutcome(std::move(cancelledArrival), deadline);
}

void SlotService::applyAssignments(const SlotTable& table, std::span<const uint32_t> slots)
{
    Impl& impl = *m_impl;
    SlotActions actions;
    for (uint32_t slot : slots) {
        Impl::Shard& shard = impl.shardOf(slot);
        std::scoped_lock lock(shard.mutex, impl.slotsPerNodeMutex);
        SlotMember& member = impl.memberOf(slot);
        impl.adjustSlotCount(member.assignment(), -1);
        member.assign(table.assignment(slot));
        impl.adjustSlotCount(member.assignment(), 1);
        for (auto& [id, waiter] : shard.waiters) {
            if (waiter->slot == slot)
                impl.sendToOwner(shard, *waiter, actions);
        }
    }
    impl.perform(std::move(actions));
}

void SlotService::tick(
    MonotonicTime now, WallTime wall, std::span<const NodeInfo> live, std::span<const NodeId> provenGone)
{
    Impl& impl = *m_impl;
    std::lock_guard ticking(impl.tickMutex);
    impl.wallMs = wall.time_since_epoch().count();
    Impl::Tick tick = impl.startTick(now, wall, live);
    impl.recordProvenGone(tick, provenGone);
    impl.updateMissingSince(tick);
    tick.mayLackWitness = !tick.otherNodes && now - impl.liveIdsSince >= impl.settings.noWitnessDelay;
    tick.assignsSlots = impl.shouldAssignSlots(tick);
    for (uint32_t index = 0; index < Impl::shardCount; index++) {
        Impl::Shard& shard = impl.shards[index];
        SlotActions actions;
        {
            std::lock_guard lock(shard.mutex);
            for (uint32_t slot = index; slot < slotCount; slot += Impl::shardCount)
                impl.tickSlot(slot, tick, actions);
            impl.resendWaiters(shard, tick, actions);
        }
        impl.perform(std::move(actions));
    }
    if (tick.isReproposeDue || tick.assignsSlots)
        impl.unassignedSince = tick.foundUnassigned ? std::min(impl.unassignedSince, now) : MonotonicTime::max();
    {
        std::lock_guard lock(impl.mintMutex);
        impl.mintableSlots = std::move(tick.mintableOwnedSlots.empty() ? tick.mintableSlots : tick.mintableOwnedSlots);
    }
    impl.flushChanges();
}

bool SlotService::handOver(std::span<const NodeInfo> live)
{
    Impl& impl = *m_impl;
    std::lock_guard ticking(impl.tickMutex);
    impl.isLeaving = true;
    SlotPlan plan = [&] {
        std::lock_guard lock(impl.slotsPerNodeMutex);
        return SlotPlan(live, impl.slotsPerNode);
    }();
    size_t remainingSlots = 0;
    for (uint32_t slot = 0; slot < slotCount; slot++) {
        SlotActions actions;
        {
            std::lock_guard lock(impl.shardOf(slot).mutex);
            SlotMember& member = impl.memberOf(slot);
            if (!member.isMember())
                continue;
            remainingSlots++;
            impl.handOverSlot(slot, member, plan, live, actions);
        }
        impl.perform(std::move(actions));
    }
    impl.flushChanges();
    return !remainingSlots;
}

// Keys are distributed round-robin over the slots that this node owns, or over others if it owns no usable slot.
std::string SlotService::mintKey(WallTime now)
{
    Impl& impl = *m_impl;
    MintedKey key;
    {
        std::lock_guard lock(impl.mintMutex);
        if (impl.mintableSlots.empty())
            return {};
        key.slot = impl.mintableSlots[impl.mintedCount % impl.mintableSlots.size()];
        key.serial = impl.mintedCount++;
    }
    key.issuedAt = now;
    key.incarnation = impl.self.id.incarnation;
    return key.toString();
}

} // namespace Kumquatpick
