#include "policy/capacityshare.h"

#include <algorithm>

namespace Kumquatpick {

uint32_t capacityShare(uint32_t streams, uint32_t othersRunning, uint32_t ownRunning, uint32_t nodes)
{
    nodes = std::max(1U, nodes);
    uint32_t evenPart = (streams + nodes - 1) / nodes;
    uint64_t used = uint64_t(othersRunning) + ownRunning;
    auto unused = static_cast<uint32_t>(streams > used ? streams - used : 0);
    // A node may keep the streams that it runs only as far as the other nodes leave them free.
    uint32_t left = streams - std::min(streams, othersRunning);
    return std::max(evenPart, std::min(left, ownRunning + unused / nodes));
}

} // namespace Kumquatpick
