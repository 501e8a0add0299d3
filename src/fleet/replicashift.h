#pragma once

#include "fleet/config.h"
#include "fleet/hosttable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// What a domain has that could serve another model.
struct ShiftDomain {
    std::string name;
    std::vector<const Host*> freeHosts;
    std::vector<const ReplicaView*> replicas; // That serve now.
};

struct ShiftInput {
    const ServiceSpec& service;
    const std::map<std::string, double, std::less<>>& wantedReplicas; // Replicas that the traffic would fill, by model.
    const std::map<std::string, uint32_t>& replicaCounts; // By model.
    std::span<const ShiftDomain> domains;
    // Whether the host can join the model without a load from the weight store.
    std::function<bool(const Host&, std::string_view model)> holds;
};

// Replicas whose hosts, with the free ones of their domain, make a replica of a model that is shorter.
struct ReplicaShift {
    std::string domain;
    std::string model;
    std::vector<std::pair<std::string, uint64_t>> replicas; // By name and epoch.
};

// Which replicas should give way to one of another model, if any. Only hosts that hold that model count: it serves
// after a warm load of one to two seconds, where the weight store would take twelve to sixteen and has few to give.
std::optional<ReplicaShift> chooseShift(const ShiftInput&);

// Whether the free hosts of a domain are worth more as a part of a larger model's replica than as one of this model:
// the larger one is short, this one is not, and the domain has what completes it, in free hosts and in replicas of
// models that can spare them. Hosts that join another model lose their copy of the larger one, and loading it anew
// takes many times longer than waiting for the rest.
bool areReservedForLarger(const ShiftInput&, const ShiftDomain&, const ModelSpec&);

} // namespace Kumquatpick
