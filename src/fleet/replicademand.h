#pragma once

#include <cstdint>
#include <optional>

namespace Kumquatpick {

// How many replicas of a model the present traffic would fill and still be answered in time.
//
// Engines differ in how full they may be: measured on one fleet, small replicas began answers in 165 ms with two to
// fourteen of seventeen places taken, while large ones went from 227 ms at four to 395 ms at eighteen, of 400 ms that
// callers allow. So the share of places to fill is not given but follows from how many first events come late.
class ReplicaDemand {
public:
    // Each 100 ms. places: that calls hold, or would hold had they not been refused, over all nodes; lateShare: of
    // first events, nothing if no node saw any.
    void observe(double places, std::optional<double> lateShare);

    double replicas(uint32_t capacity) const;
    double places() const { return m_places; }
    double use() const { return m_use; }

private:
    static constexpr double firstUse = 0.6;

    double m_places = 0;
    double m_use = firstUse; // Share of a replica's places that calls are to take.
};

} // namespace Kumquatpick
