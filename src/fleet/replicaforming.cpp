#include "fleet/replicaplanner.h"

#include <algorithm>
#include <fmt/format.h>
#include <span>

// The part of ReplicaPlanner that chooses which replicas to form from idle hosts, and which to dissolve in favour of a
// model that needs replicas more.

namespace Kumquatpick {

namespace {

    // A warm load delays a replica by one to two seconds; joining the model that a host ran last does not.
    constexpr double warmLoadCost = 0.1;
    constexpr Milliseconds maxShiftDuration { 5000 };
    // One shift takes three seconds. With 40 domains and one shift at a time, a model had a seventh of the replicas
    // that it needed for half a minute. A small fleet is still allowed one.
    constexpr size_t domainsPerShift = 8;
    // At startup hosts appear in the list at some 40 a second. Domains are assigned to models once the number of hosts
    // stays the same for this long. Half a second earlier, replicas of two early hosts left a domain of ten with too
    // few hosts for the large model.
    constexpr Milliseconds hostCountStablePeriod { 600 };
    // Loads before traffic are short and take some three seconds in total. With 3.5 s, a third of 162 hosts were not
    // yet listed, and replicas of two hosts took most of their domains: 4 of the 10 wanted replicas of eight hosts
    // formed.
    constexpr Milliseconds maxHostListWait { 7000 };
    // Sending the orders of a whole fleet at once blocked a node's event loop for a second. At ten plans a second this
    // limit allows 760 hosts in 0.8 s. Loads before traffic share no rate limit: when they were limited to twice the
    // weight store's concurrency during traffic, a fleet of 60 hosts had half of its replicas when traffic began.
    constexpr size_t maxJoinsPerPlan = 96;

}

ModelNeeds ReplicaPlanner::computeNeeds(const PlannerInput& input, const PlanState& planState) const
{
    ModelNeeds result;
    for (const ModelSpec& model : input.service.models) {
        auto wanted = input.wantedReplicas.find(model.name);
        auto count = planState.replicaCounts.find(model.name);
        result[model.name] = wanted == input.wantedReplicas.end()
            ? 0
            : wanted->second / (1 + (count == planState.replicaCounts.end() ? 0 : count->second));
    }
    return result;
}

uint32_t ReplicaPlanner::loadsOfFormations(const PlannerInput& input) const
{
    uint32_t count = 0;
    for (const Formation& formation : m_formations) {
        count += static_cast<uint32_t>(std::ranges::count_if(formation.coldMembers, [&](const std::string& id) {
            const Host* host = input.hosts.find(id);
            bool isLoaded = host && host->isMemberOf(formation.replica, formation.epoch)
                && host->status.membership->state != MemberState::Joining;
            return !isLoaded;
        }));
    }
    return count;
}

// During traffic only hosts that hold the model are chosen: hosts are lost faster than the weight store can load new
// ones, and a replica of four that waits for one load of 16 s would keep three hosts from serving for that time.
std::optional<ReplicaPlanner::Candidate> ReplicaPlanner::candidateIn(
    const PlannerInput& input, const ModelSpec& model, const std::vector<const Host*>& freeHosts) const
{
    Candidate candidate;
    candidate.model = &model;
    std::ranges::copy_if(freeHosts, std::back_inserter(candidate.members),
        [&](const Host* host) { return input.isBeforeTraffic || host->status.hasLocalCopy(model.name); });
    if (candidate.members.size() < model.hostsPerReplica)
        return std::nullopt;
    auto cost = [&](const Host* host) {
        if (host->status.lastModel == model.name)
            return 0.0;
        return host->status.hasLocalCopy(model.name) ? warmLoadCost : 1.0;
    };
    std::ranges::stable_sort(candidate.members, {}, cost);
    candidate.members.resize(model.hostsPerReplica);
    for (const Host* host : candidate.members)
        candidate.cost += input.isBeforeTraffic ? 0 : cost(host);
    return candidate;
}

std::vector<ReplicaPlanner::Candidate> ReplicaPlanner::candidatesIn(
    const PlannerInput& input, const std::vector<const Host*>& freeHosts) const
{
    std::vector<Candidate> result;
    for (const ModelSpec& model : input.service.models) {
        if (auto candidate = candidateIn(input, model, freeHosts))
            result.push_back(std::move(*candidate));
    }
    return result;
}

const ReplicaPlanner::Candidate* ReplicaPlanner::bestCandidate(
    const PlannerInput& input, const PlanState& planState) const
{
    ModelNeeds needed = computeNeeds(input, planState);
    const Candidate* best = nullptr;
    double bestValue = 0;
    for (const auto& [domain, candidates] : planState.candidates) {
        const ModelSpec* assigned = input.service.model(m_domainAssignment.assignedModel(domain));
        // Only until that model has enough replicas; the remaining hosts of its domains may serve other models.
        bool isAssignedFirst = input.isBeforeTraffic && !input.disabledMechanisms.contains(Mechanism::DomainGrouping)
            && assigned && planState.freeHosts.at(domain).size() >= assigned->hostsPerReplica
            && needed.at(assigned->name) > 1;
        for (const Candidate& candidate : candidates) {
            const ModelSpec& model = *candidate.model;
            double value = needed.at(model.name) / (1 + candidate.cost);
            if (value <= bestValue || isReservedForOther(domain, model.name) || (isAssignedFirst && &model != assigned))
                continue;
            if (isReservedForLarger(input, planState, domain, model))
                continue;
            best = &candidate;
            bestValue = value;
        }
    }
    return best;
}

bool ReplicaPlanner::isHostListStable(const PlannerInput& input)
{
    size_t count = input.hosts.hosts().size();
    if (count != m_hostCount) {
        m_hostCount = count;
        m_hostCountSince = input.now;
    }
    m_firstHostSeenAt = m_firstHostSeenAt.value_or(input.now);
    return !input.isBeforeTraffic || input.now - m_hostCountSince >= hostCountStablePeriod
        || input.now - *m_firstHostSeenAt >= maxHostListWait;
}

bool ReplicaPlanner::isReservedForOther(std::string_view domain, std::string_view model) const
{
    auto shift = m_shifts.find(domain);
    return shift != m_shifts.end() && shift->second.model != model;
}

bool ReplicaPlanner::isReservedForLarger(
    const PlannerInput& input, const PlanState& planState, const std::string& domain, const ModelSpec& model) const
{
    if (input.isBeforeTraffic || input.disabledMechanisms.contains(Mechanism::LargerFirst))
        return false;
    auto serving = planState.serving.find(domain);
    ShiftDomain shiftDomain { domain, planState.freeHosts.at(domain),
        serving == planState.serving.end() ? std::vector<const ReplicaView*>() : serving->second };
    return areReservedForLarger({ input.service, input.wantedReplicas, planState.replicaCounts, {},
                                    [this](const Host& host, std::string_view larger) {
                                        return host.status.hasLocalCopy(larger) || m_staging.isStaging(host, larger);
                                    } },
        shiftDomain, model);
}

std::map<std::string, std::vector<const ReplicaView*>> ReplicaPlanner::servingByDomain(
    const PlannerInput& input, const std::vector<ReplicaView>& replicas) const
{
    std::map<std::string, std::vector<const ReplicaView*>> result;
    for (const ReplicaView& replica : replicas) {
        if (isServing(input, replica))
            result[replica.head->status.domain].push_back(&replica);
    }
    return result;
}

std::vector<ShiftDomain> ReplicaPlanner::shiftDomains(const PlanState& planState) const
{
    std::map<std::string, ShiftDomain> domains;
    for (const auto& [domain, hosts] : planState.freeHosts)
        domains[domain].freeHosts = hosts;
    for (const auto& [domain, replicas] : planState.serving)
        domains[domain].replicas = replicas;
    std::vector<ShiftDomain> result;
    for (auto& [name, domain] : domains) {
        domain.name = name;
        result.push_back(std::move(domain));
    }
    return result;
}

// The number of replicas by model after the shifts in progress.
std::map<std::string, uint32_t> ReplicaPlanner::replicasAfterShifts(const PlanState& planState) const
{
    std::map<std::string, uint32_t> replicaCounts = planState.replicaCounts;
    std::map<ReplicaKey, std::string> models;
    for (const ReplicaView& replica : planState.replicas) {
        if (!isDissolving(replica))
            models[{ replica.name, replica.epoch }] = replica.model;
    }
    for (const auto& [domain, shift] : m_shifts) {
        ++replicaCounts[shift.model];
        for (const ReplicaKey& replica : shift.replicas) {
            auto model = models.find(replica);
            if (model != models.end() && replicaCounts[model->second] > 0)
                --replicaCounts[model->second];
        }
    }
    return replicaCounts;
}

// At most one shift in each domain and few in total, so that their effect on the needs is seen before more start.
void ReplicaPlanner::shiftReplicas(const PlannerInput& input, const PlanState& planState)
{
    std::erase_if(m_shifts, [&](const auto& entry) { return input.now - entry.second.startedAt > maxShiftDuration; });
    if (input.isBeforeTraffic || input.disabledMechanisms.contains(Mechanism::Shift))
        return;
    auto domains = shiftDomains(planState);
    size_t maxShifts = 1 + domains.size() / domainsPerShift;
    std::erase_if(domains, [this](const ShiftDomain& domain) { return m_shifts.contains(domain.name); });
    while (m_shifts.size() < maxShifts) {
        auto replicaCounts = replicasAfterShifts(planState);
        auto shift = chooseShift({ input.service, input.wantedReplicas, replicaCounts, domains,
            [&](const Host& host, std::string_view model) { return host.status.hasLocalCopy(model); } });
        if (!shift)
            return;
        for (const auto& replica : shift->replicas)
            m_trackedReplicas[replica].retiringSince = input.now;
        std::erase_if(domains, [&](const ShiftDomain& domain) { return domain.name == shift->domain; });
        m_shifts[shift->domain] = { std::move(shift->model), std::move(shift->replicas), input.now };
    }
}

ModelStaging::ReplicasByDomain ReplicaPlanner::replicasByDomain(
    const PlannerInput& input, const PlanState& planState) const
{
    ModelStaging::ReplicasByDomain result;
    for (const auto& [domain, replicas] : planState.serving) {
        for (const ReplicaView* replica : replicas)
            ++result[domain][replica->model];
    }
    for (const Formation& formation : m_formations) {
        if (const Host* head = input.hosts.find(formation.members.front()))
            ++result[head->status.domain][formation.model];
    }
    return result;
}

void ReplicaPlanner::formReplicas(const PlannerInput& input, PlanState& planState, std::vector<HostOrder>& orders)
{
    m_staging.observeIdleHosts(planState.freeHosts, input.now);
    // All idle hosts are polled, including those not chosen now, so that later choices need not wait.
    bool allReported = true;
    for (const auto& [domain, hosts] : planState.freeHosts)
        allReported = requireReports(input, hosts) && allReported;
    if (!isHostListStable(input) || (input.isBeforeTraffic && !allReported))
        return;
    if (input.isBeforeTraffic)
        m_domainAssignment.assign(input.hosts, input.service, input.wantedReplicas);
    shiftReplicas(input, planState);
    for (const auto& [domain, hosts] : planState.freeHosts)
        planState.candidates[domain] = candidatesIn(input, hosts);
    size_t joins = formByDomainPlan(input, planState, orders);
    while (const Candidate* candidate = bestCandidate(input, planState)) {
        if (joins >= maxJoinsPerPlan)
            return;
        // Waiting for a report is better than the domain's next best choice. Other domains continue: after a partition
        // of 86 hosts, 240 stayed idle because every plan stopped at the best choice.
        if (!requireReports(input, candidate->members)) {
            planState.candidates[candidate->members.front()->status.domain].clear();
            continue;
        }
        formReplica(input, planState, *candidate, orders);
        joins += m_formations.back().members.size();
    }
    HostsByDomain unplanned;
    for (const auto& [domain, hosts] : planState.freeHosts)
        unplanned[domain] = unplannedHosts(domain, hosts);
    m_staging.plan(input, m_term->loads(), computeNeeds(input, planState), plannedLoads(), unplanned,
        replicasByDomain(input, planState), loadsOfFormations(input), orders);
    for (const auto& [domain, grouping] : m_groupings) {
        for (const PlannedReplica& replica : grouping) {
            for (const Host* host : replica.members)
                m_hostsToPollLater.insert(host->id);
        }
    }
    m_hostsToPollLater.insert(m_staging.hostsToPoll().begin(), m_staging.hostsToPoll().end());
}

void ReplicaPlanner::updateGroupings(
    const PlannerInput& input, const PlanState& planState, const WantedReplicas& wanted)
{
    m_groupings.clear();
    uint32_t loads = m_staging.loads() + loadsOfFormations(input) + m_term->loads().runningOfOthers(input.service.name);
    uint32_t maxLoads = m_term->loads().maxRunning();
    DomainPlanInput planInput { input.service, wanted, planState.replicaCounts,
        [&](const Host& host, const ModelSpec& model) { return m_staging.remainingLoad(host, model, input.now); },
        [&](const Host& host, const ModelSpec& model) { return m_staging.mayLoad(input, host, model); },
        maxLoads - std::min(loads, maxLoads) };
    for (const auto& [domain, hosts] : planState.freeHosts) {
        // The hosts of a domain with a shift are reserved for its model.
        if (!m_shifts.contains(domain))
            m_groupings[domain] = chooseGrouping(planInput, hosts);
    }
}

// The most valuable planned replica whose members all hold its model and have reported.
const PlannedReplica* ReplicaPlanner::bestFormable(
    const PlannerInput& input, std::set<std::string, std::less<>>& waitingDomains)
{
    const PlannedReplica* best = nullptr;
    for (const auto& [domain, grouping] : m_groupings) {
        if (waitingDomains.contains(domain))
            continue;
        for (const PlannedReplica& replica : grouping) {
            if (!replica.canFormNow || (best && replica.value <= best->value))
                continue;
            if (requireReports(input, replica.members))
                best = &replica;
            else
                waitingDomains.insert(domain);
        }
    }
    return best;
}

// Demand rises and falls within the time that a load takes, so loads are chosen by its recent peak.
void ReplicaPlanner::updatePeakWanted(const PlannerInput& input)
{
    Milliseconds period {};
    for (const ModelSpec& model : input.service.models)
        period = std::max(period, model.load);
    for (const auto& [model, wanted] : input.wantedReplicas) {
        auto& peaks = m_wantedPeaks[model];
        while (!peaks.empty() && peaks.back().second <= wanted)
            peaks.pop_back();
        peaks.emplace_back(input.now, wanted);
        while (input.now - peaks.front().first > period)
            peaks.pop_front();
    }
}

// Returns the number of joins ordered. First the replicas that the current demand needs, then those of its recent peak.
size_t ReplicaPlanner::formByDomainPlan(const PlannerInput& input, PlanState& planState, std::vector<HostOrder>& orders)
{
    m_groupings.clear();
    if (input.isBeforeTraffic || input.disabledMechanisms.contains(Mechanism::DomainPlan))
        return 0;
    updatePeakWanted(input);
    WantedReplicas peak;
    for (const auto& [model, wanted] : input.wantedReplicas)
        peak[model] = m_wantedPeaks.at(model).front().second;
    std::set<std::string, std::less<>> waitingDomains;
    size_t joins = formPlanned(input, planState, input.wantedReplicas, waitingDomains, maxJoinsPerPlan, orders);
    size_t remaining = maxJoinsPerPlan - std::min(joins, maxJoinsPerPlan);
    joins += formPlanned(input, planState, peak, waitingDomains, remaining, orders);
    for (const auto& [domain, hosts] : planState.freeHosts)
        planState.candidates[domain] = candidatesIn(input, unplannedHosts(domain, hosts));
    return joins;
}

// Leaves the groupings of the remaining hosts in m_groupings.
size_t ReplicaPlanner::formPlanned(const PlannerInput& input, PlanState& planState, const WantedReplicas& wanted,
    std::set<std::string, std::less<>>& waitingDomains, size_t maxJoins, std::vector<HostOrder>& orders)
{
    size_t joins = 0;
    updateGroupings(input, planState, wanted);
    while (joins < maxJoins) {
        const PlannedReplica* replica = bestFormable(input, waitingDomains);
        if (!replica)
            break;
        formReplica(input, planState, { replica->model, replica->members, 0 }, orders);
        joins += m_formations.back().members.size();
        updateGroupings(input, planState, wanted);
    }
    return joins;
}

// Without the hosts of planned replicas that cannot form yet, which are not available to models that have enough.
std::vector<const Host*> ReplicaPlanner::unplannedHosts(
    std::string_view domain, const std::vector<const Host*>& freeHosts) const
{
    std::vector<const Host*> result = freeHosts;
    auto grouping = m_groupings.find(domain);
    if (grouping == m_groupings.end())
        return result;
    for (const PlannedReplica& replica : grouping->second) {
        std::erase_if(result,
            [&](const Host* host) { return std::ranges::find(replica.members, host) != replica.members.end(); });
    }
    return result;
}

// Loads that complete a replica sooner, with fewer other loads, come first.
std::vector<ModelStaging::PlannedLoad> ReplicaPlanner::plannedLoads() const
{
    std::vector<ModelStaging::PlannedLoad> result;
    for (const auto& [domain, grouping] : m_groupings) {
        for (const PlannedReplica& replica : grouping) {
            for (const Host* host : replica.hostsToLoad)
                result.push_back(
                    { host, replica.model, replica.value / static_cast<double>(replica.hostsToLoad.size()) });
        }
    }
    return result;
}

bool ReplicaPlanner::isAnyModelShort(const PlannerInput& input, const Summary& summary) const
{
    return std::ranges::any_of(input.wantedReplicas, [&](const auto& entry) {
        auto countIn = [&](const auto& counts) {
            auto found = counts.find(entry.first);
            return found == counts.end() ? 0u : found->second;
        };
        return entry.second >= 1 + countIn(summary.open) + countIn(summary.forming);
    });
}

void ReplicaPlanner::summarizePlan(const PlannerInput& input, const HostsByDomain& freeHosts, Summary& summary) const
{
    const char* otherReason = isAnyModelShort(input, summary) ? "too_few_in_domain" : "not_needed";
    for (const auto& [domain, hosts] : freeHosts) {
        auto unplanned = static_cast<uint32_t>(hosts.size());
        auto grouping = m_groupings.find(domain);
        std::span<const PlannedReplica> replicas;
        if (grouping != m_groupings.end())
            replicas = grouping->second;
        for (const PlannedReplica& replica : replicas) {
            auto members = static_cast<uint32_t>(replica.members.size());
            unplanned -= std::min(unplanned, members);
            const char* reason = replica.canFormNow ? "report" : replica.hostsToLoad.empty() ? "load" : "load_queue";
            summary.freeByReason[reason] += members;
            std::string& planned = summary.plannedByDomain[domain];
            planned += fmt::format("{}{}: {} hosts, {} loads to begin, ready in {:.1f} s", planned.empty() ? "" : "; ",
                replica.model->name, members, replica.hostsToLoad.size(), toSeconds(replica.readyIn));
        }
        if (unplanned > 0)
            summary.freeByReason[m_shifts.contains(domain) ? "shift" : otherReason] += unplanned;
    }
}

// The candidate is part of planState and is invalid after its candidates are recomputed.
void ReplicaPlanner::formReplica(
    const PlannerInput& input, PlanState& planState, const Candidate& candidate, std::vector<HostOrder>& orders)
{
    Formation formation;
    formation.epoch = m_term->takeEpoch();
    formation.replica = fmt::format("replica-{}", formation.epoch);
    formation.model = candidate.model->name;
    formation.startedAt = input.now;
    std::string domain = candidate.members.front()->status.domain;
    for (const Host* host : candidate.members) {
        formation.members.push_back(host->id);
        formation.joins[host->id].expectedOrderCount = *m_orderCounts.currentCount(input.hosts, host->id);
        if (!host->status.hasLocalCopy(formation.model))
            formation.coldMembers.push_back(host->id);
    }
    m_shifts.erase(domain);
    ++planState.replicaCounts[formation.model];
    m_formations.push_back(std::move(formation));
    orderJoins(input, m_formations.back(), orders);
    const Formation& added = m_formations.back();
    m_formingHosts.insert(added.members.begin(), added.members.end());
    m_formingEpochs.insert(added.epoch);
    for (const std::string& id : added.members) {
        bool isLoading = std::ranges::find(added.coldMembers, id) != added.coldMembers.end();
        (isLoading ? m_hostsToPollLater : m_hostsToPoll).insert(id);
    }
    auto& freeHosts = planState.freeHosts.at(domain);
    std::erase_if(freeHosts, [this](const Host* host) { return m_formingHosts.contains(host->id); });
    planState.candidates[domain] = candidatesIn(input, unplannedHosts(domain, freeHosts));
}

} // namespace Kumquatpick
