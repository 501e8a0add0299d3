#pragma once

#include <cstdint>

namespace Kumquatpick {

// Estimates how many replicas of a model the current traffic needs for answers in time. Every node tracks it, so that a
// new controller knows the demand from its first plan on: one that started at zero took three seconds to detect a
// shortage of replicas, while two hosts were lost in the same time.
class ReplicaDemand {
public:
    // Called every 100 ms with the slots that calls of all nodes occupy, or would occupy if they had not been refused.
    void observe(double slots);

    double replicas(uint32_t capacity) const;
    double demandedSlots() const { return m_demandedSlots; }

private:
    double m_demandedSlots = 0; // Smoothed.
};

} // namespace Kumquatpick
