#include "fleet/looppauses.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // On any busy machine, timers fire some milliseconds late; that is too short to affect a time-out.
    constexpr Milliseconds minPause { 20 };
    // Longer than the time-out of any call that is checked against pauses.
    constexpr std::chrono::seconds retention { 10 };

}

void LoopPauses::timerFired(MonotonicTime now, MonotonicTime nextDue)
{
    m_latest = {};
    if (now > m_nextDue && now - m_nextDue >= minPause) {
        m_latest = now - m_nextDue;
        m_pauses.push_back({ m_nextDue, now });
    }
    m_nextDue = nextDue;
    while (!m_pauses.empty() && now - m_pauses.front().end > retention)
        m_pauses.pop_front();
}

MonotonicTime::duration LoopPauses::since(MonotonicTime begin, MonotonicTime now) const
{
    MonotonicTime::duration total {};
    for (const Pause& pause : m_pauses)
        total += std::max(MonotonicTime::duration(0), pause.end - std::max(begin, pause.begin));
    // A pause that is still in progress, if this runs before the timer fires.
    if (now > m_nextDue && now - m_nextDue >= minPause)
        total += now - std::max(begin, m_nextDue);
    return total;
}

} // namespace Kumquatpick
