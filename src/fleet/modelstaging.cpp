#include "fleet/modelstaging.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Limit of concurrent loads for second models, as loads of cold hosts have priority.
    constexpr uint32_t maxSecondModelLoads = 2;
    constexpr Milliseconds maxStagingDuration { 60'000 };
    // A host that refuses is already loading for an earlier controller, which may last as long as a load. Orders sent
    // to it in every plan used up the load rate of other hosts.
    constexpr Milliseconds refusalRetryDelay { 3000 };
    // Value of a load on an idle host that already holds a model, relative to a cold host: it may find a replica
    // without the load.
    constexpr double warmHostValueFactor = 0.5;
    // The hosts of a dissolved replica form others within seconds, once those of other dissolved replicas are free,
    // too. Loads ordered in that moment took all of the weight store for a load time, and hosts without a model had to
    // wait.
    constexpr Milliseconds minIdleBeforeReload { 2000 };
    // Part of the concurrent loads that hosts which hold a model may use; the rest is for those that hold none.
    constexpr uint32_t reloadDivisor = 2;
    // Spare hosts that a domain keeps for each replica of a model: several hosts are often lost in the time that the
    // load of another spare takes.
    constexpr uint32_t sparesPerReplica = 2;

    // The model to stage beside the host's last one. Empty if it has a second model already or has run none yet.
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

void ModelStaging::plan(const PlannerInput& input, LoadLimiter& limiter, const ModelNeeds& needs,
    std::vector<PlannedLoad> plannedLoads, const HostsByDomain& freeHosts, ReplicasByDomain replicas,
    uint32_t formationLoads, std::vector<HostOrder>& orders)
{
    m_limiter = &limiter;
    m_hostsToPoll.clear();
    m_replicas = std::move(replicas);
    m_formationLoads = formationLoads;
    removeFinished(input);
    stagePlanned(input, std::move(plannedLoads), orders);
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

// Whether a further spare host with the model is useful to replace a lost member of one of the domain's replicas. The
// remaining hosts of a replica of eight cannot serve that model without one: in domains of 19, the three spare hosts
// loaded the model with replicas of four, the remaining hosts joined them, and 40 replicas of eight became 15 in 16 s.
bool ModelStaging::canReplaceMember(std::string_view domain, const ModelSpec& model, uint32_t spares) const
{
    auto replicas = m_replicas.find(domain);
    if (replicas == m_replicas.end())
        return false;
    auto count = replicas->second.find(model.name);
    return count != replicas->second.end() && spares < count->second * sparesPerReplica;
}

void ModelStaging::stagePlanned(
    const PlannerInput& input, std::vector<PlannedLoad> plannedLoads, std::vector<HostOrder>& orders)
{
    m_pendingLoads = 0;
    std::ranges::stable_sort(plannedLoads, std::greater(), &PlannedLoad::value);
    for (const PlannedLoad& load : plannedLoads) {
        if (!mayLoad(input, *load.host, *load.model))
            continue;
        if (!load.host->status.lastModel.empty() && !mayReload(input, *load.host)) {
            ++m_pendingLoads;
            continue;
        }
        if (!tryAcquireLoad(input, m_limiter->maxRunning()))
            return;
        stage(input, *load.host, load.model->name, orders);
        m_hostsToPoll.insert(load.host->id);
    }
}

bool ModelStaging::mayLoad(const PlannerInput& input, const Host& host, const ModelSpec& model) const
{
    const HostStatus& status = host.status;
    if (status.hasLocalCopy(model.name) || m_stagings.contains(host.id) || m_refusedAt.contains(host.id))
        return false;
    bool isCold = status.lastModel.empty() && status.stagedModels.empty();
    return isCold || (!status.lastModel.empty() && !input.disabledMechanisms.contains(Mechanism::IdleHostReload));
}

bool ModelStaging::mayReload(const PlannerInput& input, const Host& host) const
{
    if (input.disabledMechanisms.contains(Mechanism::IdleHostReload))
        return false;
    if (input.isBeforeTraffic || input.disabledMechanisms.contains(Mechanism::DomainPlan))
        return true;
    auto idleSince = m_idleSince.find(host.id);
    if (idleSince == m_idleSince.end() || input.now - idleSince->second < minIdleBeforeReload)
        return false;
    auto reloads = std::ranges::count_if(m_stagings, [](const auto& entry) { return entry.second.isOfWarmHost; });
    return static_cast<uint32_t>(reloads) < std::max(1u, input.service.timing.concurrentLoads / reloadDivisor);
}

void ModelStaging::observeIdleHosts(const HostsByDomain& freeHosts, MonotonicTime now)
{
    std::map<std::string, MonotonicTime, std::less<>> idleSince;
    for (const auto& [domain, hosts] : freeHosts) {
        for (const Host* host : hosts) {
            auto known = m_idleSince.find(host->id);
            idleSince[host->id] = known == m_idleSince.end() ? now : known->second;
        }
    }
    m_idleSince = std::move(idleSince);
}

std::optional<Milliseconds> ModelStaging::remainingLoad(
    const Host& host, const ModelSpec& model, MonotonicTime now) const
{
    auto staging = m_stagings.find(host.id);
    if (staging == m_stagings.end() || staging->second.model != model.name)
        return std::nullopt;
    auto elapsed = std::chrono::floor<Milliseconds>(now - staging->second.startedAt);
    return std::max(model.load - elapsed, Milliseconds(0));
}

// Hosts that are idle after all replicas were formed hold no model, or one for which the domain has too few hosts. They
// load the model that is then closest to a further replica, the closest first.
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
        uint32_t maxLoads = m_limiter->maxRunning();
        if (!best || !tryAcquireLoad(input, maxLoads - std::min(maxLoads, m_pendingLoads)))
            return;
        stage(input, *best->host, best->model, orders);
    }
}

