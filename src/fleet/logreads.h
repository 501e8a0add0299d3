#pragma once

#include "base/clock.h"

namespace Kumquatpick {

// Time limits of one read of a log.
struct ReadTerms {
    Milliseconds hold {}; // How long the store may hold the read until a record arrives.
    Milliseconds patience {}; // The read is abandoned if the head of the answer does not arrive within this time.
};

// Chooses the time limits for a follower's next read of a log, and its pause after a failed read. Not thread-safe; does
// no I/O.
//
// A long-polling read cannot be told from one that is lost because the store or the connection stopped responding.
// Until it is abandoned, its node learns of no new records from the log, whatever other reads return, and if the store
// stopped for all nodes at once, no peer has them either. A read is therefore held no longer than the follower can
// afford to lose, and not at all until the store has answered again.
class LogReads {
public:
    explicit LogReads(Milliseconds longestHold);
    // For a log whose records must reach this node, and the nodes that it reads for, within this time of their
    // acceptance even if one read is lost.
    static LogReads forMaxDelay(Milliseconds);

    ReadTerms next() const;
    // Time-out for one page of a listing, which the store never holds. Grows while pages fail, except with a maximum
    // delay: many nodes listing at once slow the store, and an abandoned page costs it as much as one that is read.
    Milliseconds listingTimeout() const;
    void succeeded() { m_failures = 0; }
    // Returns the pause before the next read. draw: random in 0..1, so that nodes don't retry at the same time.
    Milliseconds failed(double draw);
    // Consecutive failures.
    int failures() const { return m_failures; }

private:
    LogReads(Milliseconds longestHold, Milliseconds longestPause, Milliseconds longestListing);

    Milliseconds m_longestHold;
    Milliseconds m_longestPause;
    Milliseconds m_longestListing; // For one page.
    int m_failures = 0;
};

} // namespace Kumquatpick
