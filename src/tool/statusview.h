#pragma once

#include "base/error.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// One node's word on how far reality matches the operators' text.
struct StatusView {
    struct Replica {
        std::string replica;
        std::string zone;
        std::string domain;
        std::vector<std::string> hosts;
        bool serving = false;
        std::string reason;
        std::string blamedHost;
    };

    struct Service {
        std::string service;
        uint64_t wanted = 0;
        uint64_t serving = 0;
        std::vector<Replica> replicas;
    };

    struct Node {
        std::string node;
        std::string zone;
        uint64_t configVersion = 0;
        bool stopping = false;
    };

    std::string node;
    uint64_t configVersion = 0;
    uint64_t logOffset = 0;
    bool logReachable = false;
    std::vector<Service> services;
    std::vector<Node> nodes;
    std::vector<std::string> strandedHosts;

    // Fails with Malformed.
    static Result<StatusView> read(const nlohmann::json&);

    // Where reality differs from the text, a line each; a node that is stopping need not have the latest one.
    // leastVersion: the version that must be in force at least.
    std::vector<std::string> mismatches(uint64_t leastVersion) const;
};

std::string formatStatus(const StatusView&, uint64_t leastVersion, bool allReplicas);

} // namespace Kumquatpick
