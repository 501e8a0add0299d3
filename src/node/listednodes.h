#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <span>
#include <string>

namespace Kumquatpick {

// Determines from the platform's membership list which nodes have ended. A host that is no longer listed is dead. As
// the list is updated with a delay and may not contain a new host yet, a host counts as dead only if it is missing
// from all updates of the whole grace period. Time is measured from update to update, so a period in which the list
// cannot be read does not count. Performs no I/O.
class ListedNodes {
public:
    explicit ListedNodes(Milliseconds grace);

    void update(std::span<const NodeInfo>, MonotonicTime now);
    // Whether this incarnation has ended for good. The first call for an unlisted name starts its grace period.
    bool isProvenGone(const NodeId&);

private:
    Milliseconds m_grace;
    bool m_hasList = false;
    MonotonicTime m_updatedAt {};
    std::map<std::string, uint64_t> m_listed; // Incarnation by node name; 0 if the list contains none.
    std::map<std::string, MonotonicTime> m_absentSince;
};

} // namespace Kumquatpick
