#include "coordination/endedclaims.h"

namespace Kumquatpick {

void EndedClaims::folded(const LoggedRecord& logged, Verdict verdict, MonotonicTime readAt)
{
    auto* end = std::get_if<ClaimEndProposal>(&logged.record.body);
    if (end && verdict == Verdict::Accepted)
        m_times.emplace(end->claim, readAt);
}

void EndedClaims::restored(const State& state, MonotonicTime readAt)
{
    prune(state.claims());
    for (const auto& [offset, claim] : state.claims()) {
        if (claim.phase == ClaimPhase::Ending)
            m_times.emplace(offset, readAt);
    }
}

void EndedClaims::prune(const std::map<Offset, Claim>& claims)
{
    std::erase_if(m_times, [&](const auto& entry) { return !claims.contains(entry.first); });
}

} // namespace Kumquatpick
