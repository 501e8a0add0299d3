#include "fleet/lateshare.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // Long enough for a node that takes few calls a second.
    constexpr Milliseconds halving { 2000 };
    // A head that works at three quarters of its rate for calls in time has room for the others.
    constexpr double overloadedAbove = 0.25;
    // So that the first calls of a node do not count as overload.
    constexpr double callsInTimeAssumed = 3;

}

double LateShare::keptShare(MonotonicTime now) const
{
    double ageMs = std::chrono::duration<double, std::milli>(now - m_updatedAt).count();
    return std::exp2(-std::max(0.0, ageMs) / static_cast<double>(halving.count()));
}

void LateShare::record(bool isInTime, MonotonicTime now)
{
    double kept = keptShare(now);
    m_calls = m_calls * kept + 1;
    m_late = m_late * kept + (isInTime ? 0 : 1);
    m_updatedAt = now;
}

bool LateShare::isOverloaded(MonotonicTime now) const
{
    double kept = keptShare(now);
    return m_late * kept > overloadedAbove * (m_calls * kept + callsInTimeAssumed);
}

} // namespace Kumquatpick
