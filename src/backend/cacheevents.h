#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Kumquatpick {

struct PrefixChange {
    uint64_t prefix = 0;
    bool stored = true; // Or evicted.
};

// What an engine's prompt cache took and dropped since it was last asked, in order.
struct CacheEventBatch {
    std::string service;
    std::string replica;
    bool gap = false; // Changes before these were lost: what is believed of the replica is doubtful.
    std::vector<PrefixChange> changes;
    uint64_t next = 0; // Where to read on.
};

// Reads what came since; blocking. Service and replica are left empty. A position beyond the engine's own,
// as after its restart, is a gap too.
Result<CacheEventBatch> readCacheEvents(const Address&, uint64_t from, Milliseconds timeout);

} // namespace Kumquatpick
