#pragma once

#include "base/clock.h"

#include <optional>

namespace Kumquatpick {

// The schedule of a node's planned stop, from the request to stop until its process is killed. The caller passes the
// time in.
//
// A call that the node may have to cut off is only taken while callers can't know of the stop, and only if calls like
// it usually end in the time that is left. Later on, a call is taken only if its own deadline ends it before the node
// does. Another node answers what is refused.
class StopPlan {
public:
    // grace: until the process is killed. listLifetime: how long callers may use a list of nodes.
    StopPlan(MonotonicTime requestedAt, Milliseconds grace, Milliseconds listLifetime);

    // Whether a call that arrives now is taken. deadline: when it ends at the latest. usualDuration: within which calls
    // of its kind have ended; nothing if that is not known.
    bool mayTake(MonotonicTime now, MonotonicTime deadline, std::optional<MonotonicTime::duration> usualDuration) const;

    MonotonicTime requestedAt() const { return m_requestedAt; }
    // No caller has this node in its list any more. Connections without a request are closed.
    MonotonicTime callersLeftAt() const;
    // Calls that still run are cut off.
    MonotonicTime cutAt() const;
    // The process ends, with or without its last answers and log lines.
    MonotonicTime exitAt() const;

private:
    MonotonicTime m_requestedAt;
    Milliseconds m_grace;
    Milliseconds m_listLifetime;
};

} // namespace Kumquatpick
