#pragma once

namespace Kumquatpick {

// How a command ended, for scripts.
enum class ExitCode : int {
    Ok = 0,
    Refused = 1, // The text was refused, the request did not run, reality does not match.
    Usage = 2,
    Undecided = 3, // Nothing is promised yet: the same again, later.
    MayHaveRun = 4,
    Unreachable = 5, // No node answered.
};

} // namespace Kumquatpick
