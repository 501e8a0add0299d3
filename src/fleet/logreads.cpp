#include "fleet/logreads.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A few of the store's usual answers, also when it is slow.
    constexpr Milliseconds answerTimeout { 700 };
    // What the read after a lost one takes, from a slow store.
    constexpr Milliseconds slowAnswer { 200 };
    // Of the time that news may take; the rest is for handing them on to nodes that do not read the store.
    constexpr double readersShare = 0.75;
    constexpr Milliseconds shortestHold { 100 };
    constexpr Milliseconds firstPause { 100 };
    constexpr Milliseconds usualLongestPause { 800 };
    constexpr int mostDoublings = 4;
    constexpr Milliseconds longestPage { 3000 };

}

LogReads::LogReads(Milliseconds longestHold)
    : LogReads(longestHold, usualLongestPause, longestPage)
{
}

LogReads::LogReads(Milliseconds longestHold, Milliseconds longestPause, Milliseconds longestListing)
    : m_longestHold(longestHold)
    , m_longestPause(longestPause)
    , m_longestListing(longestListing)
{
}

// A lost read costs what it was held for and its time-out, or, after others that were lost, its time-out and the pause;
// then comes one that is answered.
LogReads LogReads::forNewsWithin(Milliseconds within)
{
    auto forReaders = std::chrono::duration_cast<Milliseconds>(within * readersShare);
    Milliseconds spare = std::max(shortestHold, forReaders - answerTimeout - firstPause - slowAnswer);
    return { spare, std::min(usualLongestPause, spare), answerTimeout };
}

ReadTerms LogReads::next() const
{
    Milliseconds hold = m_failures == 0 ? m_longestHold : Milliseconds(0);
    return { hold, hold + answerTimeout };
}

Milliseconds LogReads::listingPatience() const
{
    return std::min(m_longestListing, answerTimeout * (1 << std::min(m_failures, mostDoublings)));
}

Milliseconds LogReads::failed(double draw)
{
    auto longest = std::min(m_longestPause, firstPause * (1 << std::min(m_failures++, mostDoublings)));
    return std::chrono::duration_cast<Milliseconds>(longest * (0.5 + 0.5 * draw));
}

} // namespace Kumquatpick
