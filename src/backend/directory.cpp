#include "backend/directory.h"

#include <algorithm>
#include <unordered_set>

namespace Kumquatpick {

struct ReplicaDirectory::MemberHost {
    std::string name;
    uint64_t incarnation = 0; // The life of it that was claimed; 0 if the claim does not tell.
};

// One replica and its hosts; what is known of the hosts is looked up when a view is made.
struct ReplicaDirectory::Member {
    std::string service;
    std::string replica;
    std::string zone;
    std::string domain;
    Offset claim = 0;
    bool isEnding = false;
    std::vector<MemberHost> hosts;

    static Member of(const Claim&);
};

ReplicaDirectory::Member ReplicaDirectory::Member::of(const Claim& claim)
{
    const ClaimProposal& proposal = claim.proposal;
    Member member { proposal.service, proposal.replica, proposal.zone, proposal.domain, claim.offset,
        claim.phase != ClaimPhase::Held, {} };
    for (size_t rank = 0; rank < proposal.hosts.size(); ++rank) {
        uint64_t incarnation = rank < proposal.incarnations.size() ? proposal.incarnations[rank] : 0;
        member.hosts.push_back({ proposal.hosts[rank], incarnation });
    }
    return member;
}

// Replicas by name, those of one service together.
struct ReplicaDirectory::Layout {
    using Members = std::map<std::string, std::shared_ptr<const Member>, std::less<>>;
    std::map<std::string, Members, std::less<>> services;
};

std::string_view name(NotServing reason)
{
    constexpr std::string_view names[]
        = { "serving", "claim_ending", "host_missing", "host_leaving", "wrong_order", "loading" };
    auto index = static_cast<size_t>(reason);
    return index < std::size(names) ? names[index] : "unknown";
}

ReplicaDirectory::ReplicaDirectory(Milliseconds probeLifetime)
    : m_probeLifetime(probeLifetime)
    , m_layout(std::make_shared<const Layout>())
{
}

ReplicaDirectory::~ReplicaDirectory() = default;

void ReplicaDirectory::setClaims(const std::map<Offset, Claim>& claims)
{
    std::lock_guard lock(m_sourcesMutex);
    std::map<Offset, std::shared_ptr<const Member>> claimed;
    for (const auto& [offset, claim] : claims) {
        auto known = m_claimed.find(offset);
        bool isKnown = known != m_claimed.end() && known->second->isEnding == (claim.phase != ClaimPhase::Held);
        claimed.emplace(offset, isKnown ? known->second : std::make_shared<const Member>(Member::of(claim)));
    }
    m_claimed = std::move(claimed);
    rebuildLayout();
}

// Hosts are changed before the layout: a host that left is missing at once, and one that came is missing
// until it has been probed.
void ReplicaDirectory::setListed(std::vector<ListedHost> listed)
{
    std::lock_guard lock(m_sourcesMutex);
    std::unordered_set<std::string> names;
    std::map<std::string, std::shared_ptr<const Member>> plain;
    for (ListedHost& host : listed) {
        names.insert(host.host);
        if (!host.service.empty())
            plain.emplace(host.host,
                std::make_shared<const Member>(
                    Member { host.service, host.host, host.zone, host.domain, 0, false, { { host.host, 0 } } }));
        m_hosts.with(host.host, [&](HostState& state) { state.listed = std::move(host); });
    }
    m_hosts.eraseIf([&](const std::string& host, const HostState&) { return !names.contains(host); });
    m_plain = std::move(plain);
    rebuildLayout();
}

// Results may arrive in another order than the probes began.
void ReplicaDirectory::probed(const EngineStatus& status)
{
    m_hosts.with(status.host, [&](HostState& state) {
        bool isOutdated = status.readAt <= state.missingSince || (state.status && state.status->readAt > status.readAt);
        if (!isOutdated)
            state.status = status;
    });
}

void ReplicaDirectory::unanswered(std::string_view host)
{
    m_hosts.ifPresent(std::string(host), [](HostState& state) {
        if (state.status)
            state.missingSince = std::max(state.missingSince, state.status->readAt);
        state.status.reset();
    });
}

void ReplicaDirectory::unanswered(std::string_view host, MonotonicTime at)
{
    m_hosts.ifPresent(std::string(host), [&](HostState& state) {
        state.missingSince = std::max(state.missingSince, at);
        if (state.status && state.status->readAt <= at)
            state.status.reset();
    });
}

std::vector<ReplicaView> ReplicaDirectory::replicas(MonotonicTime now) const
{
    auto current = layout();
    std::vector<ReplicaView> views;
    for (const auto& [service, members] : current->services)
        for (const auto& [replica, member] : members)
            views.push_back(view(*member, now));
    return views;
}

std::vector<ReplicaView> ReplicaDirectory::replicas(std::string_view service, MonotonicTime now) const
{
    auto current = layout();
    std::vector<ReplicaView> views;
    auto members = current->services.find(service);
    if (members == current->services.end())
        return views;
    views.reserve(members->second.size());
    for (const auto& [replica, member] : members->second)
        views.push_back(view(*member, now));
    return views;
}

std::optional<ReplicaView> ReplicaDirectory::replica(
    std::string_view service, std::string_view replica, MonotonicTime now) const
{
    auto current = layout();
    auto members = current->services.find(service);
    if (members == current->services.end())
        return std::nullopt;
    auto member = members->second.find(replica);
    if (member == members->second.end())
        return std::nullopt;
    return view(*member->second, now);
}

std::vector<ListedHost> ReplicaDirectory::listed() const
{
    std::vector<ListedHost> hosts;
    m_hosts.forEach([&](const std::string&, const HostState& state) {
        if (state.listed)
            hosts.push_back(*state.listed);
    });
    std::sort(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) { return a.host < b.host; });
    return hosts;
}

