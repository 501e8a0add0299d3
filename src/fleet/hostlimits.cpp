#include "fleet/hostlimits.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr uint64_t bytesPerMegabyte = 1'000'000;
    // For the program's files, its log and event loop. The platform keeps most of these apart for files.
    constexpr uint64_t descriptorsForFiles = 256;

    uint64_t memoryOfSystem()
    {
        auto pages = static_cast<uint64_t>(std::max(0L, sysconf(_SC_PHYS_PAGES)));
        return pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
    }

    uint64_t descriptorsOfSystem()
    {
        rlimit limit {};
        constexpr uint64_t usual = 1024; // If the system does not tell.
        return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : usual;
    }

}

ClientBudget::Limits clientLimits(const HostLimits& host, const ListenerLimits& listener)
{
    uint64_t memory = host.memoryMb > 0 ? host.memoryMb * bytesPerMegabyte : memoryOfSystem();
    uint64_t descriptors = host.maxDescriptors > 0 ? host.maxDescriptors : descriptorsOfSystem();
    uint64_t forConnections = descriptors - std::min(descriptors / 2, descriptorsForFiles);
    ClientBudget::Limits limits { listener.memoryMb * bytesPerMegabyte, listener.connections };
    if (limits.bytes == 0)
        limits.bytes = memory / 8 * listener.memoryEighths;
    if (limits.connections == 0)
        limits.connections = std::max<uint64_t>(1, forConnections / 16 * listener.connectionSixteenths);
    return limits;
}

} // namespace Kumquatpick
