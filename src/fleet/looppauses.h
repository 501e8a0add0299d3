#pragma once

#include "base/clock.h"

#include <deque>

namespace Kumquatpick {

// For how long this node's own event loop stood still, told by a timer that fires later than it was due. While a loop
// stands, answers wait unread and time-outs expire: whoever did not look has no word on others' silence. One node that
// planned 760 hosts at a twelfth of a core stood for a second, took 500 hosts for silent, asked eight peers about each,
// and never caught up. Not thread-safe; time is handed in.
class LoopPauses {
public:
    // The timer fired, and is due again at the later time.
    void fired(MonotonicTime now, MonotonicTime nextDue);
    // How long the loop stood in all since then, up to now.
    MonotonicTime::duration since(MonotonicTime begin, MonotonicTime now) const;
    // The last pause that ended; zero if the timer fired in time.
    MonotonicTime::duration latest() const { return m_latest; }

private:
    struct Pause {
        MonotonicTime begin;
        MonotonicTime end;
    };

    std::deque<Pause> m_pauses; // In order.
    MonotonicTime m_nextDue = MonotonicTime::max();
    MonotonicTime::duration m_latest {};
};

} // namespace Kumquatpick
