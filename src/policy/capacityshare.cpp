#include "policy/capacityshare.h"

#include <algorithm>

namespace Kumquatpick {

uint32_t capacityShare(uint32_t streams, uint32_t remoteRunning, uint32_t localRunning, uint32_t nodes)
{
    nodes = std::max(1U, nodes);
    uint32_t evenShare = (streams + nodes - 1) / nodes;
    uint64_t used = uint64_t(remoteRunning) + localRunning;
    auto unused = static_cast<uint32_t>(streams > used ? streams - used : 0);
    // A node may keep the streams that it runs only as far as the other nodes leave them free.
    uint32_t available = streams - std::min(streams, remoteRunning);
    return std::max(evenShare, std::min(available, localRunning + unused / nodes));
}

} // namespace Kumquatpick
