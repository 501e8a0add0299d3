#pragma once

#include "fleet/config.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Kumquatpick {

// A configuration indexed for lookups. Immutable: a request keeps the one it began with.
class RouteTable {
public:
    explicit RouteTable(FleetConfig);

    const FleetConfig& config() const { return m_config; }
    uint64_t version() const { return m_config.version; }

    // The route of the host whose prefix is the longest that begins the path; nullptr if none does.
    const Route* find(std::string_view host, std::string_view path) const;
    // The team that holds the key; nullptr if nobody does.
    const TeamSpec* teamOfKey(std::string_view key) const;
    // The service that a draw in 0..1 falls on by the route's weights; empty if none has any weight.
    static std::string_view pickService(const Route&, double draw);

private:
    using Prefixes = std::map<std::string, const Route*, std::less<>>;

    FleetConfig m_config;
    std::map<std::string, Prefixes, std::less<>> m_routesByHost;
    std::map<std::string, const TeamSpec*, std::less<>> m_teamsByKey;
};

} // namespace Kumquatpick
