#pragma once

#include "fleet/balancer.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

struct FleetConfig;
class HostTable;

// Where the calls of each service may go, as the host table shows it.
struct ServingTargets {
    std::vector<ServingTarget> targets;
    std::set<std::string, std::less<>> retiringHeads; // Of replicas that give way to other models.
};

// A replica takes requests while its head is open, all members are at the same epoch and none of them is known to be
// leaving. Targets in evacuated zones have no capacity: they get nothing new, and what they run is still watched.
ServingTargets servingTargets(
    const FleetConfig&, const HostTable&, const std::function<bool(std::string_view zone)>& isEvacuated);

} // namespace Kumquatpick
