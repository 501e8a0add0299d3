#pragma once

#include "base/clock.h"
#include "base/documentreader.h"

#include <algorithm>
#include <cstdint>

namespace Kumquatpick {

// Bounds of the numbers in messages of other nodes. What a node counts or measures stays far below them, and sums of
// them stay far below the largest value of their types.

// Offsets, versions, terms and counts of changes. Nothing would follow a number near the largest one.
constexpr uint64_t maxPeerInteger = uint64_t(1) << 53;
// Thirty years; also for times of a monotonic clock.
constexpr Milliseconds maxPeerDuration { 1'000'000'000'000 };
// Slots of one server, or of all servers of a model.
constexpr uint64_t maxPeerSlots = 1'000'000;

// The negative times that clocks of different hosts can produce count as zero.
inline Milliseconds decodePeerDuration(const DocumentReader& value)
{
    int64_t most = maxPeerDuration.count();
    return Milliseconds(std::max<int64_t>(0, value.signedInteger(-most, most)));
}

} // namespace Kumquatpick
