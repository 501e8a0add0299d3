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

    // A warm load delays a replica by a second or two; joining the model that a host ran last does not.
    constexpr double warmCost = 0.1;
    // Replicas that give way finish what they have for this long; what is longer goes on elsewhere.
    constexpr Milliseconds retireGrace { 600 };
    constexpr Milliseconds longestShift { 5000 };
    // At the very start hosts appear in the list one by one, some forty a second; where each model is at home is
    // settled once they have. Begun half a second earlier, pairs of early hosts spoilt a domain of ten for the large
    // model.
    constexpr Milliseconds settledAfter { 600 };
    // Loads are short then and take some three seconds in all. Begun after 3.5 s, when a third of 162 hosts were yet to
    // appear, pairs took most of their domains: 4 replicas of eight hosts formed of the 10 that were wanted.
    constexpr Milliseconds longestSettling { 7000 };

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

    bool hasJoined(const Host& host, std::string_view replica, uint64_t epoch)
    {
        return host.status.membership && host.status.membership->isOf(replica, epoch);
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
        return input.isUsable(id) && (hasJoined(*host, formation.replica, formation.epoch) || isIdle(input, *host));
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
        allReady = allReady && hasJoined(host, formation.replica, formation.epoch)
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
        if (hasJoined(*input.hosts.find(id), formation.replica, formation.epoch))
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
    bool hasLeft = isOwnReport && !hasJoined(*head, replica.name, replica.epoch);
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

ModelNeeds ReplicaPlanner::needs(const PlannerInput& input) const
{
    auto have = replicasByModel(input);
    ModelNeeds result;
    for (const ModelSpec& model : input.service.models) {
        auto wanted = input.wanted.find(model.name);
        result[model.name] = wanted == input.wanted.end() ? 0 : wanted->second / (1 + have[model.name]);
    }
    return result;
}

uint32_t ReplicaPlanner::loadsOfFormations(const PlannerInput& input) const
{
    uint32_t count = 0;
    for (const Formation& formation : m_formations) {
        count += static_cast<uint32_t>(std::ranges::count_if(formation.coldMembers, [&](const std::string& id) {
            const Host* host = input.hosts.find(id);
            bool isLoaded = host && hasJoined(*host, formation.replica, formation.epoch)
                && host->status.membership->state != MemberState::Joining;
            return !isLoaded;
        }));
    }
    return count;
}

// Once traffic runs, only hosts that hold the model count: hosts are lost faster than the weight store fills new ones,
// and a replica that waits for one load of sixteen seconds would keep three hosts from serving that long.
std::optional<ReplicaPlanner::Candidate> ReplicaPlanner::candidateIn(const PlannerInput& input, const ModelSpec& model,
    const std::vector<const Host*>& freeHosts, const ModelNeeds& needs) const
{
    double need = needs.at(model.name);
    Candidate candidate;
    candidate.model = &model;
    std::ranges::copy_if(freeHosts, std::back_inserter(candidate.members),
        [&](const Host* host) { return input.loadsAreFree || host->status.holds(model.name); });
    if (candidate.members.size() < model.hostsPerReplica || need <= 0)
        return std::nullopt;
    auto cost = [&](const Host* host) {
        if (host->status.lastModel == model.name)
            return 0.0;
        return host->status.holds(model.name) ? warmCost : 1.0;
    };
    std::ranges::stable_sort(candidate.members, {}, cost);
    candidate.members.resize(model.hostsPerReplica);
    double costs = 0;
    for (const Host* host : candidate.members)
        costs += input.loadsAreFree ? 0 : cost(host);
    candidate.value = need / (1 + costs);
    return candidate;
}

std::optional<ReplicaPlanner::Candidate> ReplicaPlanner::bestCandidate(
    const PlannerInput& input, const ModelNeeds& needs) const
{
    std::optional<Candidate> best;
    for (const auto& [domain, hosts] : freeHostsByDomain(input)) {
        const ModelSpec* home = input.service.model(m_homes.homeOf(domain));
        // Only until that model has what is wanted: what is left of its domains may serve others.
        bool homeFirst = input.loadsAreFree && !input.off.contains(Mechanism::Homes) && home
            && hosts.size() >= home->hostsPerReplica && needs.at(home->name) > 1;
        for (const ModelSpec& model : input.service.models) {
            auto candidate = candidateIn(input, model, hosts, needs);
            if (!candidate || isKeptFor(domain, model.name) || (homeFirst && &model != home))
                continue;
            if (!best || candidate->value > best->value)
                best = std::move(candidate);
        }
    }
    return best;
}

bool ReplicaPlanner::hasSettled(const PlannerInput& input)
{
    size_t count = input.hosts.hosts().size();
    if (count != m_hostCount) {
        m_hostCount = count;
        m_countSince = input.now;
    }
    m_firstSeen = m_firstSeen.value_or(input.now);
    return !input.loadsAreFree || input.now - m_countSince >= settledAfter
        || input.now - *m_firstSeen >= longestSettling;
}

bool ReplicaPlanner::isKeptFor(std::string_view domain, std::string_view otherModel) const
{
    return m_shift && m_shift->domain == domain && m_shift->model != otherModel;
}

std::vector<ShiftDomain> ReplicaPlanner::shiftDomains(
    const PlannerInput& input, const std::vector<ReplicaView>& replicas) const
{
    std::map<std::string, ShiftDomain> domains;
    for (auto& [domain, hosts] : freeHostsByDomain(input))
        domains[domain].freeHosts = hosts;
    for (const ReplicaView& replica : replicas) {
        bool serves = replica.service == input.service.name && replica.head && !isDissolving(replica)
            && replica.head->status.membership->state == MemberState::Open;
        if (serves && !isForming(replica))
            domains[replica.head->status.domain].replicas.push_back(&replica);
    }
    std::vector<ShiftDomain> result;
    for (auto& [name, domain] : domains) {
        domain.name = name;
        result.push_back(std::move(domain));
    }
    return result;
}

// One shift at a time: what it frees shows in the needs before the next one.
void ReplicaPlanner::shiftReplicas(const PlannerInput& input)
{
    if (m_shift && input.now - m_shift->begun > longestShift)
        m_shift.reset();
    if (m_shift || input.loadsAreFree || input.off.contains(Mechanism::Shift))
        return;
    std::vector<ReplicaView> replicas = input.hosts.replicas();
    auto domains = shiftDomains(input, replicas);
    auto shift = chooseShift({ input.service, input.wanted, replicasByModel(input), domains,
        [&](const Host& host, std::string_view model) { return host.status.holds(model); } });
    if (!shift)
        return;
    for (const auto& replica : shift->replicas)
        m_watches[replica].retiringSince = input.now;
    m_shift = Shift { std::move(shift->domain), std::move(shift->model), input.now };
}

void ReplicaPlanner::formReplicas(const PlannerInput& input, std::vector<HostOrder>& orders)
{
    // All idle hosts are asked, also those that are not chosen now: the next choice then finds what it needs.
    bool allReported = true;
    for (const auto& [domain, hosts] : freeHostsByDomain(input))
        allReported = awaitReports(input, hosts) && allReported;
    if (!hasSettled(input) || (input.loadsAreFree && !allReported))
        return;
    m_homes.assign(input.hosts, input.service, input.wanted);
    shiftReplicas(input);
    while (auto candidate = bestCandidate(input, needs(input))) {
        const ModelSpec& model = *candidate->model;
        // A choice that waits for a report of one of its hosts is better than the next best one.
        if (!awaitReports(input, candidate->members))
            return;
        Formation formation;
        formation.epoch = m_nextEpoch++;
        formation.replica = fmt::format("replica-{}", formation.epoch);
        formation.model = model.name;
        formation.begun = input.now;
        for (const Host* host : candidate->members) {
            formation.members.push_back(host->id);
            formation.joins[host->id].expectedOrders = *m_orderCounts.known(input.hosts, host->id);
            if (!host->status.holds(model.name))
                formation.coldMembers.push_back(host->id);
        }
        if (m_shift && m_shift->domain == candidate->members.front()->status.domain)
            m_shift.reset();
        m_formations.push_back(std::move(formation));
        orderJoins(input, m_formations.back(), orders);
        for (const std::string& id : m_formations.back().members)
            m_awaited.insert(id);
    }
    m_staging.plan(input, needs(input), freeHostsByDomain(input), loadsOfFormations(input), orders);
    m_awaited.insert(m_staging.awaited().begin(), m_staging.awaited().end());
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
