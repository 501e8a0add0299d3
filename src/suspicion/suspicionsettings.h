#pragma once

#include "base/clock.h"

#include <cstdint>

namespace Kumquatpick {

struct SuspicionSettings {
    // Deaths after which a suspect is stopped.
    uint32_t stopAfterDeaths = 3;
    // A stopped suspect may run once this long after its latest death.
    Milliseconds stopDuration = std::chrono::minutes(60);
    // A suspicion with fewer deaths expires after this time.
    Milliseconds suspicionDuration = std::chrono::minutes(10);
    // After a normal end, deaths are not counted against the request for this time: a request that many callers send
    // may run on each server of a domain that fails. 0 if requests are not remembered after their ends.
    Milliseconds harmlessDuration { 0 };
    // Whether a server that starts again gets another name, so that a name dies once.
    bool namesAreUnique = false;
};

} // namespace Kumquatpick
