#include "fleet/logreads.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // On top of what the store may hold a read: a few of its usual answers, also when it is slow.
    constexpr Milliseconds answerTimeout { 700 };
    constexpr Milliseconds firstPause { 100 };
    constexpr Milliseconds longestPause { 800 };
    constexpr int mostDoublings = 4;

}

ReadTerms LogReads::next() const { return { m_longestHold, m_longestHold + answerTimeout }; }

Milliseconds LogReads::failed(double draw)
{
    auto longest = std::min(longestPause, firstPause * (1 << std::min(m_failures++, mostDoublings)));
    return std::chrono::duration_cast<Milliseconds>(longest * (0.5 + 0.5 * draw));
}

} // namespace Kumquatpick
