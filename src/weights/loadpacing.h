#pragma once

#include <cstdint>

namespace Kumquatpick {

// The load that the weight store reports.
struct WeightStoreLoad {
    uint64_t bytesPerSecond = 0; // Total read rate of the store, shared by all readers.
    uint32_t readers = 0;
};

struct LoadingState {
    uint32_t hostsPerReplica = 1; // Each host of a replica is a separate reader.
    uint64_t hostBytesPerSecond = 0; // Maximum read rate of one host; 0 if unknown.
    uint32_t waitingLoads = 0; // Replicas whose loads are ready to start.
    uint32_t runningLoads = 0; // The caller's replicas that are loading, including those started since the report.
    uint32_t startedSinceReport = 0; // Replicas whose loads started after the load report was requested.
};

// Returns the number of additional replicas whose loads should start now.
//
// All loads share the fixed rate of the store. If replicas load one after the other, the first ones serve early, and
// the mean time until a replica serves is about half of that with all loads at once. Only as many loads run
// concurrently as are needed to use the full rate of the store. At least one load of the caller runs as long as any is
// waiting, regardless of the number of other readers. If hosts read more slowly than the store can send, the last
// replica may serve later than with all loads at once, by at most the time that one host needs to read its weights
// alone.
uint32_t loadsToStart(const WeightStoreLoad&, const LoadingState&);

} // namespace Kumquatpick
