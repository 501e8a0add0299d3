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
    uint32_t otherLoads, std::vector<HostOrder>& orders)
{
    m_awaited.clear();
    m_otherLoads = otherLoads;
    dropEnded(input);
    stageIdleHosts(input, needs, freeHosts, orders);
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

// Idle hosts that can serve no model load the one that they bring nearest to a further replica, the nearest first.
void ModelStaging::stageIdleHosts(
    const PlannerInput& input, const ModelNeeds& needs, const HostsByDomain& freeHosts, std::vector<HostOrder>& orders)
{
    for (;;) {
        std::optional<FirstModel> best;
        for (const auto& [domain, hosts] : freeHosts) {
            for (const Host* host : hosts) {
                if (m_stagings.contains(host->id))
                    m_awaited.insert(host->id);
                else if (host->status.lastModel.empty() && host->status.stagedModels.empty()
                    && !m_refused.contains(host->id))
                    chooseFirstModel(input, *host, needs, best);
            }
        }
        if (!best || !mayLoad(input, input.service.timing.concurrentLoads))
            return;
        stage(input, *best->host, best->model, orders);
    }
}

// What the host's domain needs most, by the hosts that a replica of it still lacks there. Members of replicas of other
// models that hold it too could give way.
void ModelStaging::chooseFirstModel(
    const PlannerInput& input, const Host& host, const ModelNeeds& needs, std::optional<FirstModel>& best) const
{
    for (const ModelSpec& model : input.service.models) {
        auto holders = static_cast<double>(std::ranges::count_if(input.hosts.hosts(), [&](const auto& entry) {
            const Host& other = entry.second;
            bool runsIt = other.status.membership && other.status.model == model.name;
            return other.status.domain == host.status.domain && !runsIt && input.isUsable(other.id)
                && (other.status.holds(model.name) || isStaging(other, model.name));
        }));
        double value = needs.at(model.name) / std::max(1.0, model.hostsPerReplica - holders);
        if (!best || value > best->value)
            best = FirstModel { &host, model.name, value };
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
