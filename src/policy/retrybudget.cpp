#include "policy/retrybudget.h"

#include <algorithm>
#include <string>

namespace Kumquatpick {

namespace {

    // In retries. A full outage thus adds at most a twentieth to the load, not a multiple of it.
    constexpr double earnedPerFirstTry = 0.05;
    // Without it, a service with little traffic could never retry.
    constexpr double earnedPerSecond = 0.1;
    constexpr double mostSaved = 5;
    constexpr double savedAtStart = 3;

    constexpr double strainGain = 0.2;
    constexpr double strainFade
        = 0.01; // Per first attempt, because an attempt that needs no retry is not recorded otherwise.
    constexpr double leastEarned = 0.02; // Share of the normal rate that is always earned.

    // If the budget stays empty, the whole service is failing, and more retries would only add to its load.
    double earned(double amount, double strain) { return amount * std::max(leastEarned, 1 - strain); }

} // namespace

bool mayRetry(ErrorCode code, bool repeatable, bool sent)
{
    if (sent && !repeatable)
        return false;
    switch (code) {
    case ErrorCode::Unreachable:
    case ErrorCode::Timeout:
    case ErrorCode::BrokenOff:
    case ErrorCode::Refused:
    case ErrorCode::Stale:
    case ErrorCode::Malformed:
    case ErrorCode::Overloaded:
        return true;
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
    case ErrorCode::ShuttingDown:
    case ErrorCode::CallerGone:
    case ErrorCode::Internal:
        return false;
    }
    return false;
}

RetryBudget::Tokens& RetryBudget::refilledTokens(std::string_view service, MonotonicTime now)
{
    auto [entry, fresh] = m_services.try_emplace(std::string(service), Tokens { savedAtStart, 0, now });
    Tokens& tokens = entry->second;
    if (fresh || now <= tokens.updated)
        return tokens;
    double amount = earned(earnedPerSecond, tokens.strain) * toSeconds(now - tokens.updated);
    tokens.available = std::min(mostSaved, tokens.available + amount);
    tokens.updated = now;
    return tokens;
}

void RetryBudget::firstTry(std::string_view service, MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    Tokens& tokens = refilledTokens(service, now);
    tokens.strain -= strainFade * tokens.strain;
    tokens.available = std::min(mostSaved, tokens.available + earned(earnedPerFirstTry, tokens.strain));
}

bool RetryBudget::takeRetry(std::string_view service, MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    Tokens& tokens = refilledTokens(service, now);
    bool empty = tokens.available < 1;
    tokens.strain += strainGain * ((empty ? 1 : 0) - tokens.strain);
    if (empty)
        return false;
    tokens.available -= 1;
    return true;
}

} // namespace Kumquatpick
