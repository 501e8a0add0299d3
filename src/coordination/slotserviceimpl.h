#pragma once

#include "coordination/slotkey.h"
#include "coordination/slotmember.h"
#include "coordination/slotplan.h"
#include "coordination/slotservice.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Kumquatpick {

// An arrival whose thread is waiting, or whose void requests are repeated after that thread timed out.
struct PermitWaiter {
    explicit PermitWaiter(SlotArrival arrival)
        : arrival(std::move(arrival))
    {
    }

    SlotArrival arrival;
    uint32_t slot = 0;
    std::optional<PermitOutcome> outcome;
    std::condition_variable decided;
    MonotonicTime lastSent {};
    MonotonicTime timedOutAt = MonotonicTime::max(); // max() while the thread is waiting.
};

// The state of SlotService. Request handling is in slotservice.cpp, periodic maintenance in slotupkeep.cpp.
struct SlotService::Impl {
    static constexpr size_t shardCount = 64;

    struct Shard {
        std::mutex mutex;
        std::vector<SlotMember> members; // Slots shard index, shard index + shardCount, ...
        std::map<ArrivalId, std::shared_ptr<PermitWaiter>> waiters;
    };

    // The inputs and results of one call of tick().
    struct Tick {
        MonotonicTime now;
        WallTime wall;
        std::span<const NodeInfo> live;
        SlotPlan plan;
        std::set<NodeId> liveIds {};
        size_t otherNodes = 0; // The number of live nodes other than this one.
        bool mayLackWitness = false; // Slots may run without a witness: no other node was live for noWitnessDelay.
        bool assignsSlots = false; // This node proposes members for the slots that have none.
        bool isResendDue = false;
        bool isReproposeDue = false;
        bool isExpiryDue = false;
        bool foundUnassigned = false;
        std::vector<uint32_t> mintableSlots {};
        std::vector<uint32_t> mintableOwnedSlots {};
    };

    Impl(NodeInfo self, Settings settings, Sender sender, Proposer proposer);

    Shard& shardOf(uint32_t slot) { return shards[slot % shardCount]; }
    SlotMember& memberOf(uint32_t slot) { return shardOf(slot).members[slot / shardCount]; }

    PermitOutcome waitForOutcome(SlotArrival, MonotonicTime deadline);
    void sendToOwner(const Shard&, const PermitWaiter&, SlotActions&) const;
    void resolveWaiter(const PermitReply&);
    void perform(SlotActions);
    void flushChanges();
    void queueChange(SlotChange);

    bool isDue(MonotonicTime& last, MonotonicTime now, Milliseconds period) const;
    Tick startTick(MonotonicTime now, WallTime, std::span<const NodeInfo> live);
    void recordProvenGone(const Tick&, std::span<const NodeId>);
    void updateMissingSince(const Tick&);
    bool shouldAssignSlots(const Tick&);
    bool shouldReplace(const NodeInfo&, const Tick&) const;
    void tickSlot(uint32_t slot, Tick&, SlotActions&);
    void tickMember(uint32_t slot, SlotMember&, Tick&, SlotActions&);
    bool isStuck(uint32_t slot, const SlotMember&, const Tick&);
    void resendWaiters(Shard&, const Tick&, SlotActions&) const;
    void proposeFirstPair(uint32_t slot, SlotChange, Tick&, SlotActions&) const;
    void handOverSlot(uint32_t slot, SlotMember&, SlotPlan&, std::span<const NodeInfo> live, SlotActions&) const;
    void adjustSlotCount(const SlotAssignment&, int32_t by);

    const NodeInfo self;
    const Settings settings;
    const Sender sender;
    const Proposer proposer;
    std::atomic<Milliseconds::rep> wallMs { 0 };
    std::atomic<bool> isLeaving { false };
    std::array<Shard, shardCount> shards;

    std::mutex changesMutex;
    std::vector<SlotChange> changes;

    std::mutex slotsPerNodeMutex;
    std::map<NodeId, uint32_t> slotsPerNode; // The number of slots that each node is a member of.

    std::mutex tickMutex; // Held during a tick; guards the members below, up to mintMutex.
    std::set<NodeId> provenGone;
    std::set<NodeId> lastLiveIds;
    std::map<NodeId, MonotonicTime> missingSince;
    // By slot: the missing parts, or the oldest unacknowledged serial, when proposals were last repeated.
    std::map<uint32_t, uint64_t> lastProgress;
    MonotonicTime liveIdsSince {}; // When the set of live nodes last changed.
    MonotonicTime unassignedSince = MonotonicTime::max();
    MonotonicTime lastResend {};
    MonotonicTime lastRepropose {};
    MonotonicTime lastAssign {};
    MonotonicTime lastExpiry {};

    std::mutex mintMutex;
    std::vector<uint32_t> mintableSlots;
    uint32_t mintedCount = 0;
};

} // namespace Kumquatpick
