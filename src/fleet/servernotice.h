#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace Kumquatpick {

// Information about a backend server itself that accompanies its answer to a request.
struct ServerNotice {
    bool isDraining = false; // It will soon accept no more requests, and this incarnation is about to end.
    // Limit on requests from all nodes together, at least 0; nullopt if it has no limit.
    std::optional<double> requestsPerSecond;
    // How long this node is to send it nothing after a refused request; nullopt if it requests no backoff.
    std::optional<Milliseconds> backoff;
    // Fields that could not be parsed, for the log; empty if there are none. They neither set nor lift anything.
    std::string unreadable;
};

} // namespace Kumquatpick
