#include "fleet/logreads.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A few of the store's usual answers, also when it is slow.
    constexpr Milliseconds answerTimeout { 700 };
    // What the read after a lost one takes, from a slow store.
    constexpr Milliseconds slowAnswerTime { 200 };
    // Of the time that news may take; the rest is for handing them on to nodes that do not read the store.
    constexpr double readersShare = 0.75;
    constexpr Milliseconds minWait { 100 };
    constexpr Milliseconds initialPause { 100 };
    constexpr Milliseconds defaultMaxPause { 800 };
    constexpr int maxDoublings = 4;
    constexpr Milliseconds maxPageTimeout { 3000 };

}

LogReads::LogReads(Milliseconds maxWait)
    : LogReads(maxWait, defaultMaxPause, maxPageTimeout)
{
}

LogReads::LogReads(Milliseconds maxWait, Milliseconds maxPause, Milliseconds maxListingTimeout)
    : m_longestHold(maxWait)
    , m_longestPause(maxPause)
    , m_longestListing(maxListingTimeout)
{
}

// A lost read costs what it was held for and its time-out, or, after others that were lost, its time-out and the pause;
// then comes one that is answered.
LogReads LogReads::forNewsWithin(Milliseconds within)
{
    auto readerBudget = std::chrono::duration_cast<Milliseconds>(within * readersShare);
    Milliseconds affordableWait = std::max(minWait, readerBudget - answerTimeout - initialPause - slowAnswerTime);
    return { affordableWait, std::min(defaultMaxPause, affordableWait), answerTimeout };
}

ReadTerms LogReads::next() const
{
    Milliseconds maxWait = m_failures == 0 ? m_longestHold : Milliseconds(0);
    return { maxWait, maxWait + answerTimeout };
}

Milliseconds LogReads::listingPatience() const
{
    return std::min(m_longestListing, answerTimeout * (1 << std::min(m_failures, maxDoublings)));
}

Milliseconds LogReads::failed(double draw)
{
    auto pause = std::min(m_longestPause, initialPause * (1 << std::min(m_failures++, maxDoublings)));
    return std::chrono::duration_cast<Milliseconds>(pause * (0.5 + 0.5 * draw));
}

} // namespace Kumquatpick
