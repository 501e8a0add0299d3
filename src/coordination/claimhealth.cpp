#include "coordination/claimhealth.h"

#include <algorithm>

namespace Kumquatpick {

ClaimHealth::ClaimHealth(const ControllerInput& input, const ControllerSettings& settings)
    : m_input(input)
    , m_settings(settings)
{
}

const HostView* ClaimHealth::view(const ClaimProposal& claim, size_t rank) const
{
    auto& views = m_views[&claim];
    if (views.empty()) {
        for (const std::string& host : claim.hosts) {
            auto found = m_input.hosts.find(host);
            views.push_back(found == m_input.hosts.end() ? nullptr : &found->second);
        }
    }
    return views[rank];
}

// The incarnation that the engine reports takes precedence over the platform's list, which lags behind.
HostHealth ClaimHealth::host(const ClaimProposal& claim, size_t rank) const
{
    const HostView* view = this->view(claim, rank);
    if (!view)
        return m_input.now - m_input.watchingSince >= m_settings.goneGrace ? HostHealth::Gone : HostHealth::Silent;
    if (!view->answersNow(m_input.now, m_settings.statusLifetime))
        return silentHealth(*view, claim.incarnations[rank]);
    if (view->incarnation != claim.incarnations[rank])
        return HostHealth::Gone;
    return view->isLeaving() ? HostHealth::Leaving : HostHealth::Present;
}

// This node has no data from before watchingSince, so the silence of a host that it has not probed yet is counted from
// then.
HostHealth ClaimHealth::silentHealth(const HostView& view, uint64_t incarnation) const
{
    MonotonicTime otherwiseListedSince = std::max(view.listedSince, m_input.watchingSince);
    MonotonicTime silentSince = std::max(view.silentSince(), m_input.watchingSince);
    bool thisLifeListed = view.listed && view.listedIncarnation == incarnation;
    if (!thisLifeListed && m_input.now - otherwiseListedSince >= m_settings.goneGrace)
        return HostHealth::Gone;
    return m_input.now - silentSince >= m_settings.silentGrace ? HostHealth::Lost : HostHealth::Silent;
}

bool ClaimHealth::whole(const Claim& claim) const
{
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
        if (host(claim.proposal, rank) != HostHealth::Present)
            return false;
    }
    return true;
}

bool ClaimHealth::ready(const Claim& claim) const
{
    if (!whole(claim))
        return false;
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
        const HostView* view = this->view(claim.proposal, rank);
        if (view->claim != claim.offset || view->phase != EnginePhase::Ready)
            return false;
    }
    return true;
}

std::string_view ClaimHealth::broken(const Claim& claim) const
{
    HostHealth worst = HostHealth::Present;
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank)
        worst = std::max(worst, host(claim.proposal, rank));
    switch (worst) {
    case HostHealth::Gone:
        return "host_dead";
    case HostHealth::Lost:
        return "host_missing";
    case HostHealth::Leaving:
        return "host_leaving";
    default:
        return {};
    }
}

// If one host is dead, the replica has failed and its requests are lost already. A host that is unreachable from this
// node may still process requests, so it is given the longest time that a request may take. Otherwise every host must
// report that it runs no requests, in a status requested after all nodes have stopped sending work to the claim.
bool ClaimHealth::drained(const Claim& claim) const
{
    auto ended = m_input.endedAt.find(claim.offset);
    if (ended == m_input.endedAt.end())
        return false;
    bool idle = true;
    for (size_t rank = 0; rank < claim.proposal.hosts.size(); ++rank) {
        HostHealth health = host(claim.proposal, rank);
        if (health == HostHealth::Gone)
            return true;
        if (health == HostHealth::Lost && m_input.now - ended->second >= m_settings.longestRequest)
            return true;
        const HostView* view = this->view(claim.proposal, rank);
        bool answers = health == HostHealth::Present || health == HostHealth::Leaving;
        bool runsNothing = answers && (view->claim != claim.offset || view->requests == 0);
        idle = idle && runsNothing && view->statusAt >= ended->second + m_settings.drainQuiet;
    }
    return idle;
}

// An engine that checks fencing numbers rejects outdated orders itself. The status of an engine that ignores them is
// final only if it was requested after the former holder's lease ended and after the last order of this node must have
// arrived.
bool ClaimHealth::settled(const HostView& view, Offset claim, FencingSupport fencing, const LeaseTenure& tenure) const
{
    if (fencing == FencingSupport::Checked)
        return true;
    if (view.statusAt < tenure.since)
        return false;
    bool ownOrderMayArrive = view.lastOrder && view.lastOrder->claim != claim
        && view.statusAt < view.lastOrder->sentAt + m_settings.orderFlight;
    return !ownOrderMayArrive;
}

} // namespace Kumquatpick
