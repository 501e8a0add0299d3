#include "fleet/retryallowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr RetryLimits limits { 0.2, 100, std::chrono::seconds(10) };

    int takeAll(RetryAllowance& allowance, MonotonicTime now)
    {
        int taken = 0;
        while (allowance.takeRetry("desk", now))
            ++taken;
        return taken;
    }

    // Takes all that there is, ten times a second.
    int takeAllFor(RetryAllowance& allowance, MonotonicTime begin, Milliseconds duration)
    {
        int taken = 0;
        for (MonotonicTime now = begin; now < begin + duration; now += 100ms)
            taken += takeAll(allowance, now);
        return taken;
    }

    RetryAllowance allowanceOf(std::optional<uint32_t> nodes, MonotonicTime knownAt = start - std::chrono::hours(1))
    {
        RetryAllowance allowance(limits, 0);
        allowance.setNodes(nodes, knownAt);
        return allowance;
    }

}

// A process that has just started does not know the retries of the previous one.
TEST(RetryAllowance, StartsFromZero)
{
    RetryAllowance allowance = allowanceOf(1, start);
    EXPECT_EQ(takeAll(allowance, start), 0);
    EXPECT_GT(takeAllFor(allowance, start, 5s), 30);
}

TEST(RetryAllowance, SharesTheFixedPartBetweenNodes)
{
    RetryAllowance allowance = allowanceOf(10);
    EXPECT_EQ(takeAllFor(allowance, start, 10s), 9) << "a tenth of 100, less the reserve, and what was left before";
    for (int i = 0; i < 100; ++i)
        allowance.recordFirstSend("desk", start + 11s);
    EXPECT_EQ(takeAll(allowance, start + 11s), 17) << "one of them is of the fixed part";
    EXPECT_FALSE(allowance.takeRetry("other", start + 11s) && takeAll(allowance, start + 11s) > 0)
        << "services count separately";
}

TEST(RetryAllowance, HasNoFixedPartWhileTheNodesAreUnknown)
{
    RetryAllowance allowance = allowanceOf(std::nullopt);
    EXPECT_EQ(takeAllFor(allowance, start, 10s), 0);
    for (int i = 0; i < 100; ++i)
        allowance.recordFirstSend("desk", start + 10s);
    EXPECT_EQ(takeAll(allowance, start + 10s), 16);
}

// Guards against tokens that add up while nothing needs a retry, and are spent in one window.
TEST(RetryAllowance, UnusedTokensExpire)
{
    RetryAllowance allowance = allowanceOf(1);
    for (int i = 0; i < 1000; ++i)
        allowance.recordFirstSend("desk", start + i * 10ms);
    constexpr double perSecond = 0.8 * (0.2 * 100 + 10);
    EXPECT_NEAR(takeAll(allowance, start + 10s), perSecond * toSeconds(RetryAllowance::tokenLifetime), perSecond / 4);
    EXPECT_EQ(takeAll(allowance, start + 20s), 16) << "the fixed part alone";
}

// Guards against a small node, which never has a whole token, and so would never retry.
TEST(RetryAllowance, FractionsAddUp)
{
    RetryAllowance allowance = allowanceOf(1000);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        MonotonicTime now = start + i * 3s;
        allowance.recordFirstSend("desk", now);
        taken += allowance.takeRetry("desk", now) ? 1 : 0;
    }
    EXPECT_NEAR(taken, 1000 * (0.16 + 0.016), 3);
}

// The retries of all nodes never exceed the fleet's limit in any window.
RC_GTEST_PROP(RetryAllowance, KeepsTheLimitInEachWindow, (const std::vector<uint8_t>& pauses))
{
    RetryAllowance allowance = allowanceOf(1);
    MonotonicTime now = start;
    std::vector<std::pair<MonotonicTime, bool>> events; // Time, and whether it was a retry.
    for (uint8_t pause : pauses) {
        now += Milliseconds(pause * 10);
        allowance.recordFirstSend("desk", now);
        events.emplace_back(now, false);
        while (allowance.takeRetry("desk", now))
            events.emplace_back(now, true);
    }
    for (const auto& [begin, isRepeat] : events) {
        double first = 0;
        double repeats = 0;
        for (const auto& [at, repeated] : events) {
            // First sends of the previous window count as well.
            first += !repeated && at > begin - limits.window && at <= begin + limits.window ? 1 : 0;
            repeats += repeated && at >= begin && at < begin + limits.window ? 1 : 0;
        }
        RC_ASSERT(repeats <= limits.ratio * first + limits.allowance);
    }
}

} // namespace Kumquatpick
