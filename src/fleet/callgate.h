#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Kumquatpick {

// What decides which heads may take a call.
struct GateInputs {
    Milliseconds target {}; // To the first event; 0 if the route names none.
    Milliseconds targetGap {}; // Longest pause between events that is still on time; 0 if the route names none.
    Milliseconds elapsed {}; // Since the call arrived.
    Milliseconds timeLeft {}; // Until its deadline.
    bool isOverShare = false; // Its team got more than its share while others are refused.
    bool isCallerRetry = false; // Refused before, so it is late already.
    bool isOverloaded
        = false; // So many calls of an urgent route are late that some are refused for others to be in time.
    double fastestMs = 0; // Shortest times to the first event that were lately observed; 0 if unknown.
};

// A condition on heads. Those of a call are tried in their order.
struct GateStep {
    double maxFirstEventMs = 0; // Predicted from now, for a usual prompt.
    double maxLoad = 1; // Share of the head's slots in use, with this call.
    bool isInTime = true; // Whether the call would be in its target.
};

// After this the caller leaves a stream without an event.
Milliseconds callerPatience(Milliseconds target, Milliseconds targetGap);

// Which heads may take a call, the best first. Heads that answer in time come first. If none does, the call is worth
// little, so it gets only the room that calls in time do not need. Empty if the first event has no target: then the
// call is admitted by the number of calls in flight alone.
std::vector<GateStep> gateSteps(const GateInputs&);

// When a caller that was refused for lack of room may come back: not before the heads have worked off what they have,
// and spread over the time that callers wait, so that those refused together do not return together. At most a third of
// the time left, because callers do not wait longer. The draw is from 0 to 1.
Milliseconds gateRetryAfter(double fastestPredictedMs, Milliseconds target, Milliseconds timeLeft, double draw);

} // namespace Kumquatpick
