#pragma once

#include "base/clock.h"

namespace Kumquatpick {

// How one read of a log is made.
struct ReadTerms {
    Milliseconds hold {}; // How long the store may keep it waiting for a record.
    Milliseconds patience {}; // Without an answer for so long, it is given up.
};

// On which terms a follower makes its next read of a log, and how long it pauses after one that failed. Not
// thread-safe; no input or output of its own.
class LogReads {
public:
    explicit LogReads(Milliseconds longestHold)
        : m_longestHold(longestHold)
    {
    }

    ReadTerms next() const;
    void answered() { m_failures = 0; }
    // The pause before the next read; draw: from 0 to 1, so that nodes that failed together don't come back together.
    Milliseconds failed(double draw);
    // In a row.
    int failures() const { return m_failures; }

private:
    Milliseconds m_longestHold;
    int m_failures = 0;
};

} // namespace Kumquatpick
