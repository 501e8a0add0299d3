#include "fleet/hosttable.h"

namespace Kumquatpick {

// Between two orders a membership only moves forward through its states, but for a finished close, which goes back
// to ready.
bool isNewer(const HostStatus& candidate, const HostStatus& known)
{
    if (candidate.ordersAccepted != known.ordersAccepted)
        return candidate.ordersAccepted > known.ordersAccepted;
    if (!candidate.membership || !known.membership)
        return true;
    if (candidate.membership->epoch != known.membership->epoch)
        return candidate.membership->epoch > known.membership->epoch;
    if (known.membership->state == MemberState::Closing)
        return true;
    return candidate.membership->state >= known.membership->state;
}

void HostTable::listed(Host host)
{
    ++m_version;
    auto [place, fresh] = m_hosts.try_emplace(host.id, host);
    if (fresh)
        return;
    HostStatus newest = isNewer(host.status, place->second.status) ? host.status : std::move(place->second.status);
    place->second = std::move(host);
    place->second.status = std::move(newest);
}

void HostTable::unlisted(std::string_view id)
{
    auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return;
    ++m_version;
    m_hosts.erase(found);
}

void HostTable::reported(std::string_view id, HostStatus status)
{
    auto found = m_hosts.find(id);
    if (found == m_hosts.end() || !isNewer(status, found->second.status))
        return;
    ++m_version;
    if (status.domain.empty())
        status.domain = found->second.status.domain;
    found->second.status = std::move(status);
}

const Host* HostTable::find(std::string_view id) const
{
    auto found = m_hosts.find(id);
    return found == m_hosts.end() ? nullptr : &found->second;
}

std::vector<ReplicaView> HostTable::replicas() const
{
    std::map<std::pair<std::string_view, uint64_t>, ReplicaView> views;
    for (const auto& [id, host] : m_hosts) {
        if (!host.status.membership)
            continue;
        const Membership& membership = *host.status.membership;
        ReplicaView& view = views[{ membership.replica, membership.epoch }];
        view.name = membership.replica;
        view.epoch = membership.epoch;
        view.service = host.service;
        if (!host.status.model.empty())
            view.model = host.status.model;
        view.members.push_back(&host);
        if (membership.rank == 0)
            view.head = &host;
    }
    std::vector<ReplicaView> result;
    result.reserve(views.size());
    for (auto& [key, view] : views)
        result.push_back(std::move(view));
    return result;
}

} // namespace Kumquatpick
