#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Backoffs requested by backend servers that refused a request of this node and named a retry time. Until then this
// node sends them nothing. A backoff ends only when its time has passed; an answer to an earlier request or a new list
// of servers does not end it. Keyed by server incarnation. Not thread-safe. The caller passes the time in.
class Backoffs {
public:
    // Records a backoff that was requested now. It never shortens an earlier one.
    void recordBackoff(std::string_view hostId, Milliseconds backoff, MonotonicTime now);
    // When the server may be sent requests again; the clock's epoch if it requested no backoff.
    MonotonicTime endOf(std::string_view hostId) const;
    bool isBackedOff(std::string_view hostId, MonotonicTime now) const { return endOf(hostId) > now; }
    // Removes backoffs that have ended.
    void expire(MonotonicTime now);
    // Servers with a backoff, including those that ended since the last call of expire().
    size_t size() const { return m_ends.size(); }

private:
    std::map<std::string, MonotonicTime, std::less<>> m_ends; // By host.
};

} // namespace Kumquatpick
