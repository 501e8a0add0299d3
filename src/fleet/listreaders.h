#pragma once

#include "base/clock.h"
#include "fleet/rendezvous.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Which nodes of a zone read the list of hosts from the store, whom a node asks in their place, and when it may turn to
// the store all the same. Not thread-safe; no input or output of its own.
//
// The store can send the list of a large fleet to few nodes at once. While hundreds ask it, it answers none of them in
// time, the few readers included, and what is given up and asked for again keeps it so; configurations, which come the
// same way, were up to 19 s late.
class ListReaders {
public:
    // self: by the address that the nodes of the zone know it by.
    explicit ListReaders(std::string self);

    // The readers of a zone, as this node sees it. Those that just failed to hand the list on are left out: the next
    // ones take their place, long before a large fleet takes them for gone.
    std::vector<std::string> readersOf(std::span<const DutyNode> zone, MonotonicTime now) const;
    // Whom to ask in the own zone; nobody if this node is a reader.
    std::vector<std::string> toAsk(std::span<const DutyNode> ownZone, MonotonicTime now) const;

    void failed(std::string_view node, MonotonicTime now);
    // Some node handed the list on, or this node is a reader itself.
    void isServed() { m_missedSince.reset(); }
    // After nobody did. One that is cut off from its zone alone waits for a second and has the list in time all the
    // same; one whose zone is there, and has no list yet either, leaves the store to the readers for longer.
    bool mayReadStore(bool didAnyAnswer, MonotonicTime now);

private:
    bool hasFailed(std::string_view node, MonotonicTime now) const;

    std::string m_self;
    std::map<std::string, MonotonicTime, std::less<>> m_failedAt;
    std::optional<MonotonicTime> m_missedSince;
};

} // namespace Kumquatpick
