#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The state of a host's membership in a replica, as reported by the host.
enum class MemberState : uint8_t {
    Joining, // Loading the model.
    Ready, // The model is loaded; the head may be opened.
    Open, // Head only: accepts requests.
    Closing, // Head only: finishes its running requests.
    Broken, // Head only: a member is lost.
};

struct Membership {
    std::string replica;
    uint64_t epoch = 0;
    uint32_t rank = 0; // 0 is the head, which takes the requests of the whole replica.
    MemberState state = MemberState::Joining;

    bool operator==(const Membership&) const = default;
    bool isOf(std::string_view otherReplica, uint64_t otherEpoch) const
    {
        return replica == otherReplica && epoch == otherEpoch;
    }
};

// The changing state of a host, from its list entry or from its own report.
struct HostStatus {
    std::optional<uint64_t> ordersAccepted; // By this incarnation. Only in a host's own report, not in the list.
    std::string model; // Of its membership.
    std::string lastModel; // Of this incarnation's latest membership; joining it again needs no load.
    // Models with a local copy on the host. Loading from it takes the model's warmLoad time.
    std::vector<std::string> stagedModels;
    std::optional<Membership> membership;
    std::string domain; // Replicas whose hosts are all in one domain are faster.

    bool operator==(const HostStatus&) const = default;
    bool isStaged(std::string_view modelName) const
    {
        return std::ranges::find(stagedModels, modelName) != stagedModels.end();
    }
    // Whether this is the state of a host that has just started for the first time: no membership and no models.
    bool isBlank() const { return !membership && model.empty() && lastModel.empty() && stagedModels.empty(); }
    // Whether the host can join the model without loading it from the weight store.
    bool hasLocalCopy(std::string_view modelName) const { return lastModel == modelName || isStaged(modelName); }
};

// A restarted host may keep its name but has lost its state. Each incarnation therefore has its own id: the name and,
// if the host reports it, the start time. All state that is keyed by id starts empty for a new incarnation.
inline std::string incarnationId(std::string_view name, uint64_t startTime)
{
    return startTime == 0 ? std::string(name) : std::string(name) + '@' + std::to_string(startTime);
}

// The name under which the host is listed and reachable.
inline std::string_view hostName(std::string_view incarnationId)
{
    return incarnationId.substr(0, incarnationId.rfind('@'));
}

// In milliseconds since 1970; 0 if the host does not report it.
inline uint64_t startTimeOf(std::string_view incarnationId)
{
    size_t separator = incarnationId.rfind('@');
    uint64_t startTime = 0;
    if (separator != std::string_view::npos)
        std::from_chars(incarnationId.data() + separator + 1, incarnationId.data() + incarnationId.size(), startTime);
    return startTime;
}

// One incarnation of a backend server. Its id is never reused; its address may be, even for another service.
struct Host {
    std::string id; // See incarnationId().
    std::string service;
    Address address;
    std::string zone;
    uint32_t capacity = 1;
    bool draining = false;
    Milliseconds warmupLeft {}; // How much longer it is cold and takes few requests; 0 once it is warm.
    HostStatus status;

    bool operator==(const Host&) const = default;
    bool isMemberOf(std::string_view replica, uint64_t epoch) const
    {
        return status.membership && status.membership->isOf(replica, epoch);
    }
};

} // namespace Kumquatpick
