#pragma once

#include "backend/listedhost.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// An entry node in the platform's membership list.
struct ListedNode {
    NodeInfo node;
    bool leaving = false;

    bool operator==(const ListedNode&) const = default;
};

// The platform's membership list as last read. The list may be outdated, but a host that was removed from it is dead.
struct MembershipSnapshot {
    uint64_t revision = 0;
    std::vector<ListedHost> backends;
    std::vector<ListedNode> entries;
    MonotonicTime readAt {};
};

// Fails with Malformed if any host is unreadable or listed twice: skipping it would mark the host as dead.
// Hosts with unknown roles are skipped.
Result<MembershipSnapshot> parseMembership(std::string_view json, MonotonicTime readAt);

} // namespace Kumquatpick
