#pragma once

#include "base/clock.h"

namespace Kumquatpick {

// Time limits of one read of a log.
struct ReadTimeouts {
    Milliseconds longPollTime {}; // How long the store may hold the read until a record arrives.
    Milliseconds responseTimeout {}; // The read fails if the head of the answer does not arrive within this time.
};

// Chooses the time limits for the next read of a log and the pause after a failed read. Not thread-safe; does no I/O.
//
// A long-polling read cannot be distinguished from one that is lost because the store or the connection stopped
// responding. Until a lost read times out, the node receives no new records of the log, even if other reads succeed,
// and if the store stopped for all nodes at once, no peer has the records either. Long polling is therefore limited to
// the time by which a lost read may delay records, and is not used until the store has answered again.
class LogReadTiming {
public:
    explicit LogReadTiming(Milliseconds maxLongPoll);
    // For a log whose records must reach this node, and the nodes that it reads for, within the given time after the
    // store accepted them, even if one read is lost.
    static LogReadTiming forMaxDelay(Milliseconds);

    ReadTimeouts nextTimeouts() const;
    // Time-out for one page of a listing; the store answers these without long polling. It grows while pages fail,
    // unless a maximum delay is set: many nodes listing at once slow down the store, and a page that timed out costs it
    // as much as one that is read.
    Milliseconds listingTimeout() const;
    void recordSuccess() { m_failures = 0; }
    // Returns the pause before the next read. jitter: random in 0..1, so that nodes do not retry at the same time.
    Milliseconds recordFailure(double jitter);
    // Consecutive failures.
    int failures() const { return m_failures; }

private:
    LogReadTiming(Milliseconds maxLongPoll, Milliseconds maxPause, Milliseconds maxListingTimeout);

    Milliseconds m_maxLongPoll;
    Milliseconds m_maxPause;
    Milliseconds m_maxListingTimeout; // For one page.
    int m_failures = 0;
};

} // namespace Kumquatpick
