#include "fleet/serverleave.h"

#include <cstddef>

namespace Kumquatpick {

ServerLeave mayLeaveServer(const ServerLeaveInputs& inputs)
{
    if (!inputs.mayRepeat || inputs.isSuspect)
        return ServerLeave::NotRepeatable;
    if (inputs.runs >= inputs.maxRuns || inputs.sends >= inputs.maxSends)
        return ServerLeave::NoRunLeft;
    if (!inputs.isRetryLeft)
        return ServerLeave::NoRetryLeft;
    return inputs.hasOtherServer ? ServerLeave::Allowed : ServerLeave::NoOtherServer;
}

const char* name(ServerLeave verdict)
{
    constexpr const char* names[] = { "allowed", "not_repeatable", "no_run_left", "no_retry_left", "no_other_server" };
    return names[static_cast<size_t>(verdict)];
}

} // namespace Kumquatpick
