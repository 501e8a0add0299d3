#pragma once

#include "backend/directory.h"
#include "operator/config.h"

#include <map>
#include <string>

namespace Kumquatpick {

class Admission;
class Router;

// What is in flight, by service.
struct FleetUse {
    const std::map<std::string, uint32_t>& othersRunning; // At other nodes, by their latest digests.
    const std::map<std::string, uint32_t>& ownRunning;
    uint32_t nodes = 1; // Those that take requests, this one included.
};

// Hands the replicas that serve now to the router, and their room to admission, service by service.
class RoutingFeed {
public:
    RoutingFeed(ReplicaDirectory&, Router&, Admission&);

    void refresh(const OperatorConfig&, const FleetUse&, MonotonicTime now);

private:
    void refreshService(const ServiceConfig&, const FleetUse&, MonotonicTime now);

    ReplicaDirectory& m_directory;
    Router& m_router;
    Admission& m_admission;
};

} // namespace Kumquatpick
