#pragma once

#include "backend/directory.h"
#include "operator/config.h"

#include <map>
#include <string>

namespace Kumquatpick {

class Admission;
class Router;

// Requests in flight, by service.
struct ClusterLoad {
    const std::map<std::string, uint32_t>& remoteRunning; // At other nodes, from their latest digests.
    const std::map<std::string, uint32_t>& localRunning;
    uint32_t nodes = 1; // Live nodes that are not stopping, this one included.
};

// For each service, passes the replicas that are serving to the router, and this node's share of their streams to
// admission control.
class RoutingFeed {
public:
    RoutingFeed(ReplicaDirectory&, Router&, Admission&);

    void refresh(const OperatorConfig&, const ClusterLoad&, MonotonicTime now);

private:
    void refreshService(const ServiceConfig&, const ClusterLoad&, MonotonicTime now);

    ReplicaDirectory& m_directory;
    Router& m_router;
    Admission& m_admission;
};

} // namespace Kumquatpick
