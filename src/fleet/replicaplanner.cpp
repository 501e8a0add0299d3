#include "fleet/replicaplanner.h"

#include <algorithm>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr uint64_t epochsPerLease = 1'000'000;

    // An order is answered within a round trip; one that is not is sent again, as repeating it is harmless.
    constexpr Milliseconds orderRepeat { 700 };
    // A host that accepted something else meanwhile is joined once more by its new count; one that refuses again and
    // again has another controller's orders, or its reports are wrong.
    constexpr int mostJoinRefusals = 3;
    // A host that leaves finishes what its replica has, for as long as engines allow at most; its entry goes when it
    // has ended. One that ends without notice is not heard of again, and a notice would show within this time.
    constexpr Milliseconds longestLastWork { 10'500 };
    constexpr Milliseconds lastWorkUnlisted { 300 };
    constexpr Milliseconds suddenEnd { 600 };
    // Loads share the weight store: one may take several times its own time.
    constexpr int longestLoads = 4;
    constexpr Milliseconds formationMargin { 10'000 };

    // Replicas that give way finish what they have for this long; what is longer goes on elsewhere.
    constexpr Milliseconds retireGrace { 600 };

    bool isTakingRequests(MemberState state) { return state == MemberState::Open || state == MemberState::Closing; }

    bool isSilent(HostContact contact) { return contact == HostContact::Silent || contact == HostContact::SilentToAll; }

    // An order that concerns one membership and does nothing to any other.
    HostOrder membershipOrder(OrderKind kind, std::string_view hostId, std::string_view replica, uint64_t epoch)
    {
        HostOrder order;
        order.kind = kind;
        order.hostId = hostId;
        order.replica = replica;
        order.epoch = epoch;
        return order;
    }

}

const char* name(OrderKind kind)
{
    constexpr const char* names[] = { "join", "open", "close", "leave", "stage" };
    return names[static_cast<size_t>(kind)];
}

const char* name(OrderResult result)
{
    constexpr const char* names[] = { "accepted", "holds", "unfit", "fenced", "gone", "lost" };
    return names[static_cast<size_t>(result)];
}

ReplicaPlanner::ReplicaPlanner(uint64_t fencing)
    : m_nextEpoch((fencing + 1) * epochsPerLease)
{
}

std::vector<HostOrder> ReplicaPlanner::plan(const PlannerInput& input)
{
    std::vector<HostOrder> orders;
    m_awaited.clear();
    m_orderCounts.forgetUnlisted(input.hosts);
    for (Formation& formation : m_formations)
        advanceFormation(input, formation, orders);
    std::erase_if(m_formations, [](const Formation& formation) { return formation.failed; });

    std::vector<ReplicaView> replicas = input.hosts.replicas();
    std::erase_if(m_watches, [&](const auto& entry) {
        return std::ranges::none_of(
            replicas, [&](const ReplicaView& view) { return ReplicaKey(view.name, view.epoch) == entry.first; });
    });
    for (const ReplicaView& replica : replicas) {
        if (replica.service == input.service.name)
            superviseReplica(input, replica, orders);
    }
    formReplicas(input, orders);
    for (const HostOrder& order : orders)
        m_orderCounts.sending(order, input.hosts);
    return orders;
}

void ReplicaPlanner::advanceFormation(const PlannerInput& input, Formation& formation, std::vector<HostOrder>& orders)
{
    const ModelSpec* model = input.service.model(formation.model);
    // Each is a member already or may become one; another controller may have taken one that refused its join.
    bool isWhole = std::ranges::all_of(formation.members, [&](const auto& id) {
        const Host* host = input.hosts.find(id);
        return input.isUsable(id) && (host->isMemberOf(formation.replica, formation.epoch) || isIdle(input, *host));
    });
    bool isLate = !model || input.now - formation.begun > model->load * longestLoads + formationMargin;
    if (!isWhole || isLate || formation.failed) {
        abandon(formation, orders);
        formation.failed = true;
        return;
    }
    bool allReady = true;
    for (const std::string& id : formation.members) {
        m_awaited.insert(id);
        const Host& host = *input.hosts.find(id);
        allReady = allReady && host.isMemberOf(formation.replica, formation.epoch)
            && host.status.membership->state != MemberState::Joining;
    }
    if (!allReady)
        return orderJoins(input, formation, orders);

    const Host& head = *input.hosts.find(formation.members.front());
    if (isTakingRequests(head.status.membership->state)) {
        formation.failed = true; // Served its purpose: the replica is supervised from now on.
        return;
    }
    if (takeOrderTurn(formation.openSent, input.now))
        orders.push_back(membershipOrder(OrderKind::Open, head.id, formation.replica, formation.epoch));
}

void ReplicaPlanner::orderJoins(const PlannerInput& input, Formation& formation, std::vector<HostOrder>& orders)
{
    for (const std::string& id : formation.members) {
        if (input.hosts.find(id)->isMemberOf(formation.replica, formation.epoch))
            continue;
        MemberJoin& join = formation.joins.at(id);
        if (!join.expectedOrders)
            join.expectedOrders = m_orderCounts.known(input.hosts, id);
        if (!join.expectedOrders || !takeOrderTurn(join.sent, input.now))
            continue;
        orders.push_back({ OrderKind::Join, id, formation.replica, formation.epoch, formation.model, formation.members,
            join.expectedOrders });
    }
}

// The head first: an open that is still on its way must find nothing to open.
void ReplicaPlanner::abandon(const Formation& formation, std::vector<HostOrder>& orders)
{
    Watch& watch = m_watches[{ formation.replica, formation.epoch }];
    watch.headId = formation.members.front();
    watch.isDissolving = true;
    for (const std::string& id : formation.members) {
        if (formation.joins.at(id).sent || formation.joins.at(id).refusals > 0)
            orders.push_back(membershipOrder(OrderKind::Leave, id, formation.replica, formation.epoch));
    }
}

void ReplicaPlanner::superviseReplica(
    const PlannerInput& input, const ReplicaView& replica, std::vector<HostOrder>& orders)
{
    if (isForming(replica))
        return;
    Watch& watch = m_watches[{ replica.name, replica.epoch }];
    if (replica.head) {
        watch.headId = replica.head->id;
        watch.headIsLeaving = watch.headIsLeaving || replica.head->draining;
    }
    bool isRetired = watch.retiringSince && input.now - *watch.retiringSince > retireGrace;
    bool isServing = replica.head && isTakingRequests(replica.head->status.membership->state);
    if (watch.isDissolving || !isServing || isRetired)
        return dissolve(input, replica, orders);

    const ModelSpec* model = input.service.model(replica.model);
    bool isShort = model && replica.members.size() < model->hostsPerReplica;
    bool isDoubted = isShort || input.standsStill(replica.head->id);
    bool hasLost = isShort;
    bool isLeaving = watch.retiringSince.has_value();
    for (const Host* member : replica.members) {
        HostContact contact = input.contact(member->id);
        if (isDoubted)
            m_awaited.insert(member->id);
        bool isLost = contact == HostContact::Ended || (contact == HostContact::Refused && !member->draining);
        hasLost = hasLost || isLost || (isDoubted && isSilent(contact));
        isLeaving = isLeaving || member->draining;
    }
    if (hasLost)
        return dissolve(input, replica, orders);
    bool mayClose = isLeaving && replica.head->status.membership->state == MemberState::Open
        && input.contact(replica.head->id) != HostContact::Refused;
    if (mayClose && takeOrderTurn(watch.closeSent, input.now))
        orders.push_back(membershipOrder(OrderKind::Close, replica.head->id, replica.name, replica.epoch));
}

bool ReplicaPlanner::takeOrderTurn(std::optional<MonotonicTime>& sent, MonotonicTime now) const
{
    if (sent && now - *sent < orderRepeat)
        return false;
    sent = now;
    return true;
}

void ReplicaPlanner::dissolve(const PlannerInput& input, const ReplicaView& replica, std::vector<HostOrder>& orders)
{
    Watch& watch = m_watches[{ replica.name, replica.epoch }];
    watch.isDissolving = true;
    if (watch.headIsOut && !replica.head)
        return;
    if (!watch.headId.empty())
        m_awaited.insert(watch.headId);
    switch (followHead(input, replica, watch)) {
    case HeadFate::MayServe:
        return orderLeave(input, replica, watch, orders);
    case HeadFate::Lost:
        return orderMembersLeave(input, replica, watch, orders);
    case HeadFate::Out:
        watch.headIsOut = true;
        return;
    }
}

void ReplicaPlanner::orderMembersLeave(
    const PlannerInput& input, const ReplicaView& replica, Watch& watch, std::vector<HostOrder>& orders)
{
    for (const Host* member : replica.members) {
        if (member->id == watch.headId || !input.isUsable(member->id))
            continue;
        m_awaited.insert(member->id);
        if (takeOrderTurn(watch.memberLeaveSent[member->id], input.now))
            orders.push_back(membershipOrder(OrderKind::Leave, member->id, replica.name, replica.epoch));
    }
}

// To a head that is listed, or that lives on without being listed, as far as it takes orders.
void ReplicaPlanner::orderLeave(
    const PlannerInput& input, const ReplicaView& replica, Watch& watch, std::vector<HostOrder>& orders)
{
    HostContact contact = input.contact(watch.headId);
    bool takesOrders = replica.head ? contact != HostContact::Refused : contact == HostContact::Answers;
    if (watch.headId.empty() || !takesOrders || watch.headIsOut)
        return;
    if (takeOrderTurn(watch.leaveSent, input.now))
        orders.push_back(membershipOrder(OrderKind::Leave, watch.headId, replica.name, replica.epoch));
}

// Whether the head can still serve its replica, as far as can be told.
ReplicaPlanner::HeadFate ReplicaPlanner::followHead(
    const PlannerInput& input, const ReplicaView& replica, Watch& watch) const
{
    const Host* head = input.hosts.find(watch.headId);
    HostContact contact = watch.headId.empty() ? HostContact::SilentToAll : input.contact(watch.headId);
    bool isOwnReport = head && head->status.ordersAccepted && m_orderCounts.isReported(input.hosts, head->id);
    bool hasLeft = isOwnReport && !head->isMemberOf(replica.name, replica.epoch);
    if (watch.headIsOut || hasLeft || contact == HostContact::Ended)
        return HeadFate::Out;
    if (contact == HostContact::Answers && !head)
        watch.headIsLeaving = true;
    if (contact != HostContact::Refused)
        watch.headRefusedSince.reset();
    if (contact == HostContact::Refused)
        return hasFinished(input, watch, head) ? HeadFate::Lost : HeadFate::MayServe;
    return contact == HostContact::SilentToAll ? HeadFate::Lost : HeadFate::MayServe;
}

// A head that leaves stops listening first and ends only after its last request: that nothing listens tells of an end
// only if it was sudden.
bool ReplicaPlanner::hasFinished(const PlannerInput& input, Watch& watch, const Host* head) const
{
    watch.headRefusedSince = watch.headRefusedSince.value_or(input.now);
    bool isUnlisted = watch.headIsLeaving && !head;
    Milliseconds limit = isUnlisted ? lastWorkUnlisted : watch.headIsLeaving ? longestLastWork : suddenEnd;
    return input.now - *watch.headRefusedSince > limit;
}

// False if some of them have yet to report what they are.
bool ReplicaPlanner::awaitReports(const PlannerInput& input, const std::vector<const Host*>& hosts)
{
    bool allReported = true;
    for (const Host* host : hosts) {
        if (m_orderCounts.known(input.hosts, host->id))
            continue;
        allReported = false;
        m_awaited.insert(host->id);
    }
    return allReported;
}

bool ReplicaPlanner::isFree(const PlannerInput& input, const Host& host) const
{
    bool isTaken = std::ranges::any_of(m_formations, [&](const Formation& formation) {
        return std::ranges::find(formation.members, host.id) != formation.members.end();
    });
    return !isTaken && isIdle(input, host);
}

// Member of no replica that may still serve, as far as is known.
bool ReplicaPlanner::isIdle(const PlannerInput& input, const Host& host) const
{
    if (host.service != input.service.name || !input.isUsable(host.id))
        return false;
    if (!host.status.membership)
        return true;
    auto watch = m_watches.find({ host.status.membership->replica, host.status.membership->epoch });
    return watch != m_watches.end() && watch->second.isDissolving && watch->second.headIsOut;
}

HostsByDomain ReplicaPlanner::freeHostsByDomain(const PlannerInput& input) const
{
    HostsByDomain result;
    for (const auto& [id, host] : input.hosts.hosts()) {
        if (isFree(input, host))
            result[host.status.domain].push_back(&host);
    }
    return result;
}

bool ReplicaPlanner::isForming(const ReplicaView& replica) const
{
    return std::ranges::any_of(m_formations, [&](const Formation& formation) {
        return formation.replica == replica.name && formation.epoch == replica.epoch;
    });
}

bool ReplicaPlanner::isDissolving(const ReplicaView& replica) const
{
    auto watch = m_watches.find({ replica.name, replica.epoch });
    return watch != m_watches.end() && watch->second.isDissolving;
}

std::map<std::string, uint32_t> ReplicaPlanner::replicasByModel(const PlannerInput& input) const
{
    std::map<std::string, uint32_t> result;
    for (const Formation& formation : m_formations)
        ++result[formation.model];
    for (const ReplicaView& replica : input.hosts.replicas()) {
        bool serves
            = replica.head && replica.head->status.membership->state == MemberState::Open && !isDissolving(replica);
        if (serves && !isForming(replica))
            ++result[replica.model];
    }
    return result;
}

ReplicaPlanner::Summary ReplicaPlanner::summary(const PlannerInput& input) const
{
    Summary summary;
    for (const Formation& formation : m_formations)
        ++summary.forming[formation.model];
    for (const auto& [model, count] : replicasByModel(input))
        summary.open[model] = count - summary.forming[model];
    summary.dissolving = static_cast<size_t>(std::ranges::count_if(
        m_watches, [](const auto& entry) { return entry.second.isDissolving && !entry.second.headIsOut; }));
    if (m_shift)
        summary.shift = fmt::format("{} in {}", m_shift->model, m_shift->domain);
    summary.loads = m_staging.loads() + loadsOfFormations(input);
    for (const auto& [domain, hosts] : freeHostsByDomain(input)) {
        summary.freeHosts += hosts.size();
        auto& staged = summary.freeByDomain[fmt::format("{} ({})", domain, m_homes.homeOf(domain))];
        for (const Host* host : hosts)
            ++staged[host->status.stagedModels.empty() ? "nothing" : host->status.stagedModels.front()];
    }
    return summary;
}

void ReplicaPlanner::joinRefused(const HostOrder& order)
{
    for (Formation& formation : m_formations) {
        if (formation.epoch != order.epoch)
            continue;
        MemberJoin& join = formation.joins.at(order.hostId);
        join.expectedOrders.reset();
        join.sent.reset();
        formation.failed = formation.failed || ++join.refusals >= mostJoinRefusals;
    }
}

void ReplicaPlanner::orderEnded(const HostOrder& order, OrderResult result, MonotonicTime now)
{
    m_orderCounts.ended(order, result, now);
    m_staging.orderEnded(order, result, now);
    if (order.kind == OrderKind::Join && result == OrderResult::Unfit)
        joinRefused(order);
    bool hasLeft = result == OrderResult::Holds || result == OrderResult::Accepted || result == OrderResult::Gone;
    if (order.kind != OrderKind::Leave || !hasLeft)
        return;
    auto found = m_watches.find({ order.replica, order.epoch });
    if (found != m_watches.end() && found->second.headId == order.hostId)
        found->second.headIsOut = true;
}

} // namespace Kumquatpick
