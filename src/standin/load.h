#pragma once

#include "standin/loadsettings.h"
#include "standin/loadtotals.h"

namespace Kumquatpick {

// Runs the whole load with one thread a caller, resending as the typed outcomes say:
// "not run" comes back with the next attempt when told to, "undecided" with the same attempt, "may have run"
// only if the request is repeatable, and a broken call goes to another node under the same key and attempt.
LoadTotals runLoad(const LoadSettings&);

} // namespace Kumquatpick
