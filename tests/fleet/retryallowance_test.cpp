#include "fleet/retryallowance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr RetryLimits limits { 0.2, 100, std::chrono::seconds(10) };

    int takeAll(RetryAllowance& allowance, MonotonicTime now)
    {
        int taken = 0;
        while (allowance.takeRetry("desk", now))
            ++taken;
        return taken;
    }

}

// A process that has just started does not know the retries of the previous one.
TEST(RetryAllowance, RampsUpFromZero)
{
    RetryAllowance allowance(limits, start);
    EXPECT_EQ(takeAll(allowance, start), 0);
    EXPECT_GT(takeAll(allowance, start + std::chrono::seconds(5)), 30);
}

TEST(RetryAllowance, SharesTheFixedPartBetweenNodes)
{
    RetryAllowance allowance(limits, start - std::chrono::hours(1));
    allowance.setNodes(10);
    EXPECT_EQ(takeAll(allowance, start), 8) << "a tenth of 100, less the reserve";
    for (int i = 0; i < 100; ++i)
        allowance.recordFirstSend("desk", start);
    EXPECT_EQ(takeAll(allowance, start), 16);
    EXPECT_FALSE(allowance.takeRetry("other", start) && takeAll(allowance, start) > 0) << "services count separately";
}

// The retries of all nodes never exceed the fleet's limit in any window.
RC_GTEST_PROP(RetryAllowance, KeepsTheLimitInEachWindow, (const std::vector<uint8_t>& pauses))
{
    RetryAllowance allowance(limits, start - std::chrono::hours(1));
    allowance.setNodes(1);
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
