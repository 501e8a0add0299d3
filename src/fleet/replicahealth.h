#pragma once

#include "base/clock.h"
#include "fleet/hosttable.h"
#include "fleet/plannerinput.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

enum class HealthState : uint8_t {
    Whole,
    InDoubt, // Kept, but watched.
    Broken, // To be dissolved.
};

// Why a replica is in its state.
enum class HealthReason : uint8_t {
    AllListed,
    Progress, // Its streams went on after a host became suspect.
    HostSilent, // A host that does not answer this node.
    HostUnlisted,
    HostRefuses, // A host that refuses connections.
    HeadUnlisted, // It gets no new requests, but its entry may return.
    HostsUnknown, // The list has not shown all of its hosts since this controller began.
    ObserverCutOff, // This node does not reach any backend server.
    HostEnded,
    HostLost,
    HostsMissing,
    HeadStalled, // Unlisted, and its streams stand still.
    HeadWithdrawn, // It removed its own entry.
};

const char* name(HealthState);
const char* name(HealthReason);

// What is known of one host of a replica.
struct HostEvidence {
    std::string id;
    HostContact contact = HostContact::Unknown;
    bool isHead = false;
    bool isListed = true;
    bool isDraining = false;
};

// What is known of a replica that has served or may serve. Times that are unknown are empty.
struct ReplicaEvidence {
    MonotonicTime now;
    std::vector<HostEvidence> hosts;
    MonotonicTime firstSeenAt; // By this controller.
    bool isIncomplete = false; // Hosts are missing that are not recently unlisted either.
    bool wasComplete = false; // As this controller saw it.
    bool isStalled = false; // A node reports so, and no later progress is known.
    bool isHeadWithdrawn = false;
    bool isObserverCutOff = false;
    uint32_t inFlight = 0;
    std::optional<MonotonicTime> progressAt; // The latest progress of its streams at any node.
    Milliseconds progressValidity {}; // Older progress is no evidence.
};

struct ReplicaHealth {
    HealthState state = HealthState::Whole;
    HealthReason reason = HealthReason::AllListed;
    std::string hostId; // That the reason names, if it is one.
    // Hosts that are silent, unlisted or refuse connections, and since when without a break.
    std::map<std::string, MonotonicTime, std::less<>> suspects;

    // Since when any host has been suspect.
    std::optional<MonotonicTime> suspectSince() const;
};

// Tells from evidence whether a replica has all of its hosts. Every step of a replica needs all of them, so streams
// that go on prove that none is missing; that a host is silent or unlisted proves nothing by itself. Pure.
ReplicaHealth assessHealth(const ReplicaEvidence&, const ReplicaHealth& previous);

// The longest time for which a whole replica with running streams may seem to make no progress: the gap between two
// events of an engine with all slots taken, and the delay of the nodes' reports.
Milliseconds progressValidity(const ServiceSpec&, const ModelSpec&);

ReplicaEvidence collectEvidence(const PlannerInput&, const ReplicaView&);

} // namespace Kumquatpick
