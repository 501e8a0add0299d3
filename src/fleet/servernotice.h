#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace Kumquatpick {

// What a backend server says of itself beside the answer to a request.
struct ServerNotice {
    bool isDraining = false; // It takes nothing more before long, and this life of it does not stay.
    // That it takes from all nodes together; nothing if it names no limit. At least 0.
    std::optional<double> requestsPerSecond;
    // For which this node is to send it nothing, as it refused a request; nothing if it asks for none.
    std::optional<Milliseconds> backoff;
    // What can't be read and is not believed, for the log; empty if all can. It neither names nor lifts anything.
    std::string unreadable;
};

} // namespace Kumquatpick
