#include "fleet/plannerinput.h"

#include <algorithm>

namespace Kumquatpick {

const char* name(HostContact contact)
{
    constexpr const char* names[] = { "unknown", "reachable", "unreachable", "unreachable_by_all", "refused", "ended" };
    return names[static_cast<size_t>(contact)];
}

bool PlannerInput::isUsable(std::string_view hostId) const
{
    const Host* host = hosts.find(hostId);
    if (!host || host->draining || isEvacuated(host->zone))
        return false;
    HostContact hostContact = contact(hostId);
    return hostContact == HostContact::Unknown || hostContact == HostContact::Reachable;
}

bool PlannerInput::isAnyEvacuated(std::span<const Host* const> members) const
{
    return std::ranges::any_of(members, [this](const Host* member) { return isEvacuated(member->zone); });
}

} // namespace Kumquatpick
