#include "fleet/callpriority.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr int startedPriority = 0;
    constexpr int firstPriority = 1;
    constexpr int lastPriority = 9;

}

// A second refusal is final, while a first one is not: a caller who came back goes before first tries of any rank. Sent
// last instead, as it can't be in time any more, 2.4 calls in 100 were refused for good on 24 played days; sent first,
// 2.3, and the credit earned by all was the same.
int callPriority(const CallStanding& inputs)
{
    if (inputs.hasBegun)
        return startedPriority;
    if (inputs.cameBack)
        return firstPriority;
    return std::clamp(firstPriority + 1 + inputs.rank, firstPriority + 1, lastPriority);
}

} // namespace Kumquatpick
