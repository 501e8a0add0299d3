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

// Hosts and replicas of one domain that could serve another model.
struct ShiftDomain {
    std::string name;
    std::vector<const Host*> freeHosts;
    std::vector<const ReplicaView*> replicas; // Currently serving.
};

struct ShiftInput {
    const ServiceSpec& service;
    const std::map<std::string, double, std::less<>>& wantedReplicas; // For the current traffic, by model.
    const std::map<std::string, uint32_t>& replicaCounts; // By model.
    std::span<const ShiftDomain> domains;
    // Whether the host can join the model without a load from the weight store.
    std::function<bool(const Host&, std::string_view model)> holds;
};

// Replicas to dissolve so that their hosts, with free hosts of the domain, form a replica of a model that needs one
// more.
struct ReplicaShift {
    std::string domain;
    std::string model;
    std::vector<std::pair<std::string, uint64_t>> replicas; // By name and epoch.
};

// Chooses the replicas to replace by one of another model, if any. Only hosts that hold that model count: they serve
// after a warm load of one to two seconds, while a load from the weight store takes 12 to 16 s and few run at once.
std::optional<ReplicaShift> chooseShift(const ShiftInput&);

// Whether the free hosts of a domain should be kept for a replica of a larger model instead of one of this model: the
// larger model needs a replica, this one does not, and the domain can complete one from free hosts and from replicas
// of models that can spare one. Hosts that join another model lose their copy of the larger one, and loading it again
// takes many times longer than waiting for the missing hosts.
bool areReservedForLarger(const ShiftInput&, const ShiftDomain&, const ModelSpec&);

} // namespace Kumquatpick
