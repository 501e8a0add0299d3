#pragma once

#include "fleet/hostworld.h"
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

// Hosts of one service and its planner. Tests may replace how hosts handle orders and what the planner observes of
// them.
class PlannerWorld : public HostWorld {
public:
    explicit PlannerWorld(std::vector<ModelSpec> models)
        : term(7)
        , planner(term)
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
        addHostOf(service.name, id, domain, zone);
    }

    // A later controller takes over.
    void startTerm(uint64_t fencing)
    {
        term = ControllerTerm(fencing);
        planner = ReplicaPlanner(term);
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
                [this](std::string_view id) { return stalledHeads.contains(std::string(id)); }, isBeforeTraffic,
                disabledMechanisms,
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

    // Hosts that the planner polls report their status 1 ms later.
    void reportAwaitedHosts()
    {
        std::set<std::string, std::less<>> polledHosts = planner.hostsToPoll();
        polledHosts.insert(planner.hostsToPollLater().begin(), planner.hostsToPollLater().end());
        report(polledHosts);
    }

    std::vector<HostOrder> ordersTo(const std::string& id, OrderKind kind) const
    {
        std::vector<HostOrder> result;
        std::ranges::copy_if(orders, std::back_inserter(result),
            [&](const HostOrder& order) { return order.hostId == id && order.kind == kind; });
        return result;
    }

    ServiceSpec service;
    ControllerTerm term;
    ReplicaPlanner planner;
    std::map<std::string, double, std::less<>> wantedReplicas;
    std::map<std::string, HostContact> contacts;
    std::set<std::string> stalledHeads;
    std::set<std::string, std::less<>> evacuatedZones;
    std::map<std::string, uint32_t, std::less<>> inFlight; // Requests by host.
    std::map<std::string, MonotonicTime, std::less<>> progressAt; // Of the streams, by head.
    bool isObserverCutOff = false;
    bool isBeforeTraffic = true;
    DisabledMechanisms disabledMechanisms;
    std::function<OrderResult(const HostOrder&)> handleOrder
        = [this](const HostOrder& order) { return applyOrder(order); };
    std::vector<HostOrder> orders;
};

} // namespace Kumquatpick
