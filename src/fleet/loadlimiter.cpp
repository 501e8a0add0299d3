#include "fleet/loadlimiter.h"

#include "fleet/config.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Capacity of the token bucket that limits the rate of loads.
    constexpr double loadBurst = 5;
    // A service that still waits is refused again in each plan.
    constexpr Milliseconds waitingMemory { 500 };

}

void LoadLimiter::retainServices(const FleetConfig& config)
{
    std::erase_if(m_services, [&](const auto& entry) {
        const ServiceSpec* service = config.service(entry.first);
        return !service || !service->servesModels();
    });
}

void LoadLimiter::setLimits(std::string_view service, const EngineTiming& timing)
{
    Service& limited = m_services.try_emplace(std::string(service)).first->second;
    limited.maxPerSecond = timing.loadsPerSecond;
    limited.maxRunning = timing.concurrentLoads;
}

void LoadLimiter::setRunning(std::string_view service, uint32_t loads)
{
    m_services.try_emplace(std::string(service)).first->second.running = loads;
}

uint32_t LoadLimiter::runningOfOthers(std::string_view service) const
{
    uint32_t total = 0;
    for (const auto& [name, limited] : m_services)
        total += name == service ? 0 : limited.running;
    return total;
}

uint32_t LoadLimiter::maxRunning() const
{
    auto lowest = std::ranges::min_element(m_services, {}, [](const auto& entry) { return entry.second.maxRunning; });
    return lowest == m_services.end() ? 0 : lowest->second.maxRunning;
}

bool LoadLimiter::tryBegin(const Request& request, MonotonicTime now)
{
    uint32_t running = request.running + runningOfOthers(request.service);
    bool hasRoom = running < std::min(request.maxRunning, maxRunning()) && !isOverShare(request, now);
    bool mayBegin = hasRoom && takeToken(now);
    if (!mayBegin && !request.mayWait)
        m_services.try_emplace(std::string(request.service)).first->second.refusedAt = now;
    return mayBegin;
}

// Whether the service has an equal share of the loads in progress while another one waits for its own.
bool LoadLimiter::isOverShare(const Request& request, MonotonicTime now) const
{
    auto isWaiting
        = [now](const Service& service) { return service.refusedAt && now - *service.refusedAt <= waitingMemory; };
    uint32_t waiting = 1;
    uint32_t fewestRunning = request.running;
    for (const auto& [name, service] : m_services) {
        if (name == request.service || !isWaiting(service))
            continue;
        ++waiting;
        fewestRunning = std::min(fewestRunning, service.running);
    }
    uint32_t share = maxRunning() / waiting;
    return request.running >= share && fewestRunning < share;
}

bool LoadLimiter::takeToken(MonotonicTime now)
{
    auto slowest
        = std::ranges::min_element(m_services, {}, [](const auto& entry) { return entry.second.maxPerSecond; });
    double perSecond = slowest == m_services.end() ? 0 : slowest->second.maxPerSecond;
    double elapsed = m_refilledAt ? toSeconds(now - *m_refilledAt) : loadBurst;
    m_refilledAt = now;
    m_tokens = std::min(loadBurst, m_tokens + elapsed * perSecond);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace Kumquatpick
