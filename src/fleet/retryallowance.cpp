#include "fleet/retryallowance.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds slotLength { 250 };
    // With the tokens that a window begins with, 0.96 of the limit. The rest is for the rounding of fractions, and for
    // sends that take longer than others.
    constexpr double usableShare = 0.8;

}

RetryAllowance::RetryAllowance(RetryLimits limits, double roundingPhase)
    : m_limits(limits)
    , m_roundingPhase(roundingPhase)
{
}

// What was due until now is added at the share before.
void RetryAllowance::setNodes(std::optional<uint32_t> nodes, MonotonicTime now)
{
    if (nodes == m_nodes)
        return;
    for (auto& [name, service] : m_services)
        refill(service, now);
    m_nodes = nodes;
    m_nodesSetAt = now;
}

RetryAllowance::Service& RetryAllowance::serviceAt(std::string_view name, MonotonicTime now)
{
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.emplace(name, Service { {}, m_nodesSetAt, m_roundingPhase, { std::string(name) } }).first;
    Service& service = found->second;
    refill(service, now);
    std::erase_if(service.slots, [&](const TokenSlot& slot) { return now - slot.begin > tokenLifetime; });
    return service;
}

void RetryAllowance::add(Service& service, double tokens, MonotonicTime at)
{
    if (service.slots.empty() || at - service.slots.back().begin >= slotLength)
        service.slots.push_back({ at });
    service.slots.back().tokens += tokens;
}

void RetryAllowance::refill(Service& service, MonotonicTime now)
{
    double perSecond = m_nodes ? usableShare * m_limits.allowance / toSeconds(m_limits.window) / *m_nodes : 0;
    service.refilledUntil = std::max(service.refilledUntil, now - tokenLifetime);
    while (service.refilledUntil < now) {
        MonotonicTime from = service.refilledUntil;
        service.refilledUntil = std::min<MonotonicTime>(now, from + slotLength);
        add(service, perSecond * toSeconds(service.refilledUntil - from), from);
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
    for (const TokenSlot& slot : service.slots)
        sum += slot.tokens;
    return sum;
}

// Spends one token, of the oldest. Where there is less than one, spends what there is; the retry is allowed once such
// fractions add up to a token.
bool RetryAllowance::take(Service& service)
{
    double left = std::min(1.0, remaining(service));
    if (left < 1)
        service.rounding += left;
    bool isAllowed = left >= 1 || service.rounding >= 1;
    if (left < 1 && isAllowed)
        service.rounding -= 1;
    for (TokenSlot& slot : service.slots) {
        double spent = std::min(left, slot.tokens);
        slot.tokens -= spent;
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
        refill(service, now);
        use.remaining = remaining(service);
        result.push_back(std::move(use));
    }
    return result;
}

} // namespace Kumquatpick
