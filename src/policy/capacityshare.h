#pragma once

#include <cstdint>

namespace Kumquatpick {

// Returns how many of a service's streams one node may run, for Admission::setCapacity(). A node gets at least an even
// share; beyond it, it keeps the streams that it already runs and gets an even share of the unused ones. If each node
// could take all unused streams, every node would take them within one round of gossip.
uint32_t capacityShare(uint32_t streams, uint32_t remoteRunning, uint32_t localRunning, uint32_t nodes);

} // namespace Kumquatpick
