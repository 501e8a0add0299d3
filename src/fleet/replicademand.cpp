#include "fleet/replicademand.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Demand follows traffic within a few seconds.
    constexpr double placesGain = 0.04;
    // Prompts differ in length, so some first events are late at any load.
    constexpr double usualLateShare = 0.15;
    // With a third more late than usual, the share of places falls from 0.6 to 0.4 within some three seconds; losses of
    // replicas come as often.
    constexpr double useGain = 0.02;
    constexpr double leastUse = 0.35;
    // What is free takes over the streams of a lost replica.
    constexpr double mostUse = 0.8;
    // One replica beyond what calls fill would stand idle; half of one rounds.
    constexpr double halfReplica = 0.5;

}

void ReplicaDemand::observe(double places, std::optional<double> lateShare)
{
    m_places += placesGain * (places - m_places);
    if (lateShare)
        m_use = std::clamp(m_use + useGain * (usualLateShare - *lateShare), leastUse, mostUse);
}

double ReplicaDemand::replicas(uint32_t capacity) const
{
    return halfReplica + m_places / (std::max(1u, capacity) * m_use);
}

} // namespace Kumquatpick
