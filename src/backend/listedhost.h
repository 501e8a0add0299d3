#pragma once

#include "base/address.h"

#include <cstdint>
#include <string>

namespace Kumquatpick {

// A backend server's host by the platform's lagging list.
struct ListedHost {
    std::string host;
    Address address;
    std::string zone;
    std::string domain;
    std::string service; // Set for hosts that run a plain service; empty for model hosts.
    uint64_t incarnation = 0; // Changes when the host is replaced; 0 if the list does not tell.
    bool leaving = false;

    bool operator==(const ListedHost&) const = default;
};

} // namespace Kumquatpick
