#include "coordination/claimhealth.h"

#include <algorithm>

namespace Kumquatpick {

ClaimHealth::ClaimHealth(const ControllerInput& input, const ControllerSettings& settings)
    : m_input(input)
    , m_settings(settings)
{
}

const HostView* ClaimHealth::hostView(const ClaimProposal& claim, size_t rank) const
{
    auto& views = m_viewsByClaim[&claim];
    if (views.empty()) {
        for (const std::string& host : claim.hosts) {
            auto found = m_input.hosts.find(host);
            views.push_back(found == m_input.hosts.end() ? nullptr : &found->second);
        }
    }
    return views[rank];
}

// The incarnation that the engine reports takes precedence over the platform's list, which lags behind.
HostCondition ClaimHealth::hostCondition(const ClaimProposal& claim, size_t rank) const
{
    const HostView* view = this->hostView(claim, rank);
    if (!view)
        return m_input.now - m_input.hostDataSince >= m_settings.unlistedTimeout ? HostCondition::Dead
                                                                                 : HostCondition::Unresponsive;
    if (!view->hasRecentStatus(m_input.now, m_settings.statusLifetime))
        return conditionWithoutStatus(*view, claim.incarnations[rank]);
    if (view->incarnation != claim.incarnations[rank])
        return HostCondition::Dead;
    return view->isLeaving() ? HostCondition::Leaving : HostCondition::Healthy;
}

// This node has no data from before hostDataSince, so the silence of a host that it has not probed yet is counted from
// then.
HostCondition ClaimHealth::conditionWithoutStatus(const HostView& view, uint64_t incarnation) const
{
    MonotonicTime listingChangedAt = std::max(view.listedSince, m_input.hostDataSince);
    MonotonicTime unresponsiveSince = std::max(view.unresponsiveSince(), m_input.hostDataSince);
    bool incarnationMayBeListed = view.listed && (view.listedIncarnation == 0 || view.listedIncarnation == incarnation);
    if (!incarnationMayBeListed && m_input.now - listingChangedAt >= m_settings.unlistedTimeout)
        return HostCondition::Dead;
    return m_input.now - unresponsiveSince >= m_settings.unresponsiveTimeout ? HostCondition::Unreachable
                                                                             : HostCondition::Unresponsive;
}

bool ClaimHealth::allHostsHealthy(const Claim& claim) const
{
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
        if (hostCondition(claim.proposal, rank) != HostCondition::Healthy)
            return false;
    }
    return true;
}

bool ClaimHealth::isReady(const Claim& claim) const
{
    if (!allHostsHealthy(claim))
        return false;
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
        const HostView* view = this->hostView(claim.proposal, rank);
        if (view->claim != claim.offset || view->phase != EnginePhase::Ready)
            return false;
    }
    return true;
}

std::string_view ClaimHealth::failureReason(const Claim& claim) const
{
    HostCondition worst = HostCondition::Healthy;
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank)
        worst = std::max(worst, hostCondition(claim.proposal, rank));
    switch (worst) {
    case HostCondition::Dead:
        return "host_dead";
    case HostCondition::Unreachable:
        return "host_missing";
    case HostCondition::Leaving:
        return "host_leaving";
    default:
        return {};
    }
}

// If one host is dead, the replica has failed and its requests are lost already. A host that is unreachable from this
// node may still process requests, so it is given the longest time that a request may take. Otherwise every host must
// report that it runs no requests, in a status requested after all nodes have stopped sending work to the claim.
bool ClaimHealth::isDrained(const Claim& claim) const
{
    auto ended = m_input.endedAt.find(claim.offset);
    if (ended == m_input.endedAt.end())
        return false;
    bool idle = true;
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
        HostCondition condition = hostCondition(claim.proposal, rank);
        if (condition == HostCondition::Dead)
            return true;
        if (condition == HostCondition::Unreachable && m_input.now - ended->second >= m_settings.maxRequestTime)
            return true;
        const HostView* view = this->hostView(claim.proposal, rank);
        bool answers = condition == HostCondition::Healthy || condition == HostCondition::Leaving;
        bool runsNothing = answers && (view->claim != claim.offset || view->requests == 0);
        idle = idle && runsNothing && view->statusAt >= ended->second + m_settings.routingDrainTime;
    }
    return idle;
}

// An engine that checks fencing numbers rejects outdated orders itself. The status of an engine that ignores them is
// final only if it was requested after the former holder's lease ended and after the last order of this node must have
// arrived.
bool ClaimHealth::isStatusFinal(
    const HostView& view, Offset claim, FencingSupport fencing, const LeaseTenure& tenure) const
{
    if (fencing == FencingSupport::Checked)
        return true;
    if (view.statusAt < tenure.since)
        return false;
    bool ownOrderMayArrive = view.lastOrder && view.lastOrder->claim != claim
        && view.statusAt < view.lastOrder->sentAt + m_settings.maxOrderDelay;
    return !ownOrderMayArrive;
}

} // namespace Kumquatpick
