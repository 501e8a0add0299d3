#include "fleet/modelstaging.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Of the weight store's loads, for second models: cold hosts go first.
    constexpr uint32_t maxSecondModelLoads = 2;
    constexpr Milliseconds maxStagingDuration { 60'000 };
    // A host that refuses is loading already, for an earlier controller; it may take as long as a load. One that was
    // asked at each turn used up what other hosts might have loaded.
    constexpr Milliseconds refusalRetryDelay { 3000 };
    // Loads that may begin at the same moment, of those that a few seconds allow.
    constexpr double loadBurst = 5;
    // What a load is worth on an idle host that has a model already: that one may find its replica by itself.
    constexpr double warmHostValueFactor = 0.5;
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
    ReplicasByDomain replicas, uint32_t formationLoads, std::vector<HostOrder>& orders)
{
    m_hostsToPoll.clear();
    m_replicas = std::move(replicas);
    m_formationLoads = formationLoads;
    removeFinished(input);
    stageIdleHosts(input, needs, freeHosts, orders);
    if (!input.disabledMechanisms.contains(Mechanism::SecondModels))
        stageSecondModels(input, needs, orders);
}

void ModelStaging::removeFinished(const PlannerInput& input)
{
    std::erase_if(m_stagings, [&](const auto& entry) {
        const Host* host = input.hosts.find(entry.first);
        return !host || host->status.isStaged(entry.second.model)
            || input.now - entry.second.startedAt > maxStagingDuration;
    });
    std::erase_if(m_refusedAt, [&](const auto& entry) { return input.now - entry.second >= refusalRetryDelay; });
}

// Whether a spare host that holds the model could take the place of a host that one of the domain's replicas loses.
// What is left of a replica of eight is of no use to that model without it: in domains of nineteen, the three spare
// hosts loaded the model of four, survivors joined them, and 40 replicas of eight became 15 within sixteen seconds.
bool ModelStaging::canReplaceMember(std::string_view domain, const ModelSpec& model, uint32_t spares) const
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
                    m_hostsToPoll.insert(host->id);
                else if (!m_refusedAt.contains(host->id))
                    considerIdleHost(input, *host, hosts, needs, best);
            }
        }
        if (!best || !tryAcquireLoad(input, input.service.timing.concurrentLoads))
            return;
        stage(input, *best->host, best->model, orders);
    }
}

void ModelStaging::considerIdleHost(const PlannerInput& input, const Host& host, const std::vector<const Host*>& idle,
    const ModelNeeds& needs, std::optional<IdleLoad>& best) const
{
    const HostStatus& status = host.status;
    bool isCold = status.lastModel.empty() && status.stagedModels.empty();
    // A load takes the place of the staged copy, which is all that a host has which ran nothing yet.
    bool wouldEvictOnlyCopy = status.lastModel.empty() && !isCold;
    if (wouldEvictOnlyCopy || (!isCold && input.disabledMechanisms.contains(Mechanism::StuckLoads)))
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
        double benefit = 1 / missing;
        if (isCold && canReplaceMember(status.domain, model, holders))
            benefit = std::max(benefit, static_cast<double>(model.hostsPerReplica) / largest);
        double value = needs.at(model.name) * benefit * (isCold ? 1 : warmHostValueFactor);
        if (!best || value > best->value)
            best = IdleLoad { &host, model.name, value };
    }
}

void ModelStaging::stageSecondModels(const PlannerInput& input, const ModelNeeds& needs, std::vector<HostOrder>& orders)
{
    for (const auto& [id, host] : input.hosts.hosts()) {
        bool isOfService = host.service == input.service.name && input.isUsable(id);
        if (!isOfService || m_stagings.contains(id) || m_refusedAt.contains(id))
            continue;
        std::string_view model = secondModel(input.service, host, needs);
        if (model.empty())
            continue;
        if (!tryAcquireLoad(input, maxSecondModelLoads))
            return;
        stage(input, host, model, orders);
    }
}

bool ModelStaging::isStaging(const Host& host, std::string_view model) const
{
    auto staging = m_stagings.find(host.id);
    return staging != m_stagings.end() && staging->second.model == model;
}

bool ModelStaging::tryAcquireLoad(const PlannerInput& input, uint32_t maxConcurrentLoads)
{
    if (input.isBeforeTraffic)
        return true;
    if (loads() + m_formationLoads >= maxConcurrentLoads)
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
        m_refusedAt[order.hostId] = now;
}

} // namespace Kumquatpick
