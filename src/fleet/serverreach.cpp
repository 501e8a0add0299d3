#include "fleet/serverreach.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

const ServerReach::Reach* ServerReach::find(std::string_view service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool ServerReach::isDoubtful(const Reach& reach)
{
    return reach.isSuspected || std::max(reach.failedServers.size(), reach.silentServers) >= failuresInDoubt;
}

void ServerReach::recordSuccess(Reach& reach, MonotonicTime now)
{
    reach.failedServers.clear();
    reach.reachedAt = now;
}

void ServerReach::connected(std::string_view service, MonotonicTime now)
{
    recordSuccess(m_services[std::string(service)], now);
}

void ServerReach::connectFailed(std::string_view service, std::string_view server)
{
    m_services[std::string(service)].failedServers.emplace(server);
}

void ServerReach::setSilentServers(std::string_view service, size_t count)
{
    if (count > 0 || m_services.contains(service))
        m_services[std::string(service)].silentServers = count;
}

void ServerReach::suspect(std::string_view service) { m_services[std::string(service)].isSuspected = true; }

bool ServerReach::needsCheck(std::string_view service, MonotonicTime now) const
{
    const Reach* reach = find(service);
    if (!reach || reach->isChecking)
        return false;
    if (reach->isCutOff)
        return now - reach->checkedAt >= returnPeriod;
    return isDoubtful(*reach) && now - reach->checkedAt >= doubtPeriod;
}

void ServerReach::checkStarted(std::string_view service, MonotonicTime now)
{
    Reach& reach = m_services[std::string(service)];
    reach.isChecking = true;
    reach.isSuspected = false;
    reach.checkedAt = now;
}

bool ServerReach::checkEnded(std::string_view service, bool isAnyReached, MonotonicTime now)
{
    Reach& reach = m_services[std::string(service)];
    reach.isChecking = false;
    if (isAnyReached)
        recordSuccess(reach, now);
    return std::exchange(reach.isCutOff, !isAnyReached) == isAnyReached;
}

bool ServerReach::isCutOff(std::string_view service) const
{
    const Reach* reach = find(service);
    return reach && reach->isCutOff;
}

bool ServerReach::isConfirmed(std::string_view service, MonotonicTime now) const
{
    const Reach* reach = find(service);
    return reach && !reach->isCutOff && reach->reachedAt && now - *reach->reachedAt <= doubtPeriod;
}

std::vector<std::string> ServerReach::cutOffServices() const
{
    std::vector<std::string> result;
    for (const auto& [service, reach] : m_services) {
        if (reach.isCutOff)
            result.push_back(service);
    }
    return result;
}

std::vector<std::string> ServerReach::services() const
{
    std::vector<std::string> result;
    for (const auto& [service, reach] : m_services)
        result.push_back(service);
    return result;
}

} // namespace Kumquatpick
