#pragma once

#include "fleet/config.h"
#include "fleet/replicademand.h"
#include "fleet/servicemodel.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

class HostTable;

// How many replicas of each model the traffic of each service needs. Not thread-safe.
class FleetDemand {
public:
    using InFlight = std::function<double(std::string_view service, std::string_view model)>;

    // Called every 100 ms with the requests that all nodes have in flight, and what they refused.
    void observe(const FleetConfig&, const InFlight&, const UnmetDemand&);
    // By model of the service. Before the calls in flight fill one replica, the shares set by the operators apply.
    std::map<std::string, double, std::less<>> wantedReplicas(const ServiceSpec&, const HostTable&) const;
    double demandedSlots(const ServiceSpec&, const ModelSpec&) const;

private:
    ReplicaDemand demandFor(const ServiceSpec&, const ModelSpec&) const;

    std::map<ServiceModel, ReplicaDemand> m_demand;
};

} // namespace Kumquatpick
