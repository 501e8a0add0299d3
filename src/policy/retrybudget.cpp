#include "policy/retrybudget.h"

#include <algorithm>
#include <string>

namespace Kumquatpick {

namespace {

    // In retries. A full outage thus adds at most a twentieth to the load, not a multiple of it.
    constexpr double earnedPerFirstAttempt = 0.05;
    // Without it, a service with little traffic could never retry.
    constexpr double earnedPerSecond = 0.1;
    constexpr double maxTokens = 5;
    constexpr double initialTokens = 3;

    constexpr double exhaustionSmoothing = 0.2;
    constexpr double exhaustionDecay
        = 0.01; // Per first attempt, because an attempt that needs no retry is not recorded otherwise.
    constexpr double minEarnedShare = 0.02; // Share of the normal rate that is always earned.

    // If the budget stays empty, the whole service is failing, and more retries would only add to its load.
    double earned(double amount, double exhaustion) { return amount * std::max(minEarnedShare, 1 - exhaustion); }

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
    auto [entry, inserted] = m_services.try_emplace(std::string(service), Tokens { initialTokens, 0, now });
    Tokens& tokens = entry->second;
    if (inserted || now <= tokens.updated)
        return tokens;
    double amount = earned(earnedPerSecond, tokens.exhaustion) * toSeconds(now - tokens.updated);
    tokens.available = std::min(maxTokens, tokens.available + amount);
    tokens.updated = now;
    return tokens;
}

void RetryBudget::recordFirstAttempt(std::string_view service, MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    Tokens& tokens = refilledTokens(service, now);
    tokens.exhaustion -= exhaustionDecay * tokens.exhaustion;
    tokens.available = std::min(maxTokens, tokens.available + earned(earnedPerFirstAttempt, tokens.exhaustion));
}

bool RetryBudget::takeRetry(std::string_view service, MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    Tokens& tokens = refilledTokens(service, now);
    bool empty = tokens.available < 1;
    tokens.exhaustion += exhaustionSmoothing * ((empty ? 1 : 0) - tokens.exhaustion);
    if (empty)
        return false;
    tokens.available -= 1;
    return true;
}

} // namespace Kumquatpick
