#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Backend servers that refused a request of this node and said when to retry: until then they get nothing from it. Only
// time ends a backoff: neither an answer to an earlier request nor a new list of servers does. Kept by the server's
// life. Not thread-safe; time is handed in.
class Backoffs {
public:
    // A refusal that came now. A later end that was asked for before stays.
    void asked(std::string_view hostId, Milliseconds backoff, MonotonicTime now);
    // When the server may be sent requests again; the clock's start if it asked for no backoff.
    MonotonicTime endOf(std::string_view hostId) const;
    bool isBackedOff(std::string_view hostId, MonotonicTime now) const { return endOf(hostId) > now; }
    // Forgets what is over.
    void expire(MonotonicTime now);
    // Servers that are backed off from, or were until expire() was last called.
    size_t size() const { return m_ends.size(); }

private:
    std::map<std::string, MonotonicTime, std::less<>> m_ends; // By host.
};

} // namespace Kumquatpick
