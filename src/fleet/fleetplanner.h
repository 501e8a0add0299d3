#pragma once

#include "fleet/controllerterm.h"
#include "fleet/replicaplanner.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The replica planners of all services during one term of the controller. Not thread-safe.
class FleetPlanner {
public:
    // fencing: the fencing token of the controller's lease.
    explicit FleetPlanner(uint64_t fencing);
    FleetPlanner(const FleetPlanner&) = delete; // The planners refer to its term.
    FleetPlanner& operator=(const FleetPlanner&) = delete;

    // The services that serve models, in the order in which to plan them. Another one comes first in each round, so
    // that none takes all loads that may begin.
    std::vector<const ServiceSpec*> beginRound(const FleetConfig&);
    // The planner of the service, made on first use.
    ReplicaPlanner& plannerOf(std::string_view service);
    // nullptr if nothing was planned for the service in this term.
    ReplicaPlanner* find(std::string_view service);

private:
    ControllerTerm m_term;
    uint64_t m_rounds = 0;
    std::map<std::string, ReplicaPlanner, std::less<>> m_planners; // By service.
};

} // namespace Kumquatpick
