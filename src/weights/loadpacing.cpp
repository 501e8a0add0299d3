#include "weights/loadpacing.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    uint64_t dividedUp(uint64_t value, uint64_t by) { return value / by + (value % by != 0 ? 1 : 0); }

    // Returns the number of readers that together use the full rate of the store.
    uint64_t readersWanted(const WeightStoreLoad& load, const LoadPlan& plan)
    {
        if (plan.hostBytesPerSecond == 0)
            return 1;
        return std::max<uint64_t>(1, dividedUp(load.bytesPerSecond, plan.hostBytesPerSecond));
    }

}

uint32_t loadsToStart(const WeightStoreLoad& load, const LoadPlan& plan)
{
    uint64_t hosts = std::max<uint64_t>(1, plan.hostsPerReplica);
    uint64_t readers = load.readers + plan.startedSinceReport * hosts;
    uint64_t wanted = readersWanted(load, plan);
    uint64_t toStart = readers < wanted ? dividedUp(wanted - readers, hosts) : 0;
    if (plan.running == 0)
        toStart = std::max<uint64_t>(1, toStart);
    return static_cast<uint32_t>(std::min<uint64_t>(plan.waiting, toStart));
}

} // namespace Kumquatpick
