#include "fleet/callgate.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    GateInputs usualCall()
    {
        return { .target = Milliseconds(250),
            .targetGap = Milliseconds(200),
            .timeLeft = Milliseconds(6000),
            .isOverloaded = true,
            .fastestMs = 150 };
    }

}

TEST(CallGate, TriesHeadsThatAnswerInTimeFirst)
{
    auto steps = gateSteps(usualCall());
    ASSERT_FALSE(steps.empty());
    EXPECT_DOUBLE_EQ(steps.front().maxFirstEventMs, 250);
    EXPECT_DOUBLE_EQ(steps.front().maxLoad, 1);
}

TEST(CallGate, SubtractsWhatHasPassed)
{
    GateInputs call = usualCall();
    call.elapsed = Milliseconds(100);
    EXPECT_DOUBLE_EQ(gateSteps(call).front().maxFirstEventMs, 150);
}

TEST(CallGate, GivesLateCallsOnlyRoomThatOthersDoNotNeed)
{
    GateInputs elapsed = usualCall();
    elapsed.elapsed = Milliseconds(400);
    GateInputs retry = usualCall();
    retry.isCallerRetry = true;
    for (const GateInputs& call : { elapsed, retry }) {
        auto steps = gateSteps(call);
        ASSERT_EQ(steps.size(), 1u);
        EXPECT_LT(steps.front().maxFirstEventMs, 250);
        EXPECT_LT(steps.front().maxLoad, 1);
    }
}

TEST(CallGate, HoldsTeamsOverTheirShareToLessTime)
{
    GateInputs call = usualCall();
    call.fastestMs = 150;
    call.isOverShare = true;
    for (const GateStep& step : gateSteps(call)) {
        EXPECT_GT(step.maxFirstEventMs, 150);
        EXPECT_LT(step.maxFirstEventMs, 250);
    }
}

// A bound below what even an idle head takes would refuse all retries, also where there is room.
TEST(CallGate, BoundsLateCallsByTheFastestTimes)
{
    GateInputs call = usualCall();
    call.fastestMs = 220;
    call.isCallerRetry = true;
    EXPECT_GT(gateSteps(call).front().maxFirstEventMs, 220);
}

TEST(CallGate, BoundsTheQueuesWhereNoHeadIsFastEnough)
{
    GateInputs call = usualCall();
    call.fastestMs = 400;
    EXPECT_DOUBLE_EQ(gateSteps(call).back().maxFirstEventMs, 800);
    call.isCallerRetry = true;
    EXPECT_DOUBLE_EQ(gateSteps(call).front().maxFirstEventMs, 800) << "a caller's retry is not refused for it";
}

// Callers leave a stream without an event after two seconds, four times the target or eight times the pause.
TEST(CallGate, SendsNoCallWhoseCallerWouldLeave)
{
    EXPECT_EQ(callerPatience(Milliseconds(250), Milliseconds(200)), Milliseconds(2000));
    EXPECT_EQ(callerPatience(Milliseconds(1000), Milliseconds(300)), Milliseconds(4000));
    EXPECT_EQ(callerPatience(Milliseconds(250), Milliseconds(300)), Milliseconds(2400));
    GateInputs call = usualCall();
    call.fastestMs = 5000;
    for (const GateStep& step : gateSteps(call))
        EXPECT_LT(step.maxFirstEventMs, 2000);
    call.timeLeft = Milliseconds(100);
    for (const GateStep& step : gateSteps(call))
        EXPECT_LT(step.maxFirstEventMs, 100);
}

// Absurd timing figures would otherwise refuse all calls for ever, because nothing would be observed.
TEST(CallGate, TriesHeadsWithRoomIfNothingWasObserved)
{
    GateInputs call = usualCall();
    call.fastestMs = 0;
    EXPECT_GT(gateSteps(call).back().maxFirstEventMs, 1e9);
    EXPECT_LT(gateSteps(call).back().maxLoad, 1);
}

TEST(CallGate, HasNoBoundWithoutATarget)
{
    GateInputs call = usualCall();
    call.target = Milliseconds(0);
    EXPECT_TRUE(gateSteps(call).empty());
}

TEST(CallGate, SpreadsThoseItRefusesOverTheTimeThatTheyWait)
{
    EXPECT_EQ(gateRetryAfter(300, Milliseconds(250), Milliseconds(6000), 0), Milliseconds(400));
    EXPECT_EQ(gateRetryAfter(300, Milliseconds(250), Milliseconds(6000), 1), Milliseconds(2000));
    EXPECT_EQ(gateRetryAfter(1250, Milliseconds(250), Milliseconds(6000), 0), Milliseconds(1000));
    EXPECT_EQ(gateRetryAfter(9000, Milliseconds(250), Milliseconds(600), 0.5), Milliseconds(200));
}

// Guards against refusals on a day on which only some calls are late.
TEST(CallGate, ServesLateCallsWhileFewAreLate)
{
    GateInputs call = usualCall();
    call.isOverloaded = false;
    GateStep last = gateSteps(call).back();
    EXPECT_FALSE(last.isInTime);
    EXPECT_DOUBLE_EQ(last.maxLoad, 1);
    EXPECT_DOUBLE_EQ(last.maxFirstEventMs, 1500) << "three quarters of what the caller waits for";
}

} // namespace Kumquatpick
