#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "operator/config.h"

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

class ReplicaDirectory;

struct NodeStatus {
    std::string name;
    std::string zone;
    Offset configVersion = 0;
    bool stopping = false;
};

struct StatusInput {
    const NodeInfo& self;
    const OperatorConfig* text = nullptr;
    Offset configVersion = 0;
    Offset logOffset = 0;
    bool logReachable = false;
    bool holdsLease = false;
    std::span<const NodeStatus> nodes;
    const ReplicaDirectory& directory;
    MonotonicTime now;
};

// Compares the observed state with the operators' text, in the JSON format that docs/PROTOCOLS.md defines.
nlohmann::json statusReport(const StatusInput&);

} // namespace Kumquatpick
