#pragma once

#include "fleet/config.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Kumquatpick {

// A configuration indexed for lookups. Immutable; a request uses the same table from start to end.
class RouteTable {
public:
    explicit RouteTable(FleetConfig);

    const FleetConfig& config() const { return m_config; }
    uint64_t version() const { return m_config.version; }

    // The host's route with the longest matching path prefix; nullptr if none matches.
    const Route* find(std::string_view host, std::string_view path) const;
    // The team that the key belongs to; nullptr if there is none.
    const TeamSpec* teamOfKey(std::string_view key) const;
    // Selects a service by the route's weights, given a random number in 0..1; empty if all weights are 0.
    static std::string_view pickService(const Route&, double draw);

private:
    using Prefixes = std::map<std::string, const Route*, std::less<>>;

    FleetConfig m_config;
    std::map<std::string, Prefixes, std::less<>> m_routesByHost;
    std::map<std::string, const TeamSpec*, std::less<>> m_teamsByKey;
};

} // namespace Kumquatpick
