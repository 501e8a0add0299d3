#include "fleet/replicaplanner.h"

#include <algorithm>
#include <fmt/format.h>

// Of the planner: which replicas to form of idle hosts, and which to take apart for a model that is shorter.

namespace Kumquatpick {

namespace {

    // A warm load delays a replica by a second or two; joining the model that a host ran last does not.
    constexpr double warmCost = 0.1;
    constexpr Milliseconds longestShift { 5000 };
    // One shift takes three seconds. In forty domains a single one at a time left a model with a seventh of the
    // replicas that it needed, for half a minute; a small fleet has one all the same.
    constexpr size_t domainsPerShift = 8;
    // At the very start hosts appear in the list one by one, some forty a second; where each model is at home is
    // settled once they have. Begun half a second earlier, pairs of early hosts spoilt a domain of ten for the large
    // model.
    constexpr Milliseconds settledAfter { 600 };
    // Loads are short then and take some three seconds in all. Begun after 3.5 s, when a third of 162 hosts were yet to
    // appear, pairs took most of their domains: 4 replicas of eight hosts formed of the 10 that were wanted.
    constexpr Milliseconds longestSettling { 7000 };
    // The orders of a whole fleet in one moment kept a node's event loop for a second. At ten plans a second these are
    // 760 hosts in 0.8 s. Loads that are free share no rate: held to twice the loads that the weight store runs at once
    // during traffic, a fleet of 60 hosts had half of its replicas when traffic began.
    constexpr size_t joinsPerPlan = 96;

}

ModelNeeds ReplicaPlanner::needs(const PlannerInput& input, const View& view) const
{
    ModelNeeds result;
    for (const ModelSpec& model : input.service.models) {
        auto wanted = input.wanted.find(model.name);
        auto have = view.have.find(model.name);
        result[model.name]
            = wanted == input.wanted.end() ? 0 : wanted->second / (1 + (have == view.have.end() ? 0 : have->second));
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
std::optional<ReplicaPlanner::Candidate> ReplicaPlanner::candidateIn(
    const PlannerInput& input, const ModelSpec& model, const std::vector<const Host*>& freeHosts) const
{
    Candidate candidate;
    candidate.model = &model;
    std::ranges::copy_if(freeHosts, std::back_inserter(candidate.members),
        [&](const Host* host) { return input.loadsAreFree || host->status.holds(model.name); });
    if (candidate.members.size() < model.hostsPerReplica)
        return std::nullopt;
    auto cost = [&](const Host* host) {
        if (host->status.lastModel == model.name)
            return 0.0;
        return host->status.holds(model.name) ? warmCost : 1.0;
    };
    std::ranges::stable_sort(candidate.members, {}, cost);
    candidate.members.resize(model.hostsPerReplica);
    for (const Host* host : candidate.members)
        candidate.cost += input.loadsAreFree ? 0 : cost(host);
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

const ReplicaPlanner::Candidate* ReplicaPlanner::bestCandidate(const PlannerInput& input, const View& view) const
{
    ModelNeeds needed = needs(input, view);
    const Candidate* best = nullptr;
    double bestValue = 0;
    for (const auto& [domain, candidates] : view.candidates) {
        const ModelSpec* home = input.service.model(m_homes.homeOf(domain));
        // Only until that model has what is wanted: what is left of its domains may serve others.
        bool homeFirst = input.loadsAreFree && !input.off.contains(Mechanism::Homes) && home
            && view.freeHosts.at(domain).size() >= home->hostsPerReplica && needed.at(home->name) > 1;
        for (const Candidate& candidate : candidates) {
            const ModelSpec& model = *candidate.model;
            double value = needed.at(model.name) / (1 + candidate.cost);
            if (value <= bestValue || isKeptFor(domain, model.name) || (homeFirst && &model != home))
                continue;
            if (isKeptForLarger(input, view, domain, model))
                continue;
            best = &candidate;
            bestValue = value;
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
    auto shift = m_shifts.find(domain);
    return shift != m_shifts.end() && shift->second.model != otherModel;
}

bool ReplicaPlanner::isKeptForLarger(
    const PlannerInput& input, const View& view, const std::string& domain, const ModelSpec& model) const
{
    if (input.loadsAreFree || input.off.contains(Mechanism::LargerFirst))
        return false;
    auto serving = view.serving.find(domain);
    ShiftDomain stock { domain, view.freeHosts.at(domain),
        serving == view.serving.end() ? std::vector<const ReplicaView*>() : serving->second };
    return areKeptForLarger({ input.service, input.wanted, view.have, {},
                                [this](const Host& host, std::string_view larger) {
                                    return host.status.holds(larger) || m_staging.isStaging(host, larger);
                                } },
        stock, model);
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

std::vector<ShiftDomain> ReplicaPlanner::shiftDomains(const View& view) const
{
    std::map<std::string, ShiftDomain> domains;
    for (const auto& [domain, hosts] : view.freeHosts)
        domains[domain].freeHosts = hosts;
    for (const auto& [domain, replicas] : view.serving)
        domains[domain].replicas = replicas;
    std::vector<ShiftDomain> result;
    for (auto& [name, domain] : domains) {
        domain.name = name;
        result.push_back(std::move(domain));
    }
    return result;
}

// As they will be once the shifts under way are over.
std::map<std::string, uint32_t> ReplicaPlanner::replicasAfterShifts(const View& view) const
{
    std::map<std::string, uint32_t> have = view.have;
    std::map<ReplicaKey, std::string> models;
    for (const ReplicaView& replica : view.replicas) {
        if (!isDissolving(replica))
            models[{ replica.name, replica.epoch }] = replica.model;
    }
    for (const auto& [domain, shift] : m_shifts) {
        ++have[shift.model];
        for (const ReplicaKey& replica : shift.replicas) {
            auto model = models.find(replica);
            if (model != models.end() && have[model->second] > 0)
                --have[model->second];
        }
    }
    return have;
}

// One in each domain, and few at a time: what a shift frees shows in the needs before many more follow.
void ReplicaPlanner::shiftReplicas(const PlannerInput& input, const View& view)
{
    std::erase_if(m_shifts, [&](const auto& entry) { return input.now - entry.second.begun > longestShift; });
    if (input.loadsAreFree || input.off.contains(Mechanism::Shift))
        return;
    auto domains = shiftDomains(view);
    size_t mostShifts = 1 + domains.size() / domainsPerShift;
    std::erase_if(domains, [this](const ShiftDomain& domain) { return m_shifts.contains(domain.name); });
    while (m_shifts.size() < mostShifts) {
        auto have = replicasAfterShifts(view);
        auto shift = chooseShift({ input.service, input.wanted, have, domains,
            [&](const Host& host, std::string_view model) { return host.status.holds(model); } });
        if (!shift)
            return;
        for (const auto& replica : shift->replicas)
            m_watches[replica].retiringSince = input.now;
        std::erase_if(domains, [&](const ShiftDomain& domain) { return domain.name == shift->domain; });
        m_shifts[shift->domain] = { std::move(shift->model), std::move(shift->replicas), input.now };
    }
}

ModelStaging::ReplicasByDomain ReplicaPlanner::replicasByDomain(const PlannerInput& input, const View& view) const
{
    ModelStaging::ReplicasByDomain result;
    for (const auto& [domain, replicas] : view.serving) {
        for (const ReplicaView* replica : replicas)
            ++result[domain][replica->model];
    }
    for (const Formation& formation : m_formations) {
        if (const Host* head = input.hosts.find(formation.members.front()))
            ++result[head->status.domain][formation.model];
    }
    return result;
}

void ReplicaPlanner::formReplicas(const PlannerInput& input, View& view, std::vector<HostOrder>& orders)
{
    // All idle hosts are asked, also those that are not chosen now: the next choice then finds what it needs.
    bool allReported = true;
    for (const auto& [domain, hosts] : view.freeHosts)
        allReported = awaitReports(input, hosts) && allReported;
    if (!hasSettled(input) || (input.loadsAreFree && !allReported))
        return;
    if (input.loadsAreFree)
        m_homes.assign(input.hosts, input.service, input.wanted);
    shiftReplicas(input, view);
    for (const auto& [domain, hosts] : view.freeHosts)
        view.candidates[domain] = candidatesIn(input, hosts);
    size_t joins = 0;
    while (const Candidate* candidate = bestCandidate(input, view)) {
        if (joins >= joinsPerPlan)
            return;
        // A choice that waits for a report of one of its hosts is better than the next best one of its domain. Other
        // domains go on: after a partition of 86 hosts, 240 stood idle while the best choice waited each time.
        if (!awaitReports(input, candidate->members)) {
            view.candidates[candidate->members.front()->status.domain].clear();
            continue;
        }
        formReplica(input, view, *candidate, orders);
        joins += m_formations.back().members.size();
    }
    m_staging.plan(
        input, needs(input, view), view.freeHosts, replicasByDomain(input, view), loadsOfFormations(input), orders);
    m_awaitedLater.insert(m_staging.awaited().begin(), m_staging.awaited().end());
}

// The candidate is the view's, which changes with it.
void ReplicaPlanner::formReplica(
    const PlannerInput& input, View& view, const Candidate& candidate, std::vector<HostOrder>& orders)
{
    Formation formation;
    formation.epoch = m_nextEpoch++;
    formation.replica = fmt::format("replica-{}", formation.epoch);
    formation.model = candidate.model->name;
    formation.begun = input.now;
    std::string domain = candidate.members.front()->status.domain;
    for (const Host* host : candidate.members) {
        formation.members.push_back(host->id);
        formation.joins[host->id].expectedOrders = *m_orderCounts.known(input.hosts, host->id);
        if (!host->status.holds(formation.model))
            formation.coldMembers.push_back(host->id);
    }
    m_shifts.erase(domain);
    ++view.have[formation.model];
    m_formations.push_back(std::move(formation));
    orderJoins(input, m_formations.back(), orders);
    const Formation& begun = m_formations.back();
    m_forming.insert(begun.members.begin(), begun.members.end());
    m_formingEpochs.insert(begun.epoch);
    for (const std::string& id : begun.members) {
        bool isLoading = std::ranges::find(begun.coldMembers, id) != begun.coldMembers.end();
        (isLoading ? m_awaitedLater : m_awaited).insert(id);
    }
    auto& freeHosts = view.freeHosts.at(domain);
    std::erase_if(freeHosts, [this](const Host* host) { return m_forming.contains(host->id); });
    view.candidates[domain] = candidatesIn(input, freeHosts);
}

} // namespace Kumquatpick
