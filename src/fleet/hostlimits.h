#pragma once

#include "fleet/clientbudget.h"

#include <cstdint>

namespace Kumquatpick {

// What the process may use of its host; 0 stands for all that the system allows.
struct HostLimits {
    uint64_t memoryMb = 0;
    uint64_t maxDescriptors = 0;
};

// What the clients of one listener may take, as it is set; 0 stands for a share of the host.
struct ListenerLimits {
    uint64_t memoryMb = 0;
    uint64_t connections = 0;
    uint64_t memoryEighths = 0; // Of the host's memory.
    uint64_t connectionSixteenths = 0; // Of the descriptors that are not kept for files.
};

ClientBudget::Limits clientLimits(const HostLimits&, const ListenerLimits&);

} // namespace Kumquatpick