std::optional<EngineStatus> ReplicaDirectory::status(std::string_view host) const
{
    std::optional<EngineStatus> status;
    m_hosts.ifPresent(std::string(host), [&](const HostState& state) { status = state.status; });
    return status;
}

std::shared_ptr<const ReplicaDirectory::Layout> ReplicaDirectory::layout() const
{
    std::lock_guard lock(m_layoutMutex);
    return m_layout;
}

// While a replica moves, its ending claim and its new one may both be there: the one still held counts, and of
// two alike the later one.
void ReplicaDirectory::rebuildLayout()
{
    auto next = std::make_shared<Layout>();
    for (const auto& [host, member] : m_plain)
        next->services[member->service][member->replica] = member;
    for (const auto& [offset, member] : m_claimed) {
        auto& place = next->services[member->service][member->replica];
        if (!place || place->isEnding || !member->isEnding)
            place = member;
    }
    std::lock_guard lock(m_layoutMutex);
    m_layout = std::move(next);
}

NotServing ReplicaDirectory::hostReason(
    const HostState& host, const MemberHost& member, Offset claim, MonotonicTime now) const
{
    if (!host.listed || !host.status || now - host.status->readAt > m_probeLifetime)
        return NotServing::HostMissing;
    auto isOtherLife
        = [&](uint64_t incarnation) { return incarnation != 0 && incarnation != host.status->incarnation; };
    if (isOtherLife(host.listed->incarnation) || isOtherLife(member.incarnation))
        return NotServing::HostMissing;
    if (host.listed->leaving || host.status->leaving)
        return NotServing::HostLeaving;
    if (host.status->claim != claim || host.status->state == EngineState::Idle)
        return NotServing::WrongOrder;
    return host.status->state == EngineState::Loading ? NotServing::Loading : NotServing::No;
}

ReplicaView ReplicaDirectory::view(const Member& member, MonotonicTime now) const
{
    ReplicaView view { member.service, member.replica, member.zone, member.domain, member.claim, {}, {},
        member.hosts.empty() ? NotServing::HostMissing : NotServing::No, {}, {} };
    view.hosts.reserve(member.hosts.size());
    for (const MemberHost& host : member.hosts) {
        bool isLeader = view.hosts.empty();
        view.hosts.push_back(host.name);
        NotServing reason = NotServing::HostMissing;
        m_hosts.ifPresent(host.name, [&](const HostState& state) {
            reason = hostReason(state, host, member.claim, now);
            if (isLeader && state.listed)
                view.leader = state.listed->address;
            if (isLeader && state.status)
                view.leaderStatus = *state.status;
        });
        bool goesBefore = reason != NotServing::No && (view.reason == NotServing::No || reason < view.reason);
        if (goesBefore) {
            view.reason = reason;
            view.blamedHost = host.name;
        }
    }
    if (member.isEnding) {
        view.reason = NotServing::ClaimEnding;
        view.blamedHost.clear();
    }
    return view;
}

} // namespace Kumquatpick
