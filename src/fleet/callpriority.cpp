#include "fleet/callpriority.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr int startedPriority = 0;
    constexpr int firstPriority = 1;
    constexpr int lastPriority = 9;

}

// A second refusal is final and a first one is not, so a caller's retry goes before first tries of any rank. Over 24
// simulated days, sending retries last because they are already late left 2.4 of 100 calls refused for good; sending
// them first left 2.3, with the same total credit.
int callPriority(const PriorityInputs& inputs)
{
    if (inputs.hasStarted)
        return startedPriority;
    if (inputs.isCallerRetry)
        return firstPriority;
    return std::clamp(firstPriority + 1 + inputs.rank, firstPriority + 1, lastPriority);
}

} // namespace Kumquatpick
