#pragma once

#include "coordination/slotarrival.h"
#include "coordination/slotmessage.h"
#include "coordination/slottable.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace Kumquatpick {

// The slot state machines of this node, and the permit and void requests of its own callers. Uses no sockets: the
// sender transmits outgoing messages, and deliver() takes incoming ones. Thread-safe: the state is sharded by slot,
// with one lock per shard. The sender and the proposer are called without holding a shard's lock.
class SlotService {
public:
    using Sender = std::function<void(const NodeInfo& to, const SlotMessage&)>;
    using Proposer = std::function<void(const SlotsProposal&)>;

    struct Settings {
        Milliseconds retention { 3'600'000 }; // Keys older than this may be dropped and are answered with Expired.
        Milliseconds resendInterval { 100 }; // Interval between repeats of an unanswered message.
        Milliseconds maxWait { 1'500 }; // Maximum wait of permit() and makeVoid(), even if the deadline is later.
        Milliseconds partnerTimeout { 1'000 }; // A partner missing from the live nodes for this long is replaced.
        Milliseconds noWitnessDelay { 5'000 }; // Without another live node for this long, slots run without witness.
        Milliseconds reproposeInterval { 2'000 }; // Interval between repeats of a proposal not decided by the log.
        Milliseconds voidResendDuration { 60'000 }; // How long void requests of an arrival that timed out are repeated.
        Milliseconds maxClockSkew { 2'000 }; // Upper bound of the difference between two nodes' wall clocks.
    };

    SlotService(NodeInfo self, Settings, Sender, Proposer);
    ~SlotService();

    // Handles a message from another node. May be called from any thread.
    void deliver(const SlotMessage&);

    // Requests permission to dispatch. Blocks until decided, until the deadline or for at most `maxWait`. Undecided
    // means that "not run" must not be reported yet. A grant that arrives after the time-out is never used: the attempt
    // is voided in the background, so that the caller's next attempt can run.
    PermitOutcome permit(const RequestKey&, ArrivalId, MonotonicTime deadline);
    // Voids this attempt and all earlier ones. Blocks until owner and witness have stored the refusal, with the same
    // time-outs as permit(). The arrival must not have been dispatched, whether or not it was granted, and must not be
    // dispatched afterwards.
    PermitOutcome makeVoid(const RequestKey&, ArrivalId, MonotonicTime deadline);

    // Applies the new assignments of these slots, as decided by the log.
    void applyAssignments(const SlotTable&, std::span<const uint32_t> slots);
    // Resends messages, proposes replacements for missing partners and drops entries older than the retention.
    // live: the nodes believed alive and not stopping, from which partners are chosen. Safety does not depend on it.
    // provenGone: incarnations that can never act again, because a newer one answered at their address.
    // The age of a key is measured by the wall time of the latest tick, so no key is granted before the first tick.
    void tick(MonotonicTime now, WallTime wall, std::span<const NodeInfo> live, std::span<const NodeId> provenGone);
    // Hands over all slots before a planned stop. Returns true once this node is a member of no slot. Must be called
    // repeatedly until then, and tick() must still be called.
    bool handOver(std::span<const NodeInfo> live);

    // Generates a key in a slot whose owner and witness are live, preferably owned by this node; empty if there is
    // none.
    std::string mintKey(WallTime now);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
