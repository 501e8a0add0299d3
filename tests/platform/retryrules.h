#pragma once

#include "fleet/retryallowance.h"
#include "platform/platformfakes.h"

#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Checks the arrivals at all servers of one service, of all nodes together: in no window more arrivals beyond the first
// one of their call than the limits allow. They count the calls in that window, the one before it or the one half a
// window before it, whichever has most. Returns one line for the worst window, or none.
std::vector<std::string> retryViolations(std::span<const FakeHost::Arrival>, const RetryLimits&);

} // namespace Kumquatpick
