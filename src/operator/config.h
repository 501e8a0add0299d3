#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Kumquatpick {

enum class ServiceKind : uint8_t {
    Model, // Replicas span one or more hosts, which kumquatpick claims and loads.
    Plain, // An application run by the platform; kumquatpick only routes requests to it.
};

enum class FencingSupport : uint8_t {
    Checked, // The engine refuses an order with an older fencing number.
    Ignored, // The engine executes any order, so only the sender can prevent outdated ones.
};

struct ServiceConfig {
    std::string name;
    ServiceKind kind = ServiceKind::Model;
    std::string model;
    std::string modelVersion;
    uint64_t weightsBytes = 0; // Per host of a replica.
    uint32_t hostsPerReplica = 1;
    uint32_t replicas = 0;
    std::vector<std::string> dependsOn;
    uint32_t streamsPerReplica = 16; // Concurrent requests.
    uint32_t queueLimit = 256; // Waiting requests per entry node.
    FencingSupport fencing = FencingSupport::Checked;
    double groupDowntimeWeight = 0.5;
    double strandedWeight = 0.5;

    bool operator==(const ServiceConfig&) const = default;
};

struct TeamConfig {
    std::string name;
    double share = 1; // Relative weight in fair queueing.
    uint32_t streamLimit = 0; // Concurrent requests over all entry nodes; 0 for no limit.

    bool operator==(const TeamConfig&) const = default;
};

// The configuration of a deployment, as written by its operators.
struct OperatorConfig {
    std::string deployment;
    std::vector<std::string> zones;
    std::vector<ServiceConfig> services;
    std::vector<TeamConfig> teams;

    const ServiceConfig* service(std::string_view name) const;
    const TeamConfig* team(std::string_view name) const;
    bool operator==(const OperatorConfig&) const = default;
};

// A fault in a configuration, with its position in the file.
struct ConfigFault {
    uint32_t line = 0; // Line and column count from 1.
    uint32_t column = 0;
    std::string key; // "service[2].replicas"
    std::string expected; // "a whole number from 0 to 100000"

    std::string describe(std::string_view file) const;
    bool operator==(const ConfigFault&) const = default;
};

// In bytes.
constexpr size_t maxConfigBytes = 512 * 1024;
constexpr size_t maxConfigLineBytes = 1024;

// Parses TOML. Reports all faults at once; unknown keys are faults. The result depends on the bytes only and nothing
// is thrown, so that every node accepts or rejects the same configurations.
std::variant<OperatorConfig, std::vector<ConfigFault>> parseOperatorConfig(std::string_view toml);

} // namespace Kumquatpick
