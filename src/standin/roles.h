#pragma once

#include "standin/roleflags.h"

namespace Kumquatpick {

// Runs one role of the stand-in program, as the first argument names it; the exit code.
// Servers run until SIGTERM or SIGINT.
int runRole(Arguments);

// Emulators of one outside system each.
int runLog(Arguments);
int runMembership(Arguments);
int runWeights(Arguments);
int runEngine(Arguments);
int runPlain(Arguments);

// Tools: seeded load, and the judge over what it and the emulators wrote down.
int runLoadTool(Arguments);
int runCheck(Arguments);

} // namespace Kumquatpick
