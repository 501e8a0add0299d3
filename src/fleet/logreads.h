#pragma once

#include "base/clock.h"

namespace Kumquatpick {

// How one read of a log is made.
struct ReadTerms {
    Milliseconds hold {}; // How long the store may keep it waiting for a record.
    Milliseconds patience {}; // Without the head of an answer for so long, it is given up.
};

// On which terms a follower makes its next read of a log, and how long it pauses after one that failed. Not
// thread-safe; no input or output of its own.
//
// A read that waits at the store for a record looks like one that was lost: by a store that fell silent, or on a
// connection that did. It blinds its node until it is given up, whatever other reads learn meanwhile, and where the
// store fell silent for all nodes in one moment no peer has the record either. So nothing is held for longer than the
// follower can afford to lose, and not at all until the store has answered again.
class LogReads {
public:
    explicit LogReads(Milliseconds longestHold);
    // For a log whose records must be known within that time of their acceptance, here and at nodes that this one
    // reads for, though one read was lost.
    static LogReads forNewsWithin(Milliseconds);

    ReadTerms next() const;
    // Of one page of a listing, which the store never holds. Grows while pages fail, but not where news are urgent: a
    // store that many nodes list from at once is slow, and a page given up costs it as much as one that is read.
    Milliseconds listingPatience() const;
    void answered() { m_failures = 0; }
    // The pause before the next read; draw: from 0 to 1, so that nodes that failed together don't come back together.
    Milliseconds failed(double draw);
    // In a row.
    int failures() const { return m_failures; }

private:
    LogReads(Milliseconds longestHold, Milliseconds longestPause, Milliseconds longestListing);

    Milliseconds m_longestHold;
    Milliseconds m_longestPause;
    Milliseconds m_longestListing; // Of one page.
    int m_failures = 0;
};

} // namespace Kumquatpick
