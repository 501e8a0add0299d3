#include "fleet/looppauses.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Timers fire some milliseconds late on any busy machine; that changes no answer.
    constexpr Milliseconds minPause { 20 };
    // Longer than any call that is judged by its time-out.
    constexpr std::chrono::seconds retention { 10 };

}

void LoopPauses::fired(MonotonicTime now, MonotonicTime nextDue)
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
    // One that has not ended: the caller runs before the timer does.
    if (now > m_nextDue && now - m_nextDue >= minPause)
        total += now - std::max(begin, m_nextDue);
    return total;
}

} // namespace Kumquatpick
