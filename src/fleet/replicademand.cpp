#include "fleet/replicademand.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Demand follows traffic within a few seconds.
    constexpr double smoothingFactor = 0.04;
    // Replicas answer in time at this utilization of their slots. Adapting it for each model to the share of late first
    // events gave the large model more hosts than the others could spare under overload.
    constexpr double targetUtilization = 0.6;
    // Rounds to the nearest replica; a whole replica more than calls fill would be idle.
    constexpr double roundingOffset = 0.5;

}

void ReplicaDemand::observe(double slots) { m_demandedSlots += smoothingFactor * (slots - m_demandedSlots); }

double ReplicaDemand::replicas(uint32_t capacity) const
{
    return roundingOffset + m_demandedSlots / (std::max(1u, capacity) * targetUtilization);
}

} // namespace Kumquatpick
