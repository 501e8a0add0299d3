#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

struct ServiceConfig;

// An invalid entry of a service's dependsOn.
struct DependencyFault {
    size_t service = 0;
    size_t index = 0; // In its dependsOn.
    std::string expected;
};

// Returns dependencies on unknown services and those that close a cycle. Empty names are skipped: the parser has
// reported them already.
std::vector<DependencyFault> dependencyFaults(std::span<const ServiceConfig>);

} // namespace Kumquatpick
