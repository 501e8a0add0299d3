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

// A host's part in a replica, as the host itself reports it.
enum class MemberState : uint8_t {
    Joining, // Loads the model.
    Ready, // Has it; the head may be opened.
    Open, // Of a head: takes requests.
    Closing, // Of a head: finishes what it has.
    Broken, // Of a head: a member is lost.
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

// What changes while a host lives, from its list entry or from its own report.
struct HostStatus {
    std::optional<uint64_t> ordersAccepted; // In this life; only a host's own report says it, the list does not.
    std::string model; // Of its membership.
    std::string lastModel; // Of its latest membership in this life: it joins that model again without any load.
    std::vector<std::string> stagedModels; // Copies on the host, loaded in the model's warmLoad.
    std::optional<Membership> membership;
    std::string domain; // Hosts of one domain form fast replicas.

    bool operator==(const HostStatus&) const = default;
    bool isStaged(std::string_view wanted) const
    {
        return std::ranges::find(stagedModels, wanted) != stagedModels.end();
    }
    // As of a host that has just started for the first time: member of nothing, holding nothing.
    bool isBlank() const { return !membership && model.empty() && lastModel.empty() && stagedModels.empty(); }
    // It joins the model without a load from the weight store.
    bool holds(std::string_view wanted) const { return lastModel == wanted || isStaged(wanted); }
};

// A host that starts again may keep its name. It then holds and knows nothing of before, so each life has an id of its
// own: the name and, where the host tells when it started, that time. Whatever is kept by id starts anew with the life.
inline std::string lifeId(std::string_view name, uint64_t born)
{
    return born == 0 ? std::string(name) : std::string(name) + '@' + std::to_string(born);
}

// The name under which the host is listed and answers.
inline std::string_view hostName(std::string_view lifeId) { return lifeId.substr(0, lifeId.rfind('@')); }

// Milliseconds since 1970; 0 if the host does not tell.
inline uint64_t bornOf(std::string_view lifeId)
{
    size_t at = lifeId.rfind('@');
    uint64_t born = 0;
    if (at != std::string_view::npos)
        std::from_chars(lifeId.data() + at + 1, lifeId.data() + lifeId.size(), born);
    return born;
}

// One life of a backend server. Its id never comes again; its address may, for another service.
struct Host {
    std::string id; // See lifeId().
    std::string service;
    Address address;
    std::string zone;
    uint32_t capacity = 1;
    bool draining = false;
    HostStatus status;

    bool operator==(const Host&) const = default;
    bool isMemberOf(std::string_view replica, uint64_t epoch) const
    {
        return status.membership && status.membership->isOf(replica, epoch);
    }
};

} // namespace Kumquatpick
