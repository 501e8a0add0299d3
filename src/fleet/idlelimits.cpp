#include "fleet/idlelimits.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Of an announced limit, as the peer counts from an earlier moment.
    constexpr double usableShare = 0.8;
    // How far a close that came earlier lowers the limit.
    constexpr double closeWeight = 0.25;
    constexpr size_t maxServices = 256; // With connections from one node.

}

IdleLimits::Limit& IdleLimits::limitOf(std::string_view service)
{
    auto found = m_limits.find(service);
    if (found != m_limits.end())
        return found->second;
    if (m_limits.size() >= maxServices)
        m_limits.clear();
    return m_limits.emplace(service, Limit {}).first->second;
}

void IdleLimits::announced(std::string_view service, Milliseconds limit)
{
    if (limit.count() > 0)
        limitOf(service).announced = limit;
}

void IdleLimits::seenOpen(std::string_view service, Milliseconds idle)
{
    Limit& limit = limitOf(service);
    limit.learned = std::max(limit.learned, idle);
}

void IdleLimits::seenClosed(std::string_view service, Milliseconds openUntil)
{
    Limit& limit = limitOf(service);
    limit.hasClosed = true;
    if (openUntil < limit.learned)
        limit.learned -= std::chrono::ceil<Milliseconds>(closeWeight * (limit.learned - openUntil));
}

std::optional<Milliseconds> IdleLimits::usable(std::string_view service) const
{
    auto found = m_limits.find(service);
    if (found == m_limits.end())
        return std::nullopt;
    const Limit& limit = found->second;
    if (limit.announced)
        return std::chrono::floor<Milliseconds>(usableShare * *limit.announced);
    return limit.hasClosed ? std::optional(limit.learned) : std::nullopt;
}

} // namespace Kumquatpick
