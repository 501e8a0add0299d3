#pragma once

#include "base/clock.h"
#include "fleet/config.h"
#include "fleet/hosttable.h"
#include "fleet/mechanism.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Result of the recent direct calls to a host.
enum class HostContact : uint8_t {
    Unknown, // Not polled recently.
    Reachable,
    Unreachable, // No answer: dead, frozen or partitioned.
    UnreachableByAll, // No answer to any node.
    Refused, // Connection refused: the process has ended, or finishes its last requests.
    Ended, // The process was replaced by a later start or another host.
};

const char* name(HostContact);

struct PlannerInput {
    MonotonicTime now;
    const HostTable& hosts;
    const ServiceSpec& service;
    // Replicas that the current traffic would fill, by model.
    const std::map<std::string, double, std::less<>>& wantedReplicas;
    std::function<HostContact(std::string_view hostId)> contact;
    // Whether nodes report that the streams of this head are stalled.
    std::function<bool(std::string_view hostId)> isStalled;
    bool isBeforeTraffic = false; // Before the first request.
    DisabledMechanisms disabledMechanisms {};
    // Requests that all nodes have in flight at a host; as old as the other nodes' reports.
    std::function<uint32_t(std::string_view hostId)> inFlight = [](std::string_view) { return 0u; };
    // Whether the operators want nothing new in the availability zone.
    std::function<bool(std::string_view zone)> isEvacuated = [](std::string_view) { return false; };
    // When any node last saw a running stream of this head go on; nullopt if none did recently.
    std::function<std::optional<MonotonicTime>(std::string_view hostId)> progressAt
        = [](std::string_view) { return std::nullopt; };
    bool isObserverCutOff = false; // This node reaches no backend server of the service.

    // Whether the host is listed, in a zone that is not evacuated, not draining and not known to be unreachable.
    bool isUsable(std::string_view hostId) const;
    // Whether any of the hosts is in an evacuated zone, so that their replica gets no new requests.
    bool isAnyEvacuated(std::span<const Host* const> members) const;
};

// By model: the utilization of its replicas with one more, which is the value of the next replica.
using ModelNeeds = std::map<std::string, double, std::less<>>;
using HostsByDomain = std::map<std::string, std::vector<const Host*>>;

} // namespace Kumquatpick
