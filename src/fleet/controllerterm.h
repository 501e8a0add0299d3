#pragma once

#include "fleet/loadlimiter.h"

#include <cstdint>

namespace Kumquatpick {

// What the replica planners of all services share during one term of the controller. Not thread-safe.
class ControllerTerm {
public:
    // fencing: the fencing token of the controller's lease. Later controllers have higher tokens and so higher epochs.
    explicit ControllerTerm(uint64_t fencing);

    // Lower epochs are of earlier controllers.
    uint64_t firstEpoch() const { return m_firstEpoch; }
    // An epoch that no other replica of the fleet has, of whatever service.
    uint64_t takeEpoch() { return m_nextEpoch++; }

    LoadLimiter& loads() { return m_loads; }

private:
    uint64_t m_firstEpoch;
    uint64_t m_nextEpoch;
    LoadLimiter m_loads;
};

} // namespace Kumquatpick
