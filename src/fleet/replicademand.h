#pragma once

#include <cstdint>

namespace Kumquatpick {

// How many replicas of a model the present traffic would fill and still be answered in time. Each node follows it, so
// that a new controller knows the demand from its first plan on: one that began at nothing took three seconds to see
// that replicas were short, while two hosts were lost in as many.
class ReplicaDemand {
public:
    // Each 100 ms. Places that calls hold, or would hold had they not been refused, over all nodes.
    void observe(double slots);

    double replicas(uint32_t capacity) const;
    double demandedSlots() const { return m_demandedSlots; }

private:
    double m_demandedSlots = 0; // Smoothed.
};

} // namespace Kumquatpick
