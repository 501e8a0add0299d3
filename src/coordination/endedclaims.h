#pragma once

#include "coordination/state.h"

#include <map>

namespace Kumquatpick {

// The time at which this node read the end of each claim that is still ending, by its monotonic clock. Not thread-safe.
class EndedClaims {
public:
    void folded(const LoggedRecord&, Verdict, MonotonicTime readAt);
    // Handles a state restored from a snapshot: the claims whose end was not read are counted from readAt.
    void restored(const State&, MonotonicTime readAt);
    // Removes the claims that the state no longer has.
    void prune(const std::map<Offset, Claim>&);

    const std::map<Offset, MonotonicTime>& times() const { return m_times; }

private:
    std::map<Offset, MonotonicTime> m_times;
};

} // namespace Kumquatpick
