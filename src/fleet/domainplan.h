#pragma once

#include "base/clock.h"
#include "fleet/config.h"
#include "fleet/hosttable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

struct DomainPlanInput {
    const ServiceSpec& service;
    const std::map<std::string, double, std::less<>>& wantedReplicas; // For the current traffic, by model.
    const std::map<std::string, uint32_t>& replicaCounts; // Serving and forming in the whole fleet, by model.
    // Time left of the host's running load of this model; nullopt if none runs.
    std::function<std::optional<Milliseconds>(const Host&, const ModelSpec&)> remainingLoad;
    std::function<bool(const Host&, const ModelSpec&)> mayLoad;
    uint32_t availableLoads = 0; // Loads that the weight store can begin now.
};

// A replica that free hosts of a domain should form.
struct PlannedReplica {
    const ModelSpec* model = nullptr;
    std::vector<const Host*> members;
    std::vector<const Host*> hostsToLoad; // Members that need a load that has not begun.
    Milliseconds readyIn {}; // Until all members hold the model and have joined.
    double value = 0; // Of the urgent demand that it serves, averaged over the plan's horizon.
    bool canFormNow = false; // All members hold the model.
};

// The replicas that together serve most; hosts in none of them are not needed for any model that is short.
using DomainGrouping = std::vector<PlannedReplica>;

// The weight of one more replica of the model by the model's urgency. Zero if the demand would not fill it. additional:
// replicas planned beside those counted in the input.
double valueOfNextReplica(const DomainPlanInput&, const ModelSpec&, uint32_t additional);

// Compares all numbers of replicas by model that the free hosts of one domain could form: now, after loads that are
// running, or after loads to begin. A replica counts only for the part of the horizon in which it serves, so hosts wait
// for a larger replica only if that serves more than a smaller one formed at once.
DomainGrouping chooseGrouping(const DomainPlanInput&, std::span<const Host* const> freeHosts);

} // namespace Kumquatpick
