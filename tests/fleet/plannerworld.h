#pragma once

#include "fleet/replicaplanner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Simulates hosts that execute orders at once, with one planner and simulated time. Tests may replace how hosts handle
// orders and what the planner observes of them.
class PlannerWorld {
public:
    explicit PlannerWorld(std::vector<ModelSpec> models)
        : planner(7)
    {
        service.name = "writers";
        service.models = std::move(models);
        service.timing.loadsPerSecond = 5;
        service.timing.concurrentLoads = 7;
        for (const ModelSpec& model : service.models)
            wantedReplicas[model.name] = 10;
    }

    void addHost(const std::string& id, const std::string& domain, const std::string& zone = {})
    {
        Host host;
        host.id = id;
        host.service = service.name;
        host.address = { "10.0.0.1", static_cast<uint16_t>(1000 + table.hosts().size()) };
        host.status.domain = domain;
        host.zone = zone;
        table.applyListEntry(host, now);
    }

    // Runs the planner for this duration; handleOrder executes each order.
    void run(Milliseconds duration)
    {
        for (MonotonicTime end = now + duration; now < end; now += Milliseconds(100)) {
            PlannerInput input { now, table, service, wantedReplicas,
                [this](std::string_view id) {
                    auto found = contacts.find(std::string(id));
                    return found == contacts.end() ? HostContact::Reachable : found->second;
                },
                [this](std::string_view id) { return stalledHeads.contains(std::string(id)); }, isBeforeTraffic, {},
                [this](std::string_view id) {
                    auto found = inFlight.find(id);
                    return found == inFlight.end() ? 0u : found->second;
                },
                [this](std::string_view zone) { return evacuatedZones.contains(zone); },
                [this](std::string_view id) {
                    auto found = progressAt.find(id);
                    return found == progressAt.end() ? std::nullopt : std::optional(found->second);
                },
                isObserverCutOff };
            for (const HostOrder& order : planner.plan(input)) {
                orders.push_back(order);
                planner.orderEnded(order, handleOrder(order), now);
            }
            reportAwaitedHosts();
            finishClosing();
        }
    }

    // Heads whose requests have ended since they were closed return to ready.
    void finishClosing()
    {
        if (!closingDuration)
            return;
        for (const auto& [id, closedAt] : std::exchange(m_closedAt, {})) {
            const Host* host = table.find(id);
            if (!host || !host->status.membership || host->status.membership->state != MemberState::Closing)
                continue;
            if (now - closedAt < *closingDuration) {
                m_closedAt.emplace(id, closedAt);
                continue;
            }
            HostStatus status = host->status;
            status.membership->state = MemberState::Ready;
            status.ordersAccepted = ordersAccepted[id];
            table.applyReport(id, status, now += Milliseconds(1));
        }
    }

    // Hosts that the planner polls report their status 1 ms later.
    void reportAwaitedHosts()
    {
        now += Milliseconds(1);
        std::set<std::string, std::less<>> polledHosts = planner.hostsToPoll();
        polledHosts.insert(planner.hostsToPollLater().begin(), planner.hostsToPollLater().end());
        for (const std::string& id : polledHosts) {
            const Host* host = table.find(id);
            if (!host || nonReportingHosts.contains(id))
                continue;
            HostStatus status = host->status;
            status.ordersAccepted = ordersAccepted[id];
            table.applyReport(id, status, now);
        }
    }

    OrderResult applyOrder(const HostOrder& order)
    {
        const Host* host = table.find(order.hostId);
        if (!host)
            return OrderResult::Lost;
        if (order.expectedOrderCount && *order.expectedOrderCount != ordersAccepted[order.hostId])
            return OrderResult::Unfit;
        HostStatus status = host->status;
        bool isMember = status.membership && status.membership->isOf(order.replica, order.epoch);
        if (order.kind == OrderKind::Leave && !isMember)
            return OrderResult::Holds;
        switch (order.kind) {
        case OrderKind::Join: {
            auto position = std::ranges::find(order.members, order.hostId);
            bool mustLoad = status.lastModel != order.model
                && std::ranges::find(status.stagedModels, order.model) == status.stagedModels.end();
            if (mustLoad) {
                ++loadsByJoin;
                status.stagedModels = { order.model };
            }
            status.model = order.model;
            status.membership = Membership { order.replica, order.epoch,
                static_cast<uint32_t>(position - order.members.begin()), MemberState::Ready };
            break;
        }
        case OrderKind::Open:
        case OrderKind::Close:
            if (!isMember)
                return OrderResult::Unfit;
            status.membership->state = order.kind == OrderKind::Open ? MemberState::Open : MemberState::Closing;
            if (order.kind == OrderKind::Close)
                m_closedAt.try_emplace(order.hostId, now);
            break;
        case OrderKind::Stage:
            ++loadsByStage;
            status.stagedModels = { order.model };
            break;
        case OrderKind::Leave:
            status.membership.reset();
            break;
        }
        status.ordersAccepted = ++ordersAccepted[order.hostId];
        table.applyReport(order.hostId, status, now += Milliseconds(1));
        return order.kind == OrderKind::Leave ? OrderResult::Holds : OrderResult::Accepted;
    }

    std::vector<HostOrder> ordersTo(const std::string& id, OrderKind kind) const
    {
        std::vector<HostOrder> result;
        std::ranges::copy_if(orders, std::back_inserter(result),
            [&](const HostOrder& order) { return order.hostId == id && order.kind == kind; });
        return result;
    }

    std::vector<ReplicaView> openReplicas() const
    {
        std::vector<ReplicaView> result = table.replicas();
        std::erase_if(result, [](const ReplicaView& replica) {
            return !replica.head || replica.head->status.membership->state != MemberState::Open;
        });
        return result;
    }

    ServiceSpec service;
    HostTable table;
    ReplicaPlanner planner;
    std::map<std::string, double, std::less<>> wantedReplicas;
    std::map<std::string, HostContact> contacts;
    std::set<std::string> stalledHeads;
    std::set<std::string, std::less<>> evacuatedZones;
    std::map<std::string, uint32_t, std::less<>> inFlight; // Requests by host.
    std::set<std::string, std::less<>> nonReportingHosts; // Listed hosts that do not report.
    std::map<std::string, uint64_t, std::less<>> ordersAccepted; // As counted by the hosts.
    std::optional<Milliseconds> closingDuration; // How long a closed head finishes its requests; nothing: for ever.
    std::map<std::string, MonotonicTime, std::less<>> progressAt; // Of the streams, by head.
    bool isObserverCutOff = false;
    bool isBeforeTraffic = true;
    std::function<OrderResult(const HostOrder&)> handleOrder
        = [this](const HostOrder& order) { return applyOrder(order); };
    std::vector<HostOrder> orders;
    int loadsByJoin = 0; // From the weight store.
    int loadsByStage = 0;
    MonotonicTime now { std::chrono::hours(1) };

private:
    std::map<std::string, MonotonicTime> m_closedAt; // By head.
};

inline ModelSpec makeModel(std::string name, uint32_t hosts)
{
    ModelSpec model;
    model.name = std::move(name);
    model.hostsPerReplica = hosts;
    model.load = Milliseconds(16'000);
    model.warmLoad = Milliseconds(1600);
    return model;
}

} // namespace Kumquatpick
