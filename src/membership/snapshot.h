#pragma once

#include "backend/listedhost.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
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
    std::vector<std::string> problems; // Of the first unreadable entries.
};

// A host whose entry can't be read, or that is listed twice, is not skipped, since that would mark it as dead: it stays
// as it is in the last list, or is listed as leaving with no address and incarnation 0. While an entry tells no name,
// no host of the last list is taken for removed; without a last list such a list fails with Malformed, as does one that
// is no list at all. Hosts with unknown roles are skipped.
Result<MembershipSnapshot> parseMembership(
    std::string_view json, MonotonicTime readAt, const MembershipSnapshot* last = nullptr);

} // namespace Kumquatpick
