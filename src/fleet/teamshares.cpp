#include "fleet/teamshares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace Kumquatpick {

namespace {

    // Long enough for a node that takes few calls a second to tell large teams from small ones.
    constexpr Milliseconds halving { 2000 };
    // The share visits all teams.
    constexpr Milliseconds recomputeAfter { 50 };
    // Below this share of refused calls, nothing is short.
    constexpr double minRefusedShare = 0.05;
    // Small numbers differ by chance.
    constexpr double slack = 1;
    constexpr double forgottenBelow = 0.01;

}

TeamShares::Use& TeamShares::current(std::string_view team, MonotonicTime now)
{
    auto found = m_uses.find(team);
    if (found == m_uses.end())
        found = m_uses.emplace(std::string(team), Use { 0, 0, now }).first;
    Use& use = found->second;
    double ageMs = std::chrono::duration<double, std::milli>(now - use.updatedAt).count();
    double kept = std::exp2(-std::max(0.0, ageMs) / static_cast<double>(halving.count()));
    use = { use.asked * kept, use.admitted * kept, now };
    return use;
}

void TeamShares::recordAsked(std::string_view team, MonotonicTime now) { ++current(team, now).asked; }

void TeamShares::recordAdmitted(std::string_view team, MonotonicTime now) { ++current(team, now).admitted; }

// The level up to which all that was admitted would have to be divided for all teams alike.
void TeamShares::refreshShare(MonotonicTime now)
{
    if (now - m_shareComputedAt < recomputeAfter)
        return;
    m_shareComputedAt = now;
    std::erase_if(m_uses, [&](const auto& entry) { return current(entry.first, now).asked < forgottenBelow; });
    std::vector<double> asked;
    double admitted = 0;
    double total = 0;
    for (const auto& [team, use] : m_uses) {
        asked.push_back(use.asked);
        total += use.asked;
        admitted += use.admitted;
    }
    m_equalShare = std::numeric_limits<double>::infinity();
    if (asked.empty() || admitted >= total * (1 - minRefusedShare))
        return;
    std::ranges::sort(asked);
    double left = admitted;
    for (size_t i = 0; i < asked.size(); ++i) {
        m_equalShare = left / static_cast<double>(asked.size() - i);
        if (asked[i] > m_equalShare)
            return;
        left -= asked[i];
    }
}

double TeamShares::equalShare(MonotonicTime now)
{
    refreshShare(now);
    return m_equalShare;
}

bool TeamShares::isOverShare(std::string_view team, MonotonicTime now)
{
    return current(team, now).admitted > equalShare(now) + slack;
}

} // namespace Kumquatpick
