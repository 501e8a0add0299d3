#pragma once

#include "base/clock.h"

#include <deque>

namespace Kumquatpick {

// Measures pauses of this node's event loop by how late a timer fires. During a pause, answers are not read
// and time-outs expire, so such a time-out is no evidence of a failure of the remote side. While planning 760 hosts, a
// node with a twelfth of a core paused for a second, classified 500 hosts as unresponsive, had eight peers probe each
// of them, and never worked off the backlog. Not thread-safe. The caller passes the time in.
class LoopPauses {
public:
    // The timer fired now and is due again at nextDue.
    void timerFired(MonotonicTime now, MonotonicTime nextDue);
    // Total time that the loop was paused between begin and now.
    MonotonicTime::duration since(MonotonicTime begin, MonotonicTime now) const;
    // The pause that ended with the last firing of the timer; zero if it fired on time.
    MonotonicTime::duration latest() const { return m_latest; }

private:
    struct Pause {
        MonotonicTime begin;
        MonotonicTime end;
    };

    std::deque<Pause> m_pauses; // Ordered by time.
    MonotonicTime m_nextDue = MonotonicTime::max();
    MonotonicTime::duration m_latest {};
};

} // namespace Kumquatpick
