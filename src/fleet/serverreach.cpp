#include "fleet/serverreach.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

const ServerReach::Reach* ServerReach::find(std::string_view service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool ServerReach::isSilent(const Reach& reach, MonotonicTime now) { return now - reach.heardAt > silenceInDoubt; }

bool ServerReach::isDoubtful(const Reach& reach, MonotonicTime now)
{
    size_t silent = isSilent(reach, now) ? reach.silentServers : 0;
    return reach.isSuspected || std::max(reach.failedServers.size(), silent) >= failuresInDoubt;
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

void ServerReach::heardFrom(std::string_view service, MonotonicTime now)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.try_emplace(std::string(service)).first;
    found->second.heardAt = now;
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
    return isDoubtful(*reach, now) && now - reach->checkedAt >= doubtPeriod;
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

bool ServerReach::isReachedSince(std::string_view service, MonotonicTime since) const
{
    const Reach* reach = find(service);
    return reach && std::max(reach->heardAt, reach->reachedAt) > since;
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
