#include "coordination/lease.h"

#include <utility>

namespace Kumquatpick {

namespace {

    // Renewing after a third of the duration leaves time for two more attempts.
    constexpr int renewalsPerDuration = 3;

    // Limit for the proposals that were sent and never read; a larger number means that the log is down.
    constexpr size_t maxPendingProposals = 64;

}

LeaseTracker::LeaseTracker(std::string lease, NodeId self, Milliseconds duration, Milliseconds margin)
    : m_lease(std::move(lease))
    , m_self(std::move(self))
    , m_duration(duration)
    , m_margin(margin)
{
}

LeaseProposal LeaseTracker::proposal() const
{
    return { m_lease, m_current ? m_current->offset : 0, m_self, m_duration };
}

void LeaseTracker::recordSend(const std::string& id, MonotonicTime now)
{
    if (m_pendingProposals.size() >= maxPendingProposals)
        m_pendingProposals.clear();
    m_pendingProposals.emplace(id, now);
}

void LeaseTracker::folded(const LoggedRecord& logged, Verdict verdict, MonotonicTime readAt)
{
    auto* proposal = std::get_if<LeaseProposal>(&logged.record.body);
    if (!proposal || proposal->lease != m_lease)
        return;
    auto sent = m_pendingProposals.extract(logged.record.id);
    if (verdict != Verdict::Accepted)
        return;
    auto sentAt = sent ? std::optional(sent.mapped()) : std::nullopt;
    accept({ logged.offset, proposal->holder, proposal->duration }, sentAt, readAt);
}

void LeaseTracker::restored(const State& state, MonotonicTime readAt)
{
    const HeldLease* lease = state.lease(m_lease);
    if (!lease)
        m_current.reset();
    else if (!m_current || m_current->offset != lease->offset)
        accept(*lease, std::nullopt, readAt);
}

// The record of a renewal directly follows this node's own lease, so no other node can have held the lease in between,
// even if it expired before the renewal. An own lease whose send time is unknown to this tracker can't be used.
void LeaseTracker::accept(const HeldLease& lease, std::optional<MonotonicTime> sentAt, MonotonicTime readAt)
{
    bool own = lease.holder == m_self && sentAt.has_value();
    bool renewal = own && m_sentAt.has_value();
    m_current = lease;
    m_readAt = readAt;
    m_sentAt = own ? sentAt : std::nullopt;
    if (own && !renewal)
        m_tenureSince = readAt;
}

std::optional<LeaseTenure> LeaseTracker::currentTenure(MonotonicTime now) const
{
    if (!m_current || !m_sentAt)
        return std::nullopt;
    LeaseTenure tenure { m_tenureSince, *m_sentAt + m_current->duration - m_margin };
    return now < tenure.until ? std::optional(tenure) : std::nullopt;
}

bool LeaseTracker::isProposalDue(MonotonicTime now) const
{
    if (!m_current)
        return true;
    if (m_sentAt)
        return now >= *m_sentAt + m_current->duration / renewalsPerDuration;
    return now >= m_readAt + m_current->duration + m_margin;
}

} // namespace Kumquatpick
