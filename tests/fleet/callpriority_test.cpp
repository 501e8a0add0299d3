#include "fleet/callpriority.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

TEST(CallPriority, StartedStreamsGoFirst)
{
    EXPECT_LT(callPriority({ .hasStarted = true, .rank = 8 }), callPriority({ .isCallerRetry = true }));
}

// No call should be refused for good while others are admitted at their first try.
TEST(CallPriority, CallerRetriesGoBeforeFirstTries)
{
    EXPECT_LT(callPriority({ .isCallerRetry = true, .rank = 8 }), callPriority({ .rank = 0 }));
}

TEST(CallPriority, KeepsTheOrderOfRanksWithinNineSteps)
{
    EXPECT_LT(callPriority({ .rank = 0 }), callPriority({ .rank = 1 }));
    EXPECT_EQ(callPriority({ .rank = 100 }), 9);
    EXPECT_GE(callPriority({ .rank = -5 }), 2);
}

} // namespace Kumquatpick
