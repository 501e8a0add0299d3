#include "fleet/retryallowance.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds bucketLength { 500 };
    // Nodes detect joins and departures with a delay, and a restarted node begins a new window. The reserve covers one
    // such node in six.
    constexpr double usableShare = 0.8;

}

RetryAllowance::RetryAllowance(RetryLimits limits, MonotonicTime started)
    : m_limits(limits)
    , m_started(started)
{
}

void RetryAllowance::setNodes(uint32_t liveNodes) { m_nodes = std::max(1u, liveNodes); }

RetryAllowance::Window& RetryAllowance::windowOf(std::string_view service, MonotonicTime now)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(service, Window {}).first;
    Window& window = found->second;
    // The last retry of a bucket may be up to bucketLength later than the bucket's begin.
    while (!window.empty() && now - window.front().begin > m_limits.window + bucketLength)
        window.pop_front();
    if (window.empty() || now - window.back().begin >= bucketLength)
        window.push_back({ now });
    return window;
}

void RetryAllowance::recordFirstSend(std::string_view service, MonotonicTime now)
{
    ++windowOf(service, now).back().firstSends;
    ++useOf(service).firstSends;
}

double RetryAllowance::remainingRetries(std::string_view service, MonotonicTime now)
{
    double firstSends = 0;
    double retries = 0;
    for (const Bucket& bucket : windowOf(service, now)) {
        firstSends += bucket.firstSends;
        retries += bucket.retries;
    }
    double rampUp = std::min(1.0, toSeconds(now - m_started) / toSeconds(m_limits.window));
    return usableShare * (m_limits.ratio * firstSends + rampUp * m_limits.allowance / m_nodes) - retries;
}

bool RetryAllowance::takeRetry(std::string_view service, MonotonicTime now)
{
    if (remainingRetries(service, now) < 1) {
        ++useOf(service).refused;
        return false;
    }
    ++windowOf(service, now).back().retries;
    ++useOf(service).retries;
    return true;
}

RetryUse& RetryAllowance::useOf(std::string_view service)
{
    auto found = m_uses.find(service);
    if (found == m_uses.end())
        found = m_uses.emplace(service, RetryUse { std::string(service) }).first;
    return found->second;
}

std::vector<RetryUse> RetryAllowance::takeUses(MonotonicTime now)
{
    std::vector<RetryUse> result;
    for (auto& [service, use] : std::exchange(m_uses, {})) {
        if (use.retries + use.refused == 0)
            continue;
        use.remaining = remainingRetries(service, now);
        result.push_back(std::move(use));
    }
    return result;
}

} // namespace Kumquatpick
