#pragma once

#include "platform/standin.h"

#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// What a server's record shows of nodes that did not do as it said of itself; a line each.

// More than one and a half times the limit that it named, and five, in some four seconds, from three seconds after it
// first named it until it named none, from nodes that had been told half a second before.
std::vector<std::string> overLimits(std::span<const StandinHost::Arrival>);
// More than two requests from a node between half a second after it was asked for a backoff and the backoff's end.
std::vector<std::string> withinBackoffs(std::span<const StandinHost::Arrival>);
// Requests from a node later than two seconds after it was told that the server drains.
std::vector<std::string> afterDraining(std::span<const StandinHost::Arrival>);

} // namespace Kumquatpick
