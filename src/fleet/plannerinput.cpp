#include "fleet/plannerinput.h"

namespace Kumquatpick {

bool PlannerInput::isUsable(std::string_view hostId) const
{
    const Host* host = hosts.find(hostId);
    if (!host || host->draining)
        return false;
    HostContact known = contact(hostId);
    return known == HostContact::Unknown || known == HostContact::Answers;
}

} // namespace Kumquatpick
