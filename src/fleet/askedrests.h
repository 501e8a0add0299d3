#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Backend servers that refused a request of this node and want nothing more from it for a while. Only time ends a rest:
// neither an answer to an earlier request nor a new list of servers does. Kept by the server's life. Not thread-safe;
// time is handed in.
class AskedRests {
public:
    // A refusal that came now. A longer rest that was asked for before stays.
    void asked(std::string_view hostId, Milliseconds rest, MonotonicTime now);
    // When the server may be sent requests again; the clock's start if it asked for no rest.
    MonotonicTime endOf(std::string_view hostId) const;
    bool isResting(std::string_view hostId, MonotonicTime now) const { return endOf(hostId) > now; }
    // Forgets what is over.
    void expire(MonotonicTime now);
    // Servers that rest, or did until they were last expired.
    size_t size() const { return m_ends.size(); }

private:
    std::map<std::string, MonotonicTime, std::less<>> m_ends; // By host.
};

} // namespace Kumquatpick
