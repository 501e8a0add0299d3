#include "fleet/firsteventforecast.h"

#include <gtest/gtest.h>
#include <limits>
#include <string>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

    EngineTiming usualTiming()
    {
        return { .stepMs = 8,
            .perSequenceMs = 0.1,
            .promptTokensPerSecond = 50'000,
            .stepsPerPass = 6,
            .usualPromptTokens = 500,
            .usualAnswerTokens = 120 };
    }

    class FirstEventForecastTest : public testing::Test {
    protected:
        FirstEventForecastTest() { m_forecast.setTiming("writers", usualTiming()); }

        HeadLoad head(uint32_t inFlight, std::string_view id = "a") const
        {
            return { id, "writers", "small", 20, 1, inFlight };
        }
        double totalMs(const HeadLoad& load, MonotonicTime now = start, uint32_t tokens = 0) const
        {
            return m_forecast.predict(load, tokens, now)->totalMs();
        }
        // A call that gets its first event after this time.
        void observe(double ms, MonotonicTime at, std::string_view id = "a")
        {
            uint64_t send = m_forecast.sendStarted(head(0, id), 0, at);
            m_forecast.firstEventArrived(id, send, at + Milliseconds(static_cast<int64_t>(ms)));
        }

        FirstEventForecast m_forecast;
    };

}

TEST_F(FirstEventForecastTest, GrowsWithTheCallsInFlightAndTheirPrompts)
{
    EXPECT_LT(totalMs(head(0)), totalMs(head(19)));
    // Each call that waits for a slot costs a twentieth of an answer: 20 passes of 60 ms.
    EXPECT_NEAR(totalMs(head(21)) - totalMs(head(20)), 60, 1);
    EXPECT_NEAR(totalMs(head(0), start, 5500) - totalMs(head(0)), 100, 1);
    double before = totalMs(head(0));
    m_forecast.sendStarted(head(0), 5000, start);
    EXPECT_NEAR(totalMs(head(0)) - before, 100, 1) << "its prompt is read first";
    EXPECT_NEAR(totalMs(head(0, "b")) - before, 0, 1);
}

TEST_F(FirstEventForecastTest, FollowsTheModelsPace)
{
    HeadLoad fast = head(10);
    fast.pace = 0.5;
    EXPECT_NEAR(totalMs(fast), totalMs(head(10)) / 2, 1);
}

TEST_F(FirstEventForecastTest, DoesNotCountALongPromptAgainstItself)
{
    auto usual = m_forecast.predict(head(3), 500, start);
    auto longer = m_forecast.predict(head(3), 5000, start);
    EXPECT_GT(longer->totalMs(), usual->totalMs());
    EXPECT_NEAR(longer->usualMs(), usual->usualMs(), 0.1);
}

// The counts of other nodes are late, so heads are fuller than they look.
TEST_F(FirstEventForecastTest, BelievesTheObservedTimesRatherThanTheCounts)
{
    MonotonicTime now = start;
    for (int i = 0; i < 20; ++i, now += Milliseconds(100))
        observe(800, now, "head" + std::to_string(i));
    EXPECT_GT(totalMs(head(0, "other"), now), 500) << "also at heads that were not observed";
    double high = totalMs(head(0, "other"), now);
    for (int i = 0; i < 4; ++i, now += Milliseconds(100))
        observe(100, now, "head" + std::to_string(i));
    double after = totalMs(head(0, "other"), now);
    EXPECT_LT(after, high);
    EXPECT_GT(after, 300) << "it falls more slowly than it rises";
}

TEST_F(FirstEventForecastTest, ForgetsADelayThatIsNotObservedAnyMore)
{
    MonotonicTime now = start;
    for (int i = 0; i < 20; ++i, now += Milliseconds(100))
        observe(800, now);
    EXPECT_LT(totalMs(head(0), now + std::chrono::seconds(10)), 120);
}

TEST_F(FirstEventForecastTest, ExpectsLittleOfAHeadThatOwesFirstEventsForLong)
{
    m_forecast.sendStarted(head(0), 0, start);
    MonotonicTime later = start + Milliseconds(900);
    EXPECT_GT(totalMs(head(1), later), 850);
    EXPECT_LT(totalMs(head(1, "b"), later), 150);
    m_forecast.tick(later);
    EXPECT_GT(totalMs(head(1, "b"), later), 100) << "the model may be slow as a whole";
    EXPECT_LT(totalMs(head(1, "b"), later), 500) << "one stalled head does not stand for its model";
}

// What a call has waited so far is no time to the first event, so it must not count as a fast one.
TEST_F(FirstEventForecastTest, CountsOnlyEventsAsFast)
{
    for (int i = 0; i < 5; ++i)
        observe(600, start);
    m_forecast.sendStarted(head(0), 0, start);
    m_forecast.tick(start + Milliseconds(300));
    uint64_t send = m_forecast.sendStarted(head(0), 0, start);
    m_forecast.callerLeft("a", send, start + Milliseconds(300));
    EXPECT_NEAR(m_forecast.fastestMs("writers", "small"), 600, 1);
}

TEST_F(FirstEventForecastTest, PredictsNothingWithoutUsableFigures)
{
    HeadLoad load = head(0);
    load.capacity = 0;
    EXPECT_FALSE(m_forecast.predict(load, 0, start));
    EXPECT_EQ(m_forecast.sendStarted(load, 0, start), 0u);
    load = head(0);
    load.pace = std::numeric_limits<double>::quiet_NaN();
    EXPECT_FALSE(m_forecast.predict(load, 0, start));
    load = head(0);
    load.service = "unknown";
    EXPECT_FALSE(m_forecast.predict(load, 0, start));
    for (double EngineTiming::*figure : { &EngineTiming::stepMs, &EngineTiming::promptTokensPerSecond }) {
        for (double value : { 0.0, -1.0, std::numeric_limits<double>::infinity() }) {
            EngineTiming timing = usualTiming();
            timing.*figure = value;
            m_forecast.setTiming("writers", timing);
            EXPECT_FALSE(m_forecast.predict(head(0), 0, start)) << value;
        }
    }
    EXPECT_FALSE(m_forecast.firstEventArrived("a", 0, start));
    m_forecast.callerLeft("a", 7, start);
}

} // namespace Kumquatpick
