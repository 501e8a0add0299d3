#pragma once

#include "base/clock.h"

#include <optional>

namespace Kumquatpick {

// The signals that ask this process to stop. Their handler notes the time at which the first one came: the grace period
// runs from then on, also while the event loop is busy or has not begun to run.
class StopSignals {
public:
    // From here on the signals do not end the process.
    static void install();
    static std::optional<MonotonicTime> receivedAt();
};

} // namespace Kumquatpick
