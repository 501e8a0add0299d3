#include "policy/retrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

} // namespace

TEST(MayRetry, OnlyRepeatableOrUnsentRequests)
{
    for (auto code : { ErrorCode::Unreachable, ErrorCode::Timeout, ErrorCode::BrokenOff, ErrorCode::Refused,
             ErrorCode::Stale, ErrorCode::Malformed, ErrorCode::Overloaded }) {
        EXPECT_FALSE(mayRetry(code, false, true));
        EXPECT_TRUE(mayRetry(code, false, false));
        EXPECT_TRUE(mayRetry(code, true, true));
    }
    for (auto code :
        { ErrorCode::InvalidArgument, ErrorCode::NotFound, ErrorCode::ShuttingDown, ErrorCode::Internal }) {
        EXPECT_FALSE(mayRetry(code, true, false));
    }
}

// For any sequence of first attempts and retries, the retries stay within a twentieth of the attempts, plus the amounts
// earned per second and available at the start.
RC_GTEST_PROP(RetryBudget, RetriesStayWithinTheirShare, (const std::vector<std::pair<bool, uint8_t>>& steps))
{
    RetryBudget budget;
    MonotonicTime now = start;
    double tries = 0;
    double retries = 0;
    for (auto [first, pause] : steps) {
        now += Milliseconds(pause);
        if (first) {
            budget.recordFirstAttempt("s", now);
            tries += 1;
        } else if (budget.takeRetry("s", now)) {
            retries += 1;
        }
        RC_ASSERT(retries <= 3 + 0.05 * tries + 0.1 * toSeconds(now - start) + 1e-6);
    }
}

// Retries must not keep a failing service overloaded. Once it has recovered, retries are earned again.
TEST(RetryBudget, EarnsLessWhileItStaysEmptyAndRecovers)
{
    RetryBudget budget;
    auto retriesOf = [&budget](int tries, int wishesEach) {
        int retries = 0;
        for (int i = 0; i < tries; ++i) {
            budget.recordFirstAttempt("s", start);
            for (int wish = 0; wish < wishesEach; ++wish)
                retries += budget.takeRetry("s", start);
        }
        return retries;
    };
    retriesOf(100, 1);
    EXPECT_LE(retriesOf(1000, 1), 10);
    retriesOf(3000, 0);
    EXPECT_GE(retriesOf(40, 1), 4);
}

} // namespace Kumquatpick
