#include "fleet/modelstaging.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Of the weight store's loads, for second models: cold hosts go first.
    constexpr uint32_t secondModelLoads = 2;
    constexpr Milliseconds longestStaging { 60'000 };
    // A host that refuses is loading already, for an earlier controller; it may take as long as a load. One that was
    // asked at each turn used up what other hosts might have loaded.
    constexpr Milliseconds askAgainAfter { 3000 };
    // Loads that may begin at the same moment, of those that a few seconds allow.
    constexpr double loadBurst = 5;
    // What a load is worth on an idle host that has a model already: that one may find its replica by itself.
    constexpr double warmHostShare = 0.5;
    // Spare hosts that a domain keeps for each of its replicas of a model: several hosts are often lost within the
    // seconds that it takes to load another spare.
    constexpr uint32_t sparesPerReplica = 2;

    // Empty if the host has one, or ran none yet.
    std::string_view secondModel(const ServiceSpec& service, const Host& host, const ModelNeeds& needs)
    {
        bool isJoining = host.status.membership && host.status.membership->state == MemberState::Joining;
        if (host.status.lastModel.empty() || isJoining)
            return {};
        const ModelSpec* best = nullptr;
        for (const ModelSpec& model : service.models) {
            if (model.name == host.status.lastModel)
                continue;
            if (host.status.isStaged(model.name))
                return {};
            if (!best || needs.at(model.name) > needs.at(best->name))
                best = &model;
        }
        return best ? std::string_view(best->name) : std::string_view();
    }

}

void ModelStaging::plan(const PlannerInput& input, const ModelNeeds& needs, const HostsByDomain& freeHosts,
    ReplicasByDomain replicas, uint32_t otherLoads, std::vector<HostOrder>& orders)
{
    m_awaited.clear();
    m_replicas = std::move(replicas);
    m_otherLoads = otherLoads;
    dropEnded(input);
    stageIdleHosts(input, needs, freeHosts, orders);
    if (!input.off.contains(Mechanism::SecondModels))
        stageSecondModels(input, needs, orders);
}

void ModelStaging::dropEnded(const PlannerInput& input)
{
    std::erase_if(m_stagings, [&](const auto& entry) {
        const Host* host = input.hosts.find(entry.first);
        return !host || host->status.isStaged(entry.second.model) || input.now - entry.second.begun > longestStaging;
    });
    std::erase_if(m_refused, [&](const auto& entry) { return input.now - entry.second >= askAgainAfter; });
}

// Whether a spare host that holds the model could take the place of a host that one of the domain's replicas loses.
// What is left of a replica of eight is of no use to that model without it: in domains of nineteen, the three spare
// hosts loaded the model of four, survivors joined them, and 40 replicas of eight became 15 within sixteen seconds.
bool ModelStaging::mendsReplica(std::string_view domain, const ModelSpec& model, uint32_t spares) const
{
    auto replicas = m_replicas.find(domain);
    if (replicas == m_replicas.end())
        return false;
    auto count = replicas->second.find(model.name);
    return count != replicas->second.end() && spares < count->second * sparesPerReplica;
}

// Whoever is still idle after all replicas were formed is stuck: it holds nothing, or what its domain lacks hosts for.
// Such hosts load the model that they bring nearest to a further replica, the nearest first.
void ModelStaging::stageIdleHosts(
    const PlannerInput& input, const ModelNeeds& needs, const HostsByDomain& freeHosts, std::vector<HostOrder>& orders)
{
    for (;;) {
        std::optional<IdleLoad> best;
        for (const auto& [domain, hosts] : freeHosts) {
            for (const Host* host : hosts) {
                if (m_stagings.contains(host->id))
                    m_awaited.insert(host->id);
                else if (!m_refused.contains(host->id))
                    chooseIdleLoad(input, *host, hosts, needs, best);
            }
        }
        if (!best || !mayLoad(input, input.service.timing.concurrentLoads))
            return;
        stage(input, *best->host, best->model, orders);
    }
}

void ModelStaging::chooseIdleLoad(const PlannerInput& input, const Host& host, const std::vector<const Host*>& idle,
    const ModelNeeds& needs, std::optional<IdleLoad>& best) const
{
    const HostStatus& status = host.status;
    bool isCold = status.lastModel.empty() && status.stagedModels.empty();
    // A load takes the place of the staged copy, which is all that a host has which ran nothing yet.
    bool wouldLoseItsOnly = status.lastModel.empty() && !isCold;
    if (wouldLoseItsOnly || (!isCold && input.off.contains(Mechanism::StuckLoads)))
        return;
    uint32_t largest = 1;
    for (const ModelSpec& model : input.service.models)
        largest = std::max(largest, model.hostsPerReplica);
    for (const ModelSpec& model : input.service.models) {
        if (status.holds(model.name))
            continue;
        auto holders = static_cast<uint32_t>(std::ranges::count_if(
            idle, [&](const Host* other) { return other->status.holds(model.name) || isStaging(*other, model.name); }));
        double missing = model.hostsPerReplica > holders ? model.hostsPerReplica - holders : 1;
        double use = 1 / missing;
        if (isCold && mendsReplica(status.domain, model, holders))
            use = std::max(use, static_cast<double>(model.hostsPerReplica) / largest);
        double value = needs.at(model.name) * use * (isCold ? 1 : warmHostShare);
        if (!best || value > best->value)
            best = IdleLoad { &host, model.name, value };
    }
}

void ModelStaging::stageSecondModels(const PlannerInput& input, const ModelNeeds& needs, std::vector<HostOrder>& orders)
{
    for (const auto& [id, host] : input.hosts.hosts()) {
        bool isOfService = host.service == input.service.name && input.isUsable(id);
        if (!isOfService || m_stagings.contains(id) || m_refused.contains(id))
            continue;
        std::string_view model = secondModel(input.service, host, needs);
        if (model.empty())
            continue;
        if (!mayLoad(input, secondModelLoads))
            return;
        stage(input, host, model, orders);
    }
}

bool ModelStaging::isStaging(const Host& host, std::string_view model) const
{
    auto staging = m_stagings.find(host.id);
    return staging != m_stagings.end() && staging->second.model == model;
}

bool ModelStaging::mayLoad(const PlannerInput& input, uint32_t atOnce)
{
    if (input.loadsAreFree)
        return true;
    if (loads() + m_otherLoads >= atOnce)
        return false;
    double elapsed = m_loadTokensAt ? toSeconds(input.now - *m_loadTokensAt) : loadBurst;
    m_loadTokensAt = input.now;
    m_loadTokens = std::min(loadBurst, m_loadTokens + elapsed * input.service.timing.loadsPerSecond);
    if (m_loadTokens < 1)
        return false;
    m_loadTokens -= 1;
    return true;
}

void ModelStaging::stage(
    const PlannerInput& input, const Host& host, std::string_view model, std::vector<HostOrder>& orders)
{
    m_stagings[host.id] = { std::string(model), input.now };
    HostOrder order;
    order.kind = OrderKind::Stage;
    order.hostId = host.id;
    order.model = model;
    orders.push_back(std::move(order));
}

void ModelStaging::orderEnded(const HostOrder& order, OrderResult result, MonotonicTime now)
{
    bool hasBegun = result == OrderResult::Accepted || result == OrderResult::Holds;
    if (order.kind != OrderKind::Stage || hasBegun)
        return;
    m_stagings.erase(order.hostId);
    if (result == OrderResult::Unfit)
        m_refused[order.hostId] = now;
}

} // namespace Kumquatpick
