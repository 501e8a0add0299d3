#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

// What a node publishes about itself to all others. Only the node itself raises the sequence, so of two states the one
// with the higher sequence is the newer, in whatever order they arrive.
struct NodeState {
    std::string address; // For other nodes; identifies the node.
    std::string name;
    uint64_t incarnation = 0; // Identifies this run of the process.
    std::string callers; // Address for callers' requests.
    std::string zone;
    double cpuShare = 0; // Of one core.
    bool isStopping = false;
    bool isReady = false;
    // Services whose backend servers it does not reach although others may; ordered.
    std::vector<std::string> cutOffServices;
    std::string monitor; // Address of the node that reports this one as silent when it stops calling.
    uint64_t sequence = 0;
    bool isSilent = false; // Reported as silent since this sequence; the node refutes it by raising the sequence.

    bool operator==(const NodeState&) const = default;
};

} // namespace Kumquatpick
