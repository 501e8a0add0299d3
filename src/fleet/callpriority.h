#pragma once

namespace Kumquatpick {

// Properties of a call, known when it is sent, that decide in which order engines admit it.
struct PriorityInputs {
    bool hasStarted = false; // Its caller is already receiving the answer, or a replica that broke was running it.
    bool isCallerRetry = false; // It was refused before; a caller retries once.
    int rank = 0; // Of its team or route; 0 is the highest.
};

// From 0 (admitted first) to 9 (admitted last).
int callPriority(const PriorityInputs&);

} // namespace Kumquatpick
