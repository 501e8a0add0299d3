#include "fleet/controllerterm.h"

namespace Kumquatpick {

namespace {

    constexpr uint64_t epochsPerLease = 1'000'000;

}

ControllerTerm::ControllerTerm(uint64_t fencing)
    : m_firstEpoch((fencing + 1) * epochsPerLease)
    , m_nextEpoch(m_firstEpoch)
{
}

} // namespace Kumquatpick
