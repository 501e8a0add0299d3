#include "coordination/placer.h"

namespace Kumquatpick {

std::optional<Placement> placeFirstFit(const PlacementRequest& request)
{
    size_t needed = request.service.hostsPerReplica;
    for (const auto& [name, domain] : request.freeDomains) {
        if (domain.hosts.size() >= needed)
            return Placement { name, { domain.hosts.begin(), domain.hosts.begin() + static_cast<long>(needed) } };
    }
    return std::nullopt;
}

} // namespace Kumquatpick
