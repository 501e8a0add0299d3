#pragma once

#include "base/clock.h"
#include "fleet/config.h"
#include "fleet/hosttable.h"
#include "fleet/mechanism.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// What direct calls to a host say of its life.
enum class HostContact : uint8_t {
    Unknown, // Not asked lately.
    Reachable,
    Unreachable, // No answer: dead, frozen or cut off.
    UnreachableByAll, // No answer to any node.
    Refused, // Nothing listens: the process has ended, or finishes its last work before it does.
    Ended, // Another life has the address.
};

struct PlannerInput {
    MonotonicTime now;
    const HostTable& hosts;
    const ServiceSpec& service;
    // Replicas that the present traffic would fill, by model.
    const std::map<std::string, double, std::less<>>& wantedReplicas;
    std::function<HostContact(std::string_view hostId)> contact;
    // Heads whose streams stand still, as nodes see it.
    std::function<bool(std::string_view hostId)> isStalled;
    bool isBeforeTraffic = false; // Before the first request.
    MechanismsOff disabledMechanisms {};

    // It stays, and no direct call says otherwise.
    bool isUsable(std::string_view hostId) const;
};

// How full a model's replicas would be with one more: what the next one is worth, by model.
using ModelNeeds = std::map<std::string, double, std::less<>>;
using HostsByDomain = std::map<std::string, std::vector<const Host*>>;

} // namespace Kumquatpick
