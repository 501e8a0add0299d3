#include "weights/loadpacing.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    uint64_t divideRoundingUp(uint64_t value, uint64_t divisor)
    {
        return value / divisor + (value % divisor != 0 ? 1 : 0);
    }

    // Returns the number of readers that together use the full rate of the store.
    uint64_t readersForFullRate(const WeightStoreLoad& load, const LoadingState& state)
    {
        if (state.hostBytesPerSecond == 0)
            return 1;
        return std::max<uint64_t>(1, divideRoundingUp(load.bytesPerSecond, state.hostBytesPerSecond));
    }

}

uint32_t loadsToStart(const WeightStoreLoad& load, const LoadingState& state)
{
    uint64_t hosts = std::max<uint64_t>(1, state.hostsPerReplica);
    uint64_t readers = load.readers + state.startedSinceReport * hosts;
    uint64_t neededReaders = readersForFullRate(load, state);
    uint64_t toStart = readers < neededReaders ? divideRoundingUp(neededReaders - readers, hosts) : 0;
    if (state.runningLoads == 0)
        toStart = std::max<uint64_t>(1, toStart);
    return static_cast<uint32_t>(std::min<uint64_t>(state.waitingLoads, toStart));
}

} // namespace Kumquatpick
