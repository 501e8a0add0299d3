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
    constexpr double readBudgetShare = 0.75;
    constexpr Milliseconds minLongPoll { 100 };
    constexpr Milliseconds initialPause { 100 };
    constexpr Milliseconds defaultMaxPause { 800 };
    constexpr int maxDoublings = 4;
    constexpr Milliseconds maxPageTimeout { 3000 };

}

LogReadTiming::LogReadTiming(Milliseconds maxLongPoll)
    : LogReadTiming(maxLongPoll, defaultMaxPause, maxPageTimeout)
{
}

LogReadTiming::LogReadTiming(Milliseconds maxLongPoll, Milliseconds maxPause, Milliseconds maxListingTimeout)
    : m_maxLongPoll(maxLongPoll)
    , m_maxPause(maxPause)
    , m_maxListingTimeout(maxListingTimeout)
{
}

// A lost read delays records by its long-poll time and its time-out, or, after earlier lost reads, by its time-out and
// the pause. The next read is assumed to be answered.
LogReadTiming LogReadTiming::forMaxDelay(Milliseconds maxDelay)
{
    auto readBudget = std::chrono::duration_cast<Milliseconds>(maxDelay * readBudgetShare);
    Milliseconds affordableLongPoll = std::max(minLongPoll, readBudget - answerTimeout - initialPause - slowAnswerTime);
    return { affordableLongPoll, std::min(defaultMaxPause, affordableLongPoll), answerTimeout };
}

ReadTimeouts LogReadTiming::nextTimeouts() const
{
    Milliseconds maxLongPoll = m_failures == 0 ? m_maxLongPoll : Milliseconds(0);
    return { maxLongPoll, maxLongPoll + answerTimeout };
}

Milliseconds LogReadTiming::listingTimeout() const
{
    return std::min(m_maxListingTimeout, answerTimeout * (1 << std::min(m_failures, maxDoublings)));
}

Milliseconds LogReadTiming::recordFailure(double jitter)
{
    auto pause = std::min(m_maxPause, initialPause * (1 << std::min(m_failures++, maxDoublings)));
    return std::chrono::duration_cast<Milliseconds>(pause * (0.5 + 0.5 * jitter));
}

} // namespace Kumquatpick