void ModelStaging::considerIdleHost(const PlannerInput& input, const Host& host, const std::vector<const Host*>& idle,
    const ModelNeeds& needs, std::optional<IdleLoad>& best) const
{
    const HostStatus& status = host.status;
    bool isCold = status.lastModel.empty() && status.stagedModels.empty();
    // A load replaces the staged copy, which is the only model of a host that has run none yet.
    bool wouldEvictOnlyCopy = status.lastModel.empty() && !isCold;
    if (wouldEvictOnlyCopy || (!isCold && !mayReload(input, host)))
        return;
    uint32_t largest = 1;
    for (const ModelSpec& model : input.service.models)
        largest = std::max(largest, model.hostsPerReplica);
    for (const ModelSpec& model : input.service.models) {
        if (status.hasLocalCopy(model.name))
            continue;
        auto holders = static_cast<uint32_t>(std::ranges::count_if(idle, [&](const Host* other) {
            return other->status.hasLocalCopy(model.name) || isStaging(*other, model.name);
        }));
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
        if (!tryAcquireLoad(input, maxSecondModelLoads, true))
            return;
        stage(input, host, model, orders);
    }
}

bool ModelStaging::isStaging(const Host& host, std::string_view model) const
{
    auto staging = m_stagings.find(host.id);
    return staging != m_stagings.end() && staging->second.model == model;
}

bool ModelStaging::tryAcquireLoad(const PlannerInput& input, uint32_t maxConcurrentLoads, bool mayWait)
{
    if (input.isBeforeTraffic)
        return true;
    return m_limiter->tryBegin(
        { input.service.name, loads() + m_formationLoads, maxConcurrentLoads, mayWait }, input.now);
}

void ModelStaging::stage(
    const PlannerInput& input, const Host& host, std::string_view model, std::vector<HostOrder>& orders)
{
    bool isWarm = !host.status.lastModel.empty() || !host.status.stagedModels.empty();
    m_stagings[host.id] = { std::string(model), input.now, isWarm };
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
