#pragma once

#include "coordination/placer.h"

namespace Kumquatpick {

// The placement rules of the controllers. choosePlacement() selects the hosts of a new replica, and chooseMove()
// selects a replica to move when a new one fits nowhere. The service's groupDowntimeWeight and strandedWeight decide
// how many moves run at once and whether recovery loads go first.
extern const PlacementRules weightedPlacement;

} // namespace Kumquatpick
