#include "fleet/ordercounts.h"

namespace Kumquatpick {

void OrderCounts::beginOrder(const HostOrder& order, const HostTable& hosts)
{
    auto orderCount = currentCount(hosts, order.hostId);
    auto member = isMember(order, hosts);
    Count& count = m_counts[order.hostId];
    count.beforeOrder = orderCount;
    count.wasMember = member;
}

// Whether the host is a member of the order's replica; nullopt if unknown.
std::optional<bool> OrderCounts::isMember(const HostOrder& order, const HostTable& hosts) const
{
    const Host* host = hosts.find(order.hostId);
    if (host && host->status.ordersAccepted && hasReportSinceLastOrder(hosts, order.hostId))
        return host->status.membership && host->status.membership->isOf(order.replica, order.epoch);
    auto found = m_counts.find(order.hostId);
    if (found != m_counts.end() && found->second.joinedEpoch)
        return *found->second.joinedEpoch == order.epoch;
    return std::nullopt;
}

void OrderCounts::endOrder(const HostOrder& order, OrderResult result, MonotonicTime now)
{
    Count& count = m_counts[order.hostId];
    count.endedAt = now;
    // A host counts the orders that it starts. A leave completes at once, so its answer is the same as for a leave that
    // had nothing to do.
    std::optional<bool> hasStarted;
    if (result == OrderResult::Accepted)
        hasStarted = true;
    else if (result == OrderResult::Holds)
        hasStarted = order.kind == OrderKind::Leave ? count.wasMember : std::optional(false);
    count.afterOrder.reset();
    if (hasStarted && count.beforeOrder)
        count.afterOrder = *count.beforeOrder + (*hasStarted ? 1 : 0);
    count.joinedEpoch.reset();
    if (order.kind == OrderKind::Join && result == OrderResult::Accepted)
        count.joinedEpoch = order.epoch;
}

void OrderCounts::removeUnlisted(const HostTable& hosts)
{
    std::erase_if(m_counts, [&](const auto& entry) { return !hosts.find(entry.first); });
}

// The count is only useful together with the host's status at that count. The list provides a status without a count,
// and it may be seconds old.
std::optional<uint64_t> OrderCounts::currentCount(const HostTable& hosts, std::string_view hostId) const
{
    const Host* host = hosts.find(hostId);
    if (!host)
        return std::nullopt;
    auto found = m_counts.find(hostId);
    // Most likely the host has accepted no order yet. If it has, it refuses the next one and is polled then. Polling
    // every host of an empty fleet first took 760 calls at once, and the first plan waited for the last answer.
    bool isNew = found == m_counts.end() && !hosts.reportedAt(hostId) && host->status.isBlank();
    if (isNew)
        return 0;
    if (!host->status.ordersAccepted)
        return std::nullopt;
    if (hasReportSinceLastOrder(hosts, hostId))
        return hosts.ordersAccepted(hostId);
    return found == m_counts.end() ? std::nullopt : found->second.afterOrder;
}

bool OrderCounts::hasReportSinceLastOrder(const HostTable& hosts, std::string_view hostId) const
{
    auto reportedAt = hosts.reportedAt(hostId);
    auto found = m_counts.find(hostId);
    return reportedAt && (found == m_counts.end() || *reportedAt > found->second.endedAt);
}

} // namespace Kumquatpick
