#include "fleet/stopplan.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Callers use an outdated list of nodes for up to three times its lifetime; by then their connections have moved to
    // other nodes.
    constexpr int staleListLifetimes = 3;
    // Until the other nodes have dropped this one from the lists that they hand out.
    constexpr Milliseconds listUpdateDelay { 500 };
    // A call that is sent three seconds after the signal, or later, and is cut off counts as lost, whatever its server
    // was doing. The signal may have come some time before this process ran and noticed it.
    constexpr Milliseconds maxUnsureArrival { 2500 };

    // Between the cut and the end of the grace period: the last answers and log lines are written, also by a process
    // that noticed the signal late. The cut lies within the last sixth of the grace period, before which no running
    // call is cut off.
    constexpr Milliseconds longestCutMargin { 1000 };
    constexpr int cutMarginDivisor = 7;

    Milliseconds cutMargin(Milliseconds grace) { return std::min(longestCutMargin, grace / cutMarginDivisor); }

}

StopPlan::StopPlan(MonotonicTime requestedAt, Milliseconds grace, Milliseconds listLifetime)
    : m_requestedAt(requestedAt)
    , m_grace(grace)
    , m_listLifetime(listLifetime)
{
}

bool StopPlan::mayTake(
    MonotonicTime now, MonotonicTime deadline, std::optional<MonotonicTime::duration> usualDuration) const
{
    if (deadline <= cutAt())
        return true;
    bool mayBeCut = now < m_requestedAt + std::min(maxUnsureArrival, m_listLifetime * staleListLifetimes);
    return mayBeCut && usualDuration && now + *usualDuration <= cutAt();
}

MonotonicTime StopPlan::callersLeftAt() const
{
    return std::min(m_requestedAt + m_listLifetime * staleListLifetimes + listUpdateDelay, cutAt());
}

MonotonicTime StopPlan::cutAt() const { return m_requestedAt + m_grace - cutMargin(m_grace); }

MonotonicTime StopPlan::exitAt() const { return m_requestedAt + m_grace - cutMargin(m_grace) / 2; }

} // namespace Kumquatpick
