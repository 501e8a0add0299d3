#include "fleet/lateshare.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

// Guards against refusals where only some calls are late.
TEST(LateShare, IsOverloadedOnlyWhileMostCallsAreLate)
{
    LateShare share;
    MonotonicTime now {};
    EXPECT_FALSE(share.isOverloaded(now));
    for (int i = 0; i < 40; ++i)
        share.record(i % 5 != 0, now += Milliseconds(50));
    EXPECT_FALSE(share.isOverloaded(now));
    for (int i = 0; i < 40; ++i)
        share.record(false, now += Milliseconds(50));
    EXPECT_TRUE(share.isOverloaded(now));
    EXPECT_FALSE(share.isOverloaded(now + std::chrono::seconds(20))) << "old calls show nothing";
}

TEST(LateShare, IsNotOverloadedByTheFirstLateCall)
{
    LateShare share;
    share.record(false, MonotonicTime {});
    EXPECT_FALSE(share.isOverloaded(MonotonicTime {}));
}

} // namespace Kumquatpick
