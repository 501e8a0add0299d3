#include "coordination/snapshot.h"

#include "coordination/state.h"

namespace Kumquatpick {

namespace {

    constexpr double holderRetentionShare = 0.25; // Share of the retention period.
    constexpr double otherRetentionShare = 0.5;
    constexpr double otherRetentionSpread = 0.25;

}

std::vector<SnapshotProposal> snapshotParts(const State& state, const std::string& series, size_t partBytes)
{
    std::string whole = state.snapshot();
    auto parts = static_cast<uint32_t>((whole.size() + partBytes - 1) / partBytes);
    std::vector<SnapshotProposal> proposals;
    for (uint32_t part = 0; part < parts; ++part)
        proposals.push_back({ state.offset(), series, part, parts, whole.substr(part * partBytes, partBytes) });
    return proposals;
}

// Parts arrive in order. A part out of order is a repetition, or the first parts of its series have expired.
std::optional<SnapshotProposal> SnapshotAssembler::add(const SnapshotProposal& proposal)
{
    if (proposal.part == 0 && !m_partsBySeries.contains(proposal.series))
        m_partsBySeries[proposal.series] = {};
    auto found = m_partsBySeries.find(proposal.series);
    if (found == m_partsBySeries.end() || found->second.size() != proposal.part)
        return std::nullopt;
    found->second.push_back(proposal);
    if (found->second.size() != proposal.parts)
        return std::nullopt;
    SnapshotProposal whole { proposal.covers, proposal.series, 0, 1, {} };
    for (const SnapshotProposal& part : found->second)
        whole.state += part.state;
    m_partsBySeries.erase(found);
    return whole;
}

bool isSnapshotDue(const SnapshotConditions& conditions)
{
    if (conditions.uncoveredExpired)
        return true;
    double share
        = conditions.holdsLease ? holderRetentionShare : otherRetentionShare + otherRetentionSpread * conditions.spread;
    return static_cast<double>(conditions.oldestUncoveredAge.count())
        >= share * static_cast<double>(conditions.retention.count());
}

} // namespace Kumquatpick
