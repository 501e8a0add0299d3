#include "fleet/plannerinput.h"

namespace Kumquatpick {

bool PlannerInput::isUsable(std::string_view hostId) const
{
    const Host* host = hosts.find(hostId);
    if (!host || host->draining)
        return false;
    HostContact hostContact = contact(hostId);
    return hostContact == HostContact::Unknown || hostContact == HostContact::Reachable;
}

} // namespace Kumquatpick
