#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "weights/loadpacing.h"

namespace Kumquatpick {

// Reads the current load of the weight store. It does not transfer weights: engines read them directly from the store.
// Thread-safe.
class WeightStoreClient {
public:
    explicit WeightStoreClient(Address);

    // Blocks for at most the timeout. Fails with Unreachable, BrokenOff, Refused or Malformed.
    Result<WeightStoreLoad> readLoad(Milliseconds timeout) const;

private:
    Address m_address;
};

} // namespace Kumquatpick
