#pragma once

#include "base/clock.h"
#include "fleet/host.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Kumquatpick {

// The head of a replica whose streams all stopped at once.
struct StalledHead {
    std::string hostId;

    bool operator==(const StalledHead&) const = default;
};

// Status of a host as the controller read it, for nodes whose list is behind.
struct ReportedStatus {
    std::string hostId;
    HostStatus status;

    bool operator==(const ReportedStatus&) const = default;
};

// What one node observed of a backend server, for all other nodes. Of two facts of one origin about the same thing, the
// one with the higher number is the newer.
struct HostFact {
    std::string origin; // Name of the incarnation of the node that observed it.
    uint64_t number = 0;
    Milliseconds age {}; // Time since it was observed, at most.
    std::variant<StalledHead, ReportedStatus> content;
};

} // namespace Kumquatpick
