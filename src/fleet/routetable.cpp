#include "fleet/routetable.h"

namespace Kumquatpick {

RouteTable::RouteTable(FleetConfig config)
    : m_config(std::move(config))
{
    for (const Route& route : m_config.routes)
        m_routesByHost[route.host][route.pathPrefix] = &route;
    for (const TeamSpec& team : m_config.teams) {
        for (const std::string& key : team.keys)
            m_teamsByKey[key] = &team;
    }
}

// Prefixes end with a slash, so the candidates are the parts of the path up to each slash, longest first.
const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto prefixes = m_routesByHost.find(host);
    if (prefixes == m_routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

const TeamSpec* RouteTable::teamOfKey(std::string_view key) const
{
    auto found = m_teamsByKey.find(key);
    return found == m_teamsByKey.end() ? nullptr : found->second;
}

std::string_view RouteTable::pickService(const Route& route, double draw)
{
    double total = 0;
    for (const auto& choice : route.services)
        total += choice.weight;
    double left = draw * total;
    for (const auto& choice : route.services) {
        left -= choice.weight;
        if (choice.weight > 0 && left < 0)
            return choice.service;
    }
    return total > 0 ? std::string_view(route.services.back().service) : std::string_view();
}

} // namespace Kumquatpick
