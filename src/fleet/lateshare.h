#pragma once

#include "base/clock.h"

namespace Kumquatpick {

// The share of recent calls for which no head was predicted to send the first event in time. While it is small, late
// calls delay few others and are better served late than refused; when it grows, each call that is sent late makes more
// of them late. Not thread-safe; the caller passes the time in.
class LateShare {
public:
    void record(bool isInTime, MonotonicTime now);
    // Whether so many calls are late that they must be refused for others to be in time.
    bool isOverloaded(MonotonicTime now) const;

private:
    double keptShare(MonotonicTime now) const;

    // Calls of the last seconds; older ones count less.
    double m_calls = 0;
    double m_late = 0;
    MonotonicTime m_updatedAt {};
};

} // namespace Kumquatpick
