#include "fleet/idlelimits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

TEST(IdleLimits, KnowsNothingUntilAConnectionWasClosed)
{
    IdleLimits limits;
    EXPECT_FALSE(limits.usable("writers"));
    limits.seenOpen("writers", Milliseconds(900));
    EXPECT_FALSE(limits.usable("writers"));
    limits.seenClosed("writers", Milliseconds(1400));
    EXPECT_EQ(limits.usable("writers"), Milliseconds(900));
    EXPECT_FALSE(limits.usable("readers"));
}

// Guards against connections that are used no more because servers ended, which closes connections early.
TEST(IdleLimits, EarlyClosesOfEndedServersLowerItForAWhile)
{
    IdleLimits limits;
    limits.seenOpen("writers", Milliseconds(1400));
    limits.seenClosed("writers", Milliseconds(100));
    EXPECT_GE(*limits.usable("writers"), Milliseconds(1000));
    limits.seenOpen("writers", Milliseconds(1400));
    EXPECT_EQ(limits.usable("writers"), Milliseconds(1400));
}

TEST(IdleLimits, FollowServersThatKeepConnectionsForAShorterTime)
{
    IdleLimits limits;
    limits.seenOpen("writers", Milliseconds(3000));
    for (int i = 0; i < 20; ++i)
        limits.seenClosed("writers", Milliseconds(500));
    EXPECT_LE(*limits.usable("writers"), Milliseconds(510));
}

TEST(IdleLimits, AnnouncedOnesComeFirstUnlessAbsurd)
{
    IdleLimits limits;
    limits.announced("writers", Milliseconds(0));
    limits.announced("writers", Milliseconds(-5));
    EXPECT_FALSE(limits.usable("writers"));
    limits.seenClosed("writers", Milliseconds(100));
    limits.announced("writers", Milliseconds(2000));
    EXPECT_EQ(limits.usable("writers"), Milliseconds(1600));
}

RC_GTEST_PROP(IdleLimits, StayWithinWhatWasSeen, ())
{
    IdleLimits limits;
    Milliseconds longest {};
    auto times = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000)));
    for (int time : times) {
        Milliseconds idle(time);
        if (*rc::gen::arbitrary<bool>())
            limits.seenOpen("writers", idle);
        else
            limits.seenClosed("writers", idle);
        longest = std::max(longest, idle);
        auto usable = limits.usable("writers");
        RC_ASSERT(!usable || (*usable >= Milliseconds(0) && *usable <= longest));
    }
}

} // namespace Kumquatpick
