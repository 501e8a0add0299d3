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

// Chooses which nodes of a zone read the list of hosts from the store, which nodes the others ask for it, and when they
// may read the store themselves. Not thread-safe; does no I/O.
//
// The store can send the list of a large fleet to only a few nodes at once. While hundreds of nodes request it, none of
// them, including the few readers, is answered in time, and timed-out and repeated requests keep the store overloaded.
// This delayed configurations, which are read from the same store, by up to 19 s.
class ListReaders {
public:
    // self: the address by which the other nodes of the zone reach this one.
    explicit ListReaders(std::string self);

    // The readers of a zone, in this node's view. Nodes that recently failed to provide the list are replaced by the
    // next ones, long before failure detection in a large fleet removes them.
    std::vector<std::string> readersOf(std::span<const CandidateNode> zone, MonotonicTime now) const;
    // The nodes of the own zone to ask for the list; empty if this node is a reader.
    std::vector<std::string> readersToQuery(std::span<const CandidateNode> ownZone, MonotonicTime now) const;

    void recordFailure(std::string_view node, MonotonicTime now);
    // A node provided the list, or this node is a reader itself.
    void recordSuccess() { m_unavailableSince.reset(); }
    // Whether this node may read the store itself after no node provided the list: after one second if no node of the
    // zone answered, which is still in time; later if one answered without a list, as the readers are still reading.
    bool mayReadStore(bool didAnyAnswer, MonotonicTime now);

private:
    bool hasFailed(std::string_view node, MonotonicTime now) const;

    std::string m_self;
    std::map<std::string, MonotonicTime, std::less<>> m_failedAt;
    std::optional<MonotonicTime> m_unavailableSince;
};

} // namespace Kumquatpick
