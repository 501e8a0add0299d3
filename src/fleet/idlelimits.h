#pragma once

#include "base/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Learns how long the servers of each service keep an idle connection: from what they announce, and else from
// connections that were seen open or closed after an idle time. Not thread-safe.
class IdleLimits {
public:
    void announced(std::string_view service, Milliseconds limit);
    void seenOpen(std::string_view service, Milliseconds idle);
    // openUntil: the longest idle time at which the connection was seen open. A server that ends closes its connections
    // early, too, so a single one says little.
    void seenClosed(std::string_view service, Milliseconds openUntil);

    // The idle time up to which a connection is probably still open; nullopt while nothing is known.
    std::optional<Milliseconds> usable(std::string_view service) const;

private:
    struct Limit {
        std::optional<Milliseconds> announced;
        Milliseconds learned {};
        bool hasClosed = false; // Without a close, the limit may be much longer than what was seen.
    };
    Limit& limitOf(std::string_view service);

    std::map<std::string, Limit, std::less<>> m_limits; // By service.
};

} // namespace Kumquatpick
