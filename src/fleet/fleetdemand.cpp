#include "fleet/fleetdemand.h"

#include "fleet/hosttable.h"

#include <algorithm>

namespace Kumquatpick {

void FleetDemand::observe(const FleetConfig& config, const InFlight& inFlight, const UnmetDemand& unmetDemand)
{
    for (const ServiceSpec& service : config.services) {
        for (const ModelSpec& model : service.models) {
            ServiceModel key { service.name, model.name };
            auto unmet = unmetDemand.find(key);
            double unmetSlots = unmet == unmetDemand.end() ? 0 : unmet->second;
            m_demand[key].observe(inFlight(service.name, model.name) + unmetSlots);
        }
    }
}

std::map<std::string, double, std::less<>> FleetDemand::wantedReplicas(
    const ServiceSpec& service, const HostTable& table) const
{
    double slots = 0;
    double totalWorkShare = 0;
    for (const ModelSpec& model : service.models) {
        slots += demandedSlots(service, model);
        totalWorkShare += model.workShare;
    }
    bool hasMeasuredDemand = slots >= service.capacity;
    auto hosts = static_cast<double>(
        std::ranges::count_if(table.hosts(), [&](const auto& entry) { return entry.second.service == service.name; }));
    std::map<std::string, double, std::less<>> wanted;
    for (const ModelSpec& model : service.models) {
        // Hosts are assigned in proportion to the configured work share of a model.
        double expected = totalWorkShare > 0 ? hosts * model.workShare / totalWorkShare / model.hostsPerReplica : 1;
        wanted[model.name] = hasMeasuredDemand ? demandFor(service, model).replicas(service.capacity) : expected;
    }
    return wanted;
}

double FleetDemand::demandedSlots(const ServiceSpec& service, const ModelSpec& model) const
{
    return demandFor(service, model).demandedSlots();
}

// None while it was not observed.
ReplicaDemand FleetDemand::demandFor(const ServiceSpec& service, const ModelSpec& model) const
{
    auto found = m_demand.find(ServiceModel { service.name, model.name });
    return found == m_demand.end() ? ReplicaDemand() : found->second;
}

} // namespace Kumquatpick
