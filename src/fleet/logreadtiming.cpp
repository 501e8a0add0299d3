#include "fleet/logreadtiming.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A few times the store's usual answer time, including when it is slow.
    constexpr Milliseconds answerTimeout { 700 };
    // Duration of the read after a lost one, with a slow store.
    constexpr Milliseconds slowAnswerTime { 200 };
    // Share of the maximum delay that a read may use. The rest is for forwarding records to nodes that do not read the
    // store.
    constexpr double readersShare = 0.75;
    constexpr Milliseconds minWait { 100 };
    constexpr Milliseconds initialPause { 100 };
    constexpr Milliseconds defaultMaxPause { 800 };
    constexpr int maxDoublings = 4;
    constexpr Milliseconds maxPageTimeout { 3000 };

}

LogReadTiming::LogReadTiming(Milliseconds maxWait)
    : LogReadTiming(maxWait, defaultMaxPause, maxPageTimeout)
{
}

LogReadTiming::LogReadTiming(Milliseconds maxWait, Milliseconds maxPause, Milliseconds maxListingTimeout)
    : m_longestHold(maxWait)
    , m_longestPause(maxPause)
    , m_longestListing(maxListingTimeout)
{
}

// A lost read delays records by its long-poll time and its time-out, or, after earlier lost reads, by its time-out and
// the pause. The next read is assumed to be answered.
LogReadTiming LogReadTiming::forMaxDelay(Milliseconds within)
{
    auto readerBudget = std::chrono::duration_cast<Milliseconds>(within * readersShare);
    Milliseconds affordableWait = std::max(minWait, readerBudget - answerTimeout - initialPause - slowAnswerTime);
    return { affordableWait, std::min(defaultMaxPause, affordableWait), answerTimeout };
}

ReadTimeouts LogReadTiming::nextTimeouts() const
{
    Milliseconds maxWait = m_failures == 0 ? m_longestHold : Milliseconds(0);
    return { maxWait, maxWait + answerTimeout };
}

Milliseconds LogReadTiming::listingTimeout() const
{
    return std::min(m_longestListing, answerTimeout * (1 << std::min(m_failures, maxDoublings)));
}

Milliseconds LogReadTiming::recordFailure(double draw)
{
    auto pause = std::min(m_longestPause, initialPause * (1 << std::min(m_failures++, maxDoublings)));
    return std::chrono::duration_cast<Milliseconds>(pause * (0.5 + 0.5 * draw));
}

} // namespace Kumquatpick
