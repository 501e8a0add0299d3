#pragma once

#include "coordination/state.h"

#include <map>
#include <optional>
#include <string>

namespace Kumquatpick {

// A period in which this node may act as the holder of the lease.
struct LeaseTenure {
    MonotonicTime since {}; // No other node has held the lease after this time.
    MonotonicTime until {};
};

// Tracks one lease by the monotonic clock of this node. The holder counts the duration from before it sent its proposal
// and stops one margin early; other nodes count from when they read the proposal and wait one margin longer. Regardless
// of delays and pauses, the former holder has stopped before the next one starts, as long as clock rates differ by no
// more than the margins allow. Not thread-safe.
class LeaseTracker {
public:
    LeaseTracker(std::string lease, NodeId self, Milliseconds duration, Milliseconds margin);

    // Returns the proposal that takes or renews the lease.
    LeaseProposal proposal() const;
    // Must be called before a proposal with this record id is sent; only the first call for an id has an effect.
    void recordSend(const std::string& id, MonotonicTime now);
    void folded(const LoggedRecord&, Verdict, MonotonicTime readAt);
    // Handles a state restored from a snapshot: a lease in the state that differs from the tracked one replaces it, and
    // its duration is counted from readAt.
    void restored(const State&, MonotonicTime readAt);

    // Returns the tenure of this node, if it holds the lease now.
    std::optional<LeaseTenure> currentTenure(MonotonicTime now) const;
    // True if nobody holds the lease, or the lease of this node is due for renewal.
    bool isProposalDue(MonotonicTime now) const;

private:
    void accept(const HeldLease&, std::optional<MonotonicTime> sentAt, MonotonicTime readAt);

    std::string m_lease;
    NodeId m_self;
    Milliseconds m_duration;
    Milliseconds m_margin;
    // Send times of this node's own proposals that it has not yet read from the log, by record id.
    std::map<std::string, MonotonicTime> m_pendingProposals;
    std::optional<HeldLease> m_current;
    MonotonicTime m_readAt {};
    std::optional<MonotonicTime> m_sentAt; // Send time of the current lease's proposal, if this node is the holder.
    MonotonicTime m_tenureSince {};
};

} // namespace Kumquatpick
