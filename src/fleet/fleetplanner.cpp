#include "fleet/fleetplanner.h"

#include <algorithm>

namespace Kumquatpick {

FleetPlanner::FleetPlanner(uint64_t fencing)
    : m_term(fencing)
{
}

std::vector<const ServiceSpec*> FleetPlanner::beginRound(const FleetConfig& config)
{
    std::vector<const ServiceSpec*> services;
    for (const ServiceSpec& service : config.services) {
        if (service.servesModels())
            services.push_back(&service);
    }
    m_term.loads().retainServices(config);
    if (services.empty())
        return services;
    auto first = services.begin() + static_cast<std::ptrdiff_t>(m_rounds++ % services.size());
    std::rotate(services.begin(), first, services.end());
    return services;
}

ReplicaPlanner& FleetPlanner::plannerOf(std::string_view service)
{
    if (ReplicaPlanner* planner = find(service))
        return *planner;
    return m_planners.try_emplace(std::string(service), m_term).first->second;
}

ReplicaPlanner* FleetPlanner::find(std::string_view service)
{
    auto found = m_planners.find(service);
    return found == m_planners.end() ? nullptr : &found->second;
}

} // namespace Kumquatpick
