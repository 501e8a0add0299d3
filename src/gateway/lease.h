#pragma once

#include "gateway/context.h"
#include "gateway/peers.h"
#include "gateway/storeclient.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Determines which node controls the replicas, from the records of the controller log in order. A record is a claim of
// a node to be the controller from that offset on. A claim is only appended if the log ends where its writer read it,
// so one of two concurrent claims fails. The offset of the first record of a holder determines its fencing number:
// hosts refuse orders with a lower one than they have seen.
//
// While the store is unavailable, no node can claim, so the holder continues as long as it hears of peers
// and none of them has read of a later holder. If two holders act at the same time for a moment, orders are wasted but
// nothing breaks: hosts refuse those of the earlier one, and joins are conditional. Time is measured by the boot clock,
// which includes the time that a host is suspended.
class ControllerLease {
public:
    using BootTime = std::chrono::milliseconds;

    ControllerLease(GatewayContext&, StoreHealth&, const Peers&);

    asio::awaitable<void> follow() { return m_follower.run(); }
    asio::awaitable<void> run();
    // Lets another node take over at once, for a planned stop.
    asio::awaitable<void> release();

    // The fencing number of this node while it may send orders; otherwise nothing.
    std::optional<uint64_t> fencing() const;
    // A host has accepted a later controller, so this term is over regardless of the clock.
    void endFencedTerm(uint64_t fencing);
    const std::string& holder() const { return m_holder; }
    // For messages to other nodes: offset of the first record of the newest holder.
    uint64_t term() const { return m_term; }
    void observePeerTerm(uint64_t term) { m_newestPeerTerm = std::max(m_newestPeerTerm, term); }

    static BootTime bootNow();

private:
    bool applyRecord(const LogRecord&);
    asio::awaitable<void> claim(bool isRelease);
    Milliseconds takeoverDelay() const;
    bool isHandoverDue();
    // Other nodes neither follow the log nor claim. A node that becomes a candidate may have outdated data; a claim
    // based on it fails.
    bool isCandidate() const;

    GatewayContext& m_context;
    const StoreHealth& m_health;
    const Peers& m_peers;
    LogFollower m_follower;
    std::string m_self; // This incarnation of this node.
    std::string m_holder;
    uint64_t m_term = 0; // Offset of the holder's first record.
    BootTime m_holderSeenAt {}; // When the holder's latest record was read here.
    BootTime m_validFrom {}; // Own lease: when the latest successful claim was sent.
    std::optional<uint64_t> m_fencedTerm;
    uint64_t m_newestPeerTerm = 0; // Newest term that a peer reported.
    std::optional<BootTime> m_weakHolderSince;
    bool m_isStoreUnavailable = false; // According to the latest claim.
    bool m_isReleased = false;
};

} // namespace Kumquatpick
