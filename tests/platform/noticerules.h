#pragma once

#include "platform/platformfakes.h"

#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Checks of a server's recorded arrivals for nodes that ignored its notices. Each returns one line per violation.

// More than 1.5 times the announced limit plus five requests in any four seconds. Checked from three seconds after the
// limit was first announced until it was lifted; counts only nodes that were told of it at least 0.5 s before.
std::vector<std::string> limitViolations(std::span<const FakeHost::Arrival>);
// More than two requests from one node between 0.5 s after it was asked to back off and the end of the backoff.
std::vector<std::string> backoffViolations(std::span<const FakeHost::Arrival>);
// Requests from a node more than two seconds after it was told that the server drains.
std::vector<std::string> drainViolations(std::span<const FakeHost::Arrival>);
// More than three requests with one body over three seconds after a request with that body ended a server for the third
// time, or with the crashing part after the fifth time. The arrivals are those at all servers.
std::vector<std::string> crashViolations(std::vector<FakeHost::CrashingArrival>);

} // namespace Kumquatpick
