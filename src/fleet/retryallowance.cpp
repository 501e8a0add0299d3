#include "fleet/retryallowance.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds fundLength { 250 };
    // With the funds of a lifetime that a window begins with, 0.96 of the limit. The rest is for the rounding of
    // fractions, and for sends that take longer than others.
    constexpr double usableShare = 0.8;

}

RetryAllowance::RetryAllowance(RetryLimits limits, double roundingPhase)
    : m_limits(limits)
    , m_roundingPhase(roundingPhase)
{
}

// Each share holds until it changes, so services get what is due before.
void RetryAllowance::setNodes(std::optional<uint32_t> nodes, MonotonicTime now)
{
    if (nodes == m_nodes)
        return;
    for (auto& [name, service] : m_services)
        addShare(service, now);
    m_nodes = nodes;
    m_nodesSetAt = now;
}

RetryAllowance::Service& RetryAllowance::serviceAt(std::string_view name, MonotonicTime now)
{
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.emplace(name, Service { {}, m_nodesSetAt, m_roundingPhase, { std::string(name) } }).first;
    Service& service = found->second;
    addShare(service, now);
    std::erase_if(service.funds, [&](const Fund& fund) { return now - fund.begin > fundLifetime; });
    return service;
}

void RetryAllowance::add(Service& service, double retries, MonotonicTime at)
{
    if (service.funds.empty() || at - service.funds.back().begin >= fundLength)
        service.funds.push_back({ at });
    service.funds.back().retries += retries;
}

void RetryAllowance::addShare(Service& service, MonotonicTime now)
{
    double perSecond = m_nodes ? usableShare * m_limits.allowance / toSeconds(m_limits.window) / *m_nodes : 0;
    service.fundedUntil = std::max(service.fundedUntil, now - fundLifetime);
    while (service.fundedUntil < now) {
        MonotonicTime from = service.fundedUntil;
        service.fundedUntil = std::min<MonotonicTime>(now, from + fundLength);
        add(service, perSecond * toSeconds(service.fundedUntil - from), from);
    }
}

void RetryAllowance::recordFirstSend(std::string_view name, MonotonicTime now)
{
    Service& service = serviceAt(name, now);
    add(service, usableShare * m_limits.ratio, now);
    ++service.use.firstSends;
}

double RetryAllowance::remaining(const Service& service)
{
    double sum = 0;
    for (const Fund& fund : service.funds)
        sum += fund.retries;
    return sum;
}

// Spends funds of one retry, the oldest first. Where there are less, spends them all: one such spending in so many is a
// retry that they add up to one.
bool RetryAllowance::take(Service& service)
{
    double left = std::min(1.0, remaining(service));
    if (left < 1)
        service.rounding += left;
    bool isAllowed = left >= 1 || service.rounding >= 1;
    if (left < 1 && isAllowed)
        service.rounding -= 1;
    for (Fund& fund : service.funds) {
        double spent = std::min(left, fund.retries);
        fund.retries -= spent;
        left -= spent;
    }
    return isAllowed;
}

bool RetryAllowance::takeRetry(std::string_view name, MonotonicTime now)
{
    Service& service = serviceAt(name, now);
    bool isAllowed = take(service);
    ++(isAllowed ? service.use.retries : service.use.refused);
    return isAllowed;
}

std::vector<RetryUse> RetryAllowance::takeUses(MonotonicTime now)
{
    std::vector<RetryUse> result;
    for (auto& [name, service] : m_services) {
        RetryUse use = std::exchange(service.use, { name });
        if (use.retries + use.refused == 0)
            continue;
        addShare(service, now);
        use.remaining = remaining(service);
        result.push_back(std::move(use));
    }
    return result;
}

} // namespace Kumquatpick
