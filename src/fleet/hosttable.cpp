#include "fleet/hosttable.h"

#include <algorithm>
#include <tuple>

namespace Kumquatpick {

namespace {

    // The list lags by up to 0.8 s and is read every 0.4 s.
    constexpr Milliseconds listLag { 1300 };
    constexpr Milliseconds reportLifetime { 2500 };
    // A member that loses its connection to the store is removed from the list after three missed heartbeats but goes
    // on serving in its replica. The replica's controller polls it meanwhile. This is the usual length of a partition.
    constexpr std::chrono::seconds unlistedRetention { 15 };
    // An entry expires after three heartbeats. One that was written later than this before its removal was withdrawn.
    constexpr int heartbeatsWithdrawn = 2;
    constexpr int heartbeatsExpired = 3;

    uint64_t epochOf(const HostStatus& status) { return status.membership ? status.membership->epoch : 0; }

}

bool HostTable::applyListEntry(Host host, MonotonicTime at)
{
    m_listReadAt = std::max(m_listReadAt, at);
    if (isEarlierIncarnation(host) && !hasOutlasted(m_newestIncarnation.find(hostName(host.id))->second, at))
        return true;
    bool wasContradicted = m_contradictions.erase(host.id) > 0;
    std::string& newest = m_newestIncarnation[std::string(hostName(host.id))];
    bool isOutlasting = !newest.empty() && startTimeOf(host.id) < startTimeOf(newest);
    if (!newest.empty() && newest != host.id)
        erase(newest, true);
    m_recentlyUnlisted.erase(newest);
    newest = host.id;
    if (m_firstSeen.try_emplace(host.id, m_appearances).second)
        ++m_appearances;
    bool isKnown = m_hosts.contains(host.id);
    uint64_t appearance = m_firstSeen.at(host.id);
    if (!isKnown && !dropEarlierIncarnation(host, at))
        return true;
    isOutlasting = isOutlasting || m_firstSeen.at(host.id) != appearance;
    StatusSources& sources = m_sources[host.id];
    // Nodes that read the list from this one count on their own.
    if (isOutlasting)
        sources.newsUntil = at + 2 * heartbeatsExpired * m_heartbeat;
    sources.listedAt = std::max(sources.listedAt, at);
    bool isChanged = !isKnown || !(sources.listed == host);
    if (isChanged)
        sources.listed = host;
    // Epochs only grow within an incarnation, so an entry with a lower epoch is older than the report whatever its
    // time.
    bool isReportNewer = sources.reported
        && (at < sources.reportedAt + listLag
            || (host.status.membership && epochOf(host.status) < epochOf(*sources.reported)));
    if (isReportNewer)
        host.status = *sources.reported;
    else
        sources.reported.reset();
    keepLastModel(sources, host.status);
    host.draining = host.draining || m_drainingHosts.contains(host.id);
    Host& effective = m_hosts[host.id];
    if (!(effective == host)) {
        effective = std::move(host);
        ++m_version;
    }
    return isChanged || wasContradicted || at < sources.newsUntil;
}

// A host reports its model only while it is a member of a replica.
void HostTable::keepLastModel(StatusSources& sources, HostStatus& status)
{
    if (status.membership && !status.model.empty())
        sources.lastModel = status.model;
    status.lastModel = sources.lastModel;
}

// A late entry of an incarnation that has ended. An entry without a start time counts as one if an incarnation of the
// same name with a start time is known.
bool HostTable::isEarlierIncarnation(const Host& host) const
{
    auto newest = m_newestIncarnation.find(hostName(host.id));
    return newest != m_newestIncarnation.end() && startTimeOf(host.id) < startTimeOf(newest->second);
}

// A restarted host has the address of its earlier incarnation, whose entry is removed only some seconds later; a late
// heartbeat may even restore it. Returns false if the given host is the earlier incarnation.
bool HostTable::dropEarlierIncarnation(const Host& host, MonotonicTime at)
{
    auto other = std::ranges::find_if(m_hosts, [&](const auto& entry) { return entry.second.address == host.address; });
    if (other == m_hosts.end())
        return true;
    if (m_firstSeen.at(other->first) > m_firstSeen.at(host.id)) {
        if (!hasOutlasted(other->first, at))
            return false;
        m_firstSeen.insert_or_assign(host.id, m_appearances++);
    }
    erase(std::string(other->first), true);
    return true;
}

// Called for each entry that a later incarnation keeps out. A late heartbeat is one entry, and the later incarnation
// writes its own after it. If that one stays silent for as long as entries live while the other goes on, then what
// looked later is the entry of another writer, with a start time in the future or with another host's address.
bool HostTable::hasOutlasted(const std::string& laterIncarnation, MonotonicTime at)
{
    auto found = m_contradictions.try_emplace(laterIncarnation, Contradiction { at }).first;
    Contradiction& contradiction = found->second;
    ++contradiction.entries;
    bool hasExpired = at - contradiction.since >= heartbeatsExpired * m_heartbeat;
    if (!hasExpired || contradiction.entries <= heartbeatsExpired)
        return false;
    m_contradictions.erase(found);
    return true;
}

void HostTable::removeListEntry(std::string_view id)
{
    auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return;
    const auto& membership = found->second.status.membership;
    if (membership && !found->second.draining) {
        MonotonicTime::duration silence = m_listReadAt - m_sources.find(id)->second.listedAt;
        m_recentlyUnlisted.insert_or_assign(
            found->first, UnlistedHost { found->second, m_listReadAt, silence < m_heartbeat * heartbeatsWithdrawn });
    }
    erase(id, false);
}

bool HostTable::markDraining(std::string_view id)
{
    if (!m_drainingHosts.emplace(id).second)
        return false;
    auto found = m_hosts.find(id);
    if (found != m_hosts.end() && !found->second.draining) {
        found->second.draining = true;
        ++m_version;
    }
    return true;
}

void HostTable::erase(std::string_view id, bool isReplaced)
{
    auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return;
    m_gone.push_back(
        { found->first, found->second.service, found->second.address, found->second.draining, isReplaced });
    ++m_version;
    m_hosts.erase(found);
    m_sources.erase(m_sources.find(id));
}

void HostTable::applyReport(std::string_view id, HostStatus status, MonotonicTime at)
{
    auto found = m_hosts.find(id);
    if (found == m_hosts.end())
        return applyReportOfUnlisted(id, status);
    StatusSources& sources = m_sources.find(id)->second;
    uint64_t orders = status.ordersAccepted.value_or(0);
    if ((sources.reported && at <= sources.reportedAt)
        || (sources.maxOrdersAccepted && orders < *sources.maxOrdersAccepted))
        return;
    sources.maxOrdersAccepted = orders;
    if (status.domain.empty())
        status.domain = found->second.status.domain;
    keepLastModel(sources, status);
    sources.reported = status;
    sources.reportedAt = at;
    if (found->second.status == status)
        return;
    ++m_version;
    found->second.status = std::move(status);
}

// An unlisted member counts only for its replica until it is listed again, and no longer once it reports that it left.
void HostTable::applyReportOfUnlisted(std::string_view id, const HostStatus& status)
{
    auto unlisted = m_recentlyUnlisted.find(id);
    if (unlisted == m_recentlyUnlisted.end())
        return;
    const Membership& membership = *unlisted->second.host.status.membership;
    bool isHead = membership.rank == 0;
    // A head that has ended its replica serves no stream, and its entry shows so when it returns.
    bool isStillServing = status.membership && status.membership->isOf(membership.replica, membership.epoch)
        && (!isHead || status.membership->state == membership.state);
    if (isStillServing)
        return;
    m_recentlyUnlisted.erase(unlisted);
    ++m_version;
}

void HostTable::expireReports(MonotonicTime now)
{
    size_t expired = std::erase_if(
        m_recentlyUnlisted, [&](const auto& entry) { return now - entry.second.at > unlistedRetention; });
    m_version += expired > 0 ? 1 : 0;
    for (auto& [id, sources] : m_sources) {
        bool isDue = sources.reported && now - sources.reportedAt > reportLifetime && m_listReadAt > sources.reportedAt
            && (!sources.listed.status.membership || epochOf(sources.listed.status) >= epochOf(*sources.reported));
        if (!isDue)
            continue;
        ++m_version;
        sources.reported.reset();
        keepLastModel(sources, sources.listed.status);
        m_hosts.find(id)->second.status = sources.listed.status;
    }
}

std::optional<MonotonicTime> HostTable::reportedAt(std::string_view id) const
{
    auto found = m_sources.find(id);
    bool hasReported = found != m_sources.end() && found->second.maxOrdersAccepted;
    return hasReported ? std::optional(found->second.reportedAt) : std::nullopt;
}

bool HostTable::differsFromList(std::string_view id) const
{
    auto found = m_sources.find(id);
    if (found == m_sources.end() || !found->second.reported)
        return false;
    HostStatus asListed = *found->second.reported; // List entries have no order count and no last model.
    asListed.ordersAccepted.reset();
    asListed.lastModel = found->second.listed.status.lastModel;
    return !(asListed == found->second.listed.status);
}

std::optional<uint64_t> HostTable::ordersAccepted(std::string_view id) const
{
    auto found = m_sources.find(id);
    return found == m_sources.end() ? std::nullopt : found->second.maxOrdersAccepted;
}

const Host* HostTable::findByName(std::string_view name) const
{
    auto newest = m_newestIncarnation.find(name);
    return newest == m_newestIncarnation.end() ? nullptr : find(newest->second);
}

const Host* HostTable::find(std::string_view id) const
{
    auto found = m_hosts.find(id);
    return found == m_hosts.end() ? nullptr : &found->second;
}

std::vector<ReplicaView> HostTable::replicas() const
{
    using Key = std::tuple<std::string_view, uint64_t, std::string_view>; // Name, epoch and service.
    std::map<Key, ReplicaView> views;
    for (const auto& [id, host] : m_hosts) {
        if (!host.status.membership)
            continue;
        const Membership& membership = *host.status.membership;
        ReplicaView& view = views[{ membership.replica, membership.epoch, host.service }];
        view.name = membership.replica;
        view.epoch = membership.epoch;
        view.service = host.service;
        if (!host.status.model.empty())
            view.model = host.status.model;
        view.members.push_back(&host);
        if (membership.rank == 0)
            view.head = &host;
    }
    for (const auto& [id, unlisted] : m_recentlyUnlisted) {
        const Membership& membership = *unlisted.host.status.membership;
        auto view = views.find({ membership.replica, membership.epoch, unlisted.host.service });
        if (view == views.end())
            continue;
        if (membership.rank > 0) {
            view->second.recentlyUnlisted.push_back(&unlisted.host);
        } else if (!view->second.head) {
            view->second.unlistedHead = &unlisted.host;
            view->second.isHeadWithdrawn = unlisted.isWithdrawn;
        }
    }
    std::vector<ReplicaView> result;
    result.reserve(views.size());
    for (auto& [key, view] : views)
        result.push_back(std::move(view));
    return result;
}

} // namespace Kumquatpick
