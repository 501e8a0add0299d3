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

// Which node controls the replicas, as the controller log's records tell in their order. A record is a node's claim to
// be controller from there on; a claim is only appended where the log ends as its writer read it, so of two that race
// one fails. The offset of a holder's first record is its fencing number: hosts refuse what a later holder forbade.
//
// While the store is away nobody can claim, so the holder goes on as long as it hears peers and none of them read of a
// later holder. Two that act at once for a moment waste orders and break nothing: hosts refuse the earlier one's, and
// joins are conditional. Time is that of the boot clock, which also counts a suspended host's sleep.
class ControllerLease {
public:
    using BootTime = std::chrono::milliseconds;

    ControllerLease(GatewayContext&, StoreHealth&, const Peers&);

    asio::awaitable<void> follow() { return m_follower.run(); }
    asio::awaitable<void> run();
    // Lets another node take over at once; for a planned stop.
    asio::awaitable<void> release();

    // Of this node while it may give orders; nothing else.
    std::optional<uint64_t> fencing() const;
    // A host obeys a later controller: this term is over, whatever the clock says.
    void fencedOff(uint64_t fencing);
    const std::string& holder() const { return m_holder; }
    // For digests: the offset of the newest holder's first record.
    uint64_t term() const { return m_term; }
    void heardOfTerm(uint64_t term) { m_newestHeard = std::max(m_newestHeard, term); }

    static BootTime bootNow();

private:
    bool take(const LogRecord&);
    asio::awaitable<void> claim(bool isRelease);
    Milliseconds takeOverAfter() const;
    bool isOutranked();
    // Others neither follow the log nor claim. One that becomes a candidate may hold old news, and a claim on that
    // fails.
    bool isCandidate() const;

    GatewayContext& m_context;
    const StoreHealth& m_health;
    const Peers& m_peers;
    LogFollower m_follower;
    std::string m_self; // This life of this node.
    std::string m_holder;
    uint64_t m_term = 0; // The holder's first offset.
    BootTime m_seenAt {}; // When the holder's latest record was read here.
    BootTime m_validFrom {}; // Own lease: when the latest claim that succeeded was sent.
    std::optional<uint64_t> m_fencedTerm;
    uint64_t m_newestHeard = 0; // Term that a peer read of.
    std::optional<BootTime> m_outrankedSince;
    bool m_storeIsAway = false; // By the latest claim.
    bool m_isReleased = false;
};

} // namespace Kumquatpick
