#include "fleet/replicaplanner.h"

#include <algorithm>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    // An order is answered within a round trip. Unanswered orders are sent again, as they are idempotent.
    constexpr Milliseconds orderResendInterval { 700 };
    // A host that accepted another order meanwhile is joined again with its new order count. One that keeps refusing
    // gets orders from another controller, or its reports are wrong.
    constexpr int maxJoinRefusals = 3;
    // A leaving host finishes its replica's requests within the time limit of the engines, and its list entry is
    // removed when it has ended. A host that refuses connections without a leave notice for leaveNoticeTimeout has
    // crashed: a notice would have arrived by then.
    constexpr Milliseconds maxDrainTime { 10'500 };
    constexpr Milliseconds unlistedDrainTime { 300 };
    constexpr Milliseconds leaveNoticeTimeout { 600 };
    // Until all nodes have stopped sending to a closed head and have told of their requests there.
    constexpr Milliseconds closePropagationDelay { 1000 };
    // Concurrent loads share the weight store's bandwidth, so one may take several times its nominal time.
    constexpr int maxLoadFactor = 4;
    constexpr Milliseconds formationMargin { 10'000 };

    // Joins in flight from an earlier controller become visible within this time: an order's timeout, the list's lag
    // and two reads of the list.
    constexpr Milliseconds earlierJoinsTimeout { 2200 };

    bool isTakingRequests(MemberState state) { return state == MemberState::Open || state == MemberState::Closing; }

    // An order that affects only the membership in this replica and epoch.
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

ReplicaPlanner::ReplicaPlanner(ControllerTerm& term)
    : m_term(&term)
{
}

std::vector<HostOrder> ReplicaPlanner::plan(const PlannerInput& input)
{
    std::vector<HostOrder> orders;
    m_hostsToPoll.clear();
    m_hostsToPollLater.clear();
    m_orderCounts.removeUnlisted(input.hosts);
    for (Formation& formation : m_formations)
        advanceFormation(input, formation, orders);
    std::erase_if(m_formations, [](const Formation& formation) { return formation.failed; });
    indexFormations();

    PlanState planState;
    planState.replicas = replicasOfService(input);
    std::set<ReplicaKey> known;
    for (const ReplicaView& replica : planState.replicas)
        known.emplace(replica.name, replica.epoch);
    std::erase_if(m_trackedReplicas, [&](const auto& entry) { return !known.contains(entry.first); });
    for (const ReplicaView& replica : planState.replicas)
        superviseReplica(input, replica, orders);
    planState.freeHosts = freeHostsByDomain(input);
    planState.serving = servingByDomain(input, planState.replicas);
    planState.replicaCounts = replicasByModel(input, planState.replicas);
    m_term->loads().setLimits(input.service.name, input.service.timing);
    formReplicas(input, planState, orders);
    m_term->loads().setRunning(input.service.name, m_staging.loads() + loadsOfFormations(input));
    for (const HostOrder& order : orders)
        m_orderCounts.beginOrder(order, input.hosts);
    return orders;
}

std::vector<ReplicaView> ReplicaPlanner::replicasOfService(const PlannerInput& input)
{
    std::vector<ReplicaView> replicas = input.hosts.replicas();
    std::erase_if(replicas, [&](const ReplicaView& replica) { return replica.service != input.service.name; });
    return replicas;
}

void ReplicaPlanner::advanceFormation(const PlannerInput& input, Formation& formation, std::vector<HostOrder>& orders)
{
    const ModelSpec* model = input.service.model(formation.model);
    // Each host is a member or may still join. Another controller may have taken a host that refused its join.
    bool areMembersUsable = std::ranges::all_of(formation.members, [&](const auto& id) {
        const Host* host = input.hosts.find(id);
        return input.isUsable(id) && (host->isMemberOf(formation.replica, formation.epoch) || isIdle(input, *host));
    });
    bool isTimedOut = !model || input.now - formation.startedAt > model->load * maxLoadFactor + formationMargin;
    if (!areMembersUsable || isTimedOut || formation.failed) {
        abandon(formation, orders);
        formation.failed = true;
        return;
    }
    bool allReady = true;
    for (const std::string& id : formation.members) {
        bool isLoading = std::ranges::find(formation.coldMembers, id) != formation.coldMembers.end();
        (isLoading ? m_hostsToPollLater : m_hostsToPoll).insert(id);
        const Host& host = *input.hosts.find(id);
        allReady = allReady && host.isMemberOf(formation.replica, formation.epoch)
            && host.status.membership->state != MemberState::Joining;
    }
    if (!allReady)
        return orderJoins(input, formation, orders);

    const Host& head = *input.hosts.find(formation.members.front());
    if (isTakingRequests(head.status.membership->state)) {
        formation.failed = true; // Complete: the formation is removed and the replica supervised from now on.
        return;
    }
    if (recordSendIfDue(formation.openSentAt, input.now))
        orders.push_back(membershipOrder(OrderKind::Open, head.id, formation.replica, formation.epoch));
}

void ReplicaPlanner::orderJoins(const PlannerInput& input, Formation& formation, std::vector<HostOrder>& orders)
{
    for (const std::string& id : formation.members) {
        if (input.hosts.find(id)->isMemberOf(formation.replica, formation.epoch))
            continue;
        MemberJoin& join = formation.joins.at(id);
        if (!join.expectedOrderCount)
            join.expectedOrderCount = m_orderCounts.currentCount(input.hosts, id);
        if (!join.expectedOrderCount || !recordSendIfDue(join.sentAt, input.now))
            continue;
        orders.push_back({ OrderKind::Join, id, formation.replica, formation.epoch, formation.model, formation.members,
            join.expectedOrderCount });
    }
}

// The head leaves first, so that an open order still in flight has no effect.
void ReplicaPlanner::abandon(const Formation& formation, std::vector<HostOrder>& orders)
{
    TrackedReplica& tracked = m_trackedReplicas[{ formation.replica, formation.epoch }];
    tracked.headId = formation.members.front();
    tracked.isDissolving = true;
    for (const std::string& id : formation.members) {
        if (formation.joins.at(id).sentAt || formation.joins.at(id).refusals > 0)
            orders.push_back(membershipOrder(OrderKind::Leave, id, formation.replica, formation.epoch));
    }
}

// Takes over the formation of a replica of an earlier controller whose hosts have all received their joins.
bool ReplicaPlanner::adopt(const PlannerInput& input, const ReplicaView& replica)
{
    const ModelSpec* model = input.service.model(replica.model);
    bool isCurrentEpoch = replica.epoch >= m_term->firstEpoch();
    if (isCurrentEpoch || !model || replica.members.size() != model->hostsPerReplica)
        return false;
    Formation formation;
    formation.replica = replica.name;
    formation.epoch = replica.epoch;
    formation.model = replica.model;
    formation.startedAt = input.now;
    formation.members.resize(replica.members.size());
    for (const Host* host : replica.members) {
        uint32_t rank = host->status.membership->rank;
        bool isRankValid = rank < formation.members.size() && formation.members[rank].empty();
        bool mayForm = host->status.membership->state == MemberState::Joining
            || host->status.membership->state == MemberState::Ready;
        if (!isRankValid || !mayForm || !input.isUsable(host->id))
            return false;
        formation.members[rank] = host->id;
        formation.joins[host->id].sentAt = input.now; // By the earlier controller; makes abandon() order a leave.
        // lastModel is set when the join begins, so it does not show whether the model is loaded.
        if (host->status.membership->state == MemberState::Joining && !host->status.isStaged(formation.model))
            formation.coldMembers.push_back(host->id);
    }
    m_formations.push_back(std::move(formation));
    indexFormations();
    return true;
}

// Some of its hosts may not have reported yet. Ready members without a head mean that the head has left.
bool ReplicaPlanner::mayStillForm(
    const PlannerInput& input, const ReplicaView& replica, const TrackedReplica& tracked) const
{
    bool mayGainMembers = replica.epoch < m_term->firstEpoch() && input.now - tracked.firstSeenAt < earlierJoinsTimeout;
    bool isHeadWaiting = replica.head && replica.head->status.membership->state == MemberState::Ready;
    bool isAnyJoining = std::ranges::any_of(
        replica.members, [](const Host* host) { return host->status.membership->state == MemberState::Joining; });
    return mayGainMembers && !tracked.isDissolving && (isHeadWaiting || isAnyJoining);
}

void ReplicaPlanner::superviseReplica(
    const PlannerInput& input, const ReplicaView& replica, std::vector<HostOrder>& orders)
{
    if (isForming(replica))
        return;
    auto [entry, isNew] = m_trackedReplicas.try_emplace({ replica.name, replica.epoch });
    TrackedReplica& tracked = entry->second;
    if (isNew)
        tracked.firstSeenAt = input.now;
    // A closed head returns to ready after its last request, and then looks like that of a replica being formed.
    bool hasClosed
        = tracked.closeSentAt && replica.head && replica.head->status.membership->state == MemberState::Ready;
    tracked.isDissolving = tracked.isDissolving || hasClosed;
    if (!tracked.isDissolving && adopt(input, replica))
        return;
    if (mayStillForm(input, replica, tracked)) {
        for (const Host* member : replica.members)
            m_hostsToPollLater.insert(member->id);
        return;
    }
    if (replica.head) {
        tracked.headId = replica.head->id;
        tracked.headIsLeaving = tracked.headIsLeaving || replica.head->draining;
    }
    bool isRetired = tracked.retiringSince && input.now - *tracked.retiringSince > maxDrainTime;
    bool isServing = replica.head && isTakingRequests(replica.head->status.membership->state);
    if (tracked.isDissolving || isRetired || !(isServing || mayHeadReturn(replica, tracked)))
        return dissolve(input, replica, orders);
    superviseHosts(input, replica, tracked, orders);
}

// Whether an open head that was unlisted can serve again as soon as its entry is back.
bool ReplicaPlanner::mayHeadReturn(const ReplicaView& replica, const TrackedReplica& tracked)
{
    bool wasOpen
        = !replica.head && replica.unlistedHead && replica.unlistedHead->status.membership->state == MemberState::Open;
    bool isAnyLeaving = std::ranges::any_of(replica.members, [](const Host* member) { return member->draining; });
    return wasOpen && !tracked.closedSince && !tracked.retiringSince && !isAnyLeaving;
}

void ReplicaPlanner::superviseHosts(
    const PlannerInput& input, const ReplicaView& replica, TrackedReplica& tracked, std::vector<HostOrder>& orders)
{
    tracked.headId = (replica.head ? replica.head : replica.unlistedHead)->id;
    HealthState health = updateHealth(input, replica, tracked);
    if (health == HealthState::Broken) {
        // An unlisted head may still finish its requests.
        tracked.hasLostMember = replica.head != nullptr;
        return dissolve(input, replica, orders);
    }
    for (const auto& [id, since] : tracked.health->suspects)
        m_hostsToPoll.insert(id);
    bool isSuspected = health == HealthState::InDoubt || input.isStalled(tracked.headId);
    if (tracked.closedSince || isSuspected)
        m_hostsToPoll.insert(tracked.headId); // Closed: its hosts are free as soon as its last request has ended.
    bool isLeaving = tracked.retiringSince.has_value();
    for (const Host* member : replica.members) {
        if (isSuspected)
            m_hostsToPoll.insert(member->id);
        isLeaving = isLeaving || member->draining;
    }
    // A member that left without notice stops listening first and stays while the head has requests.
    for (const Host* member : replica.recentlyUnlisted)
        isLeaving = isLeaving || (!input.isObserverCutOff && input.contact(member->id) == HostContact::Refused);
    bool mayClose = isLeaving && replica.head && replica.head->status.membership->state == MemberState::Open
        && input.contact(tracked.headId) != HostContact::Refused;
    if (mayClose)
        orderClose(input, replica, tracked, orders);
}

HealthState ReplicaPlanner::updateHealth(const PlannerInput& input, const ReplicaView& replica, TrackedReplica& tracked)
{
    ReplicaEvidence evidence = collectEvidence(input, replica);
    evidence.firstSeenAt = tracked.firstSeenAt;
    evidence.wasComplete = tracked.wasComplete;
    tracked.wasComplete = tracked.wasComplete || !evidence.isIncomplete;
    ReplicaHealth previous = tracked.health.value_or(ReplicaHealth {});
    tracked.health = assessHealth(evidence, previous);
    HealthState state = tracked.health->state;
    bool isOtherDoubt = state == HealthState::InDoubt && tracked.health->reason != previous.reason;
    if (state != previous.state || isOtherDoubt)
        m_healthChanges.push_back(
            { replica.name, replica.epoch, replica.model, previous.state, *tracked.health, std::move(evidence) });
    return state;
}

void ReplicaPlanner::orderClose(
    const PlannerInput& input, const ReplicaView& replica, TrackedReplica& tracked, std::vector<HostOrder>& orders)
{
    tracked.closedSince = tracked.closedSince.value_or(input.now);
    if (recordSendIfDue(tracked.closeSentAt, input.now))
        orders.push_back(membershipOrder(OrderKind::Close, tracked.headId, replica.name, replica.epoch));
}

// Whether the head may still be running requests that an order to leave would end.
bool ReplicaPlanner::isFinishing(
    const PlannerInput& input, const ReplicaView& replica, const TrackedReplica& tracked) const
{
    bool mayRun = !replica.head || isTakingRequests(replica.head->status.membership->state);
    if (!mayRun || tracked.hasLostMember || input.isStalled(tracked.headId))
        return false;
    Milliseconds closedFor
        = tracked.closedSince ? std::chrono::floor<Milliseconds>(input.now - *tracked.closedSince) : Milliseconds(0);
    return closedFor < closePropagationDelay || (input.inFlight(tracked.headId) > 0 && closedFor < maxDrainTime);
}

bool ReplicaPlanner::recordSendIfDue(std::optional<MonotonicTime>& sentAt, MonotonicTime now) const
{
    if (sentAt && now - *sentAt < orderResendInterval)
        return false;
    sentAt = now;
    return true;
}

void ReplicaPlanner::dissolve(const PlannerInput& input, const ReplicaView& replica, std::vector<HostOrder>& orders)
{
    TrackedReplica& tracked = m_trackedReplicas[{ replica.name, replica.epoch }];
    tracked.isDissolving = true;
    if (tracked.headHasLeft && !replica.head)
        return;
    if (!tracked.headId.empty())
        m_hostsToPoll.insert(tracked.headId);
    switch (updateHeadStatus(input, replica, tracked)) {
    case HeadStatus::MayServe:
        return orderHeadLeave(input, replica, tracked, orders);
    case HeadStatus::Lost:
        return orderMembersLeave(input, replica, tracked, orders);
    case HeadStatus::Left:
        tracked.headHasLeft = true;
        return;
    }
}

void ReplicaPlanner::orderMembersLeave(
    const PlannerInput& input, const ReplicaView& replica, TrackedReplica& tracked, std::vector<HostOrder>& orders)
{
    for (const Host* member : replica.members) {
        if (member->id == tracked.headId || !input.isUsable(member->id))
            continue;
        m_hostsToPoll.insert(member->id);
        if (recordSendIfDue(tracked.memberLeaveSentAt[member->id], input.now))
            orders.push_back(membershipOrder(OrderKind::Leave, member->id, replica.name, replica.epoch));
    }
}

// Orders a head to leave if it is listed or still answers without being listed, unless it refuses connections. A head
// that may run requests is closed first and finishes them.
void ReplicaPlanner::orderHeadLeave(
    const PlannerInput& input, const ReplicaView& replica, TrackedReplica& tracked, std::vector<HostOrder>& orders)
{
    HostContact contact = input.contact(tracked.headId);
    bool takesOrders = replica.head ? contact != HostContact::Refused : contact == HostContact::Reachable;
    if (tracked.headId.empty() || !takesOrders || tracked.headHasLeft)
        return;
    if (isFinishing(input, replica, tracked))
        return orderClose(input, replica, tracked, orders);
    if (recordSendIfDue(tracked.leaveSentAt, input.now))
        orders.push_back(membershipOrder(OrderKind::Leave, tracked.headId, replica.name, replica.epoch));
}

// Determines whether the head may still serve its replica.
ReplicaPlanner::HeadStatus ReplicaPlanner::updateHeadStatus(
    const PlannerInput& input, const ReplicaView& replica, TrackedReplica& tracked) const
{
    const Host* head = input.hosts.find(tracked.headId);
    HostContact contact = tracked.headId.empty() ? HostContact::UnreachableByAll : input.contact(tracked.headId);
    bool isOwnReport
        = head && head->status.ordersAccepted && m_orderCounts.hasReportSinceLastOrder(input.hosts, head->id);
    bool hasLeft = isOwnReport && !head->isMemberOf(replica.name, replica.epoch);
    if (tracked.headHasLeft || hasLeft || contact == HostContact::Ended)
        return HeadStatus::Left;
    if (contact == HostContact::Reachable && !head)
        tracked.headIsLeaving = true;
    if (contact != HostContact::Refused)
        tracked.headRefusedSince.reset();
    if (contact == HostContact::Refused)
        return hasHeadEnded(input, tracked, head) ? HeadStatus::Lost : HeadStatus::MayServe;
    return contact == HostContact::UnreachableByAll ? HeadStatus::Lost : HeadStatus::MayServe;
}

// A leaving head stops listening first and ends only after its last request. A refused connection therefore shows at
// once only that a crashed head has ended; others get a time limit.
bool ReplicaPlanner::hasHeadEnded(const PlannerInput& input, TrackedReplica& tracked, const Host* head) const
{
    tracked.headRefusedSince = tracked.headRefusedSince.value_or(input.now);
    bool isUnlisted = tracked.headIsLeaving && !head;
    Milliseconds limit = isUnlisted ? unlistedDrainTime : tracked.headIsLeaving ? maxDrainTime : leaveNoticeTimeout;
    return input.now - *tracked.headRefusedSince > limit;
}

// Returns false and polls the hosts that have not reported yet, if there are any.
bool ReplicaPlanner::requireReports(const PlannerInput& input, const std::vector<const Host*>& hosts)
{
    bool allReported = true;
    for (const Host* host : hosts) {
        if (m_orderCounts.currentCount(input.hosts, host->id))
            continue;
        allReported = false;
        m_hostsToPoll.insert(host->id);
    }
    return allReported;
}

bool ReplicaPlanner::isFree(const PlannerInput& input, const Host& host) const
{
    return !m_formingHosts.contains(host.id) && isIdle(input, host);
}

void ReplicaPlanner::indexFormations()
{
    m_formingHosts.clear();
    m_formingEpochs.clear();
    for (const Formation& formation : m_formations) {
        m_formingHosts.insert(formation.members.begin(), formation.members.end());
        m_formingEpochs.insert(formation.epoch);
    }
}

// Usable, and not known to be a member of a replica that may still serve.
bool ReplicaPlanner::isIdle(const PlannerInput& input, const Host& host) const
{
    if (host.service != input.service.name || !input.isUsable(host.id))
        return false;
    if (!host.status.membership)
        return true;
    auto tracked = m_trackedReplicas.find({ host.status.membership->replica, host.status.membership->epoch });
    return tracked != m_trackedReplicas.end() && tracked->second.isDissolving && tracked->second.headHasLeft;
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

// Epochs are unique among the replicas of a service, so the epoch identifies the replica.
bool ReplicaPlanner::isForming(const ReplicaView& replica) const { return m_formingEpochs.contains(replica.epoch); }

bool ReplicaPlanner::isDissolving(const ReplicaView& replica) const
{
    auto tracked = m_trackedReplicas.find({ replica.name, replica.epoch });
    return tracked != m_trackedReplicas.end() && tracked->second.isDissolving;
}

// Open, not being dissolved and not in an evacuated zone.
bool ReplicaPlanner::isServing(const PlannerInput& input, const ReplicaView& replica) const
{
    bool isOpen = replica.head && replica.head->status.membership->state == MemberState::Open;
    return isOpen && !isForming(replica) && !isDissolving(replica) && !input.isAnyEvacuated(replica.members);
}

std::map<std::string, uint32_t> ReplicaPlanner::replicasByModel(
    const PlannerInput& input, const std::vector<ReplicaView>& replicas) const
{
    std::map<std::string, uint32_t> result;
    for (const Formation& formation : m_formations)
        ++result[formation.model];
    for (const ReplicaView& replica : replicas) {
        if (isServing(input, replica))
            ++result[replica.model];
    }
    return result;
}

ReplicaPlanner::Summary ReplicaPlanner::summary(const PlannerInput& input) const
{
    Summary summary;
    for (const Formation& formation : m_formations)
        ++summary.forming[formation.model];
    for (const auto& [model, count] : replicasByModel(input, replicasOfService(input)))
        summary.open[model] = count - summary.forming[model];
    summary.dissolving = static_cast<size_t>(std::ranges::count_if(
        m_trackedReplicas, [](const auto& entry) { return entry.second.isDissolving && !entry.second.headHasLeft; }));
    for (const auto& [key, tracked] : m_trackedReplicas) {
        if (tracked.health)
            ++summary.health[tracked.health->state];
    }
    for (const auto& [domain, shift] : m_shifts)
        summary.shift += fmt::format("{}{} in {}", summary.shift.empty() ? "" : ", ", shift.model, domain);
    summary.loads = m_staging.loads() + loadsOfFormations(input);
    HostsByDomain freeHosts = freeHostsByDomain(input);
    summarizePlan(input, freeHosts, summary);
    for (const auto& [domain, hosts] : freeHosts) {
        summary.freeHosts += hosts.size();
        auto& staged = summary.freeByDomain[fmt::format("{} ({})", domain, m_domainAssignment.assignedModel(domain))];
        for (const Host* host : hosts)
            ++staged[host->status.stagedModels.empty() ? "nothing" : host->status.stagedModels.front()];
    }
    return summary;
}

void ReplicaPlanner::handleJoinRefusal(const HostOrder& order)
{
    for (Formation& formation : m_formations) {
        if (formation.epoch != order.epoch)
            continue;
        MemberJoin& join = formation.joins.at(order.hostId);
        join.expectedOrderCount.reset();
        join.sentAt.reset();
        formation.failed = formation.failed || ++join.refusals >= maxJoinRefusals;
    }
}

void ReplicaPlanner::orderEnded(const HostOrder& order, OrderResult result, MonotonicTime now)
{
    m_orderCounts.endOrder(order, result, now);
    m_staging.orderEnded(order, result, now);
    if (order.kind == OrderKind::Join && result == OrderResult::Unfit)
        handleJoinRefusal(order);
    bool hasLeft = result == OrderResult::Holds || result == OrderResult::Accepted || result == OrderResult::Gone;
    if (order.kind != OrderKind::Leave || !hasLeft)
        return;
    auto found = m_trackedReplicas.find({ order.replica, order.epoch });
    if (found != m_trackedReplicas.end() && found->second.headId == order.hostId)
        found->second.headHasLeft = true;
}

} // namespace Kumquatpick
