#include "fleet/replicaplanner.h"

#include <algorithm>
#include <fmt/format.h>

// Of the planner: which replicas to form of idle hosts, and which to take apart for a model that is shorter.

namespace Kumquatpick {

namespace {

    // A warm load delays a replica by a second or two; joining the model that a host ran last does not.
    constexpr double warmCost = 0.1;
    constexpr Milliseconds longestShift { 5000 };
    // At the very start hosts appear in the list one by one, some forty a second; where each model is at home is
    // settled once they have. Begun half a second earlier, pairs of early hosts spoilt a domain of ten for the large
    // model.
    constexpr Milliseconds settledAfter { 600 };
    // Loads are short then and take some three seconds in all. Begun after 3.5 s, when a third of 162 hosts were yet to
    // appear, pairs took most of their domains: 4 replicas of eight hosts formed of the 10 that were wanted.
    constexpr Milliseconds longestSettling { 7000 };

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
            bool isLoaded = host && host->isMemberOf(formation.replica, formation.epoch)
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

} // namespace Kumquatpick
