#include "fleet/looppauses.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr Milliseconds period { 50 };

    MonotonicTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

}

TEST(LoopPauses, ReportsNoPauseWhileTheTimerIsOnTime)
{
    LoopPauses pauses;
    for (int i = 0; i < 100; ++i)
        pauses.timerFired(at(i * 55), at(i * 55) + period);
    EXPECT_EQ(pauses.since(start, at(5500)), MonotonicTime::duration(0));
}

// A call starts at 100, and its time-out at 200 is evaluated only after a pause from 150 to 900.
TEST(LoopPauses, MeasuresThePauseWithinACall)
{
    LoopPauses pauses;
    pauses.timerFired(at(100), at(150));
    EXPECT_EQ(pauses.since(at(100), at(900)), Milliseconds(750)) << "the call is looked at before the timer";
    pauses.timerFired(at(900), at(950));
    EXPECT_EQ(pauses.latest(), Milliseconds(750));
    EXPECT_EQ(pauses.since(at(100), at(910)), Milliseconds(750));
    EXPECT_EQ(pauses.since(at(800), at(910)), Milliseconds(100)) << "only the overlap with the call";
    EXPECT_EQ(pauses.since(at(905), at(910)), Milliseconds(0));
}

TEST(LoopPauses, DropsOldPauses)
{
    LoopPauses pauses;
    pauses.timerFired(at(0), at(50));
    pauses.timerFired(at(500), at(550));
    for (int i = 1; i < 300; ++i)
        pauses.timerFired(at(500 + i * 50), at(550 + i * 50));
    EXPECT_EQ(pauses.since(start, at(15'450)), Milliseconds(0));
    EXPECT_EQ(pauses.latest(), Milliseconds(0));
}

} // namespace Kumquatpick
