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
    double firstAttempts = 0;
    double retries = 0;
    for (auto [first, elapsedMs] : steps) {
        now += Milliseconds(elapsedMs);
        if (first) {
            budget.recordFirstAttempt("s", now);
            firstAttempts += 1;
        } else if (budget.takeRetry("s", now)) {
            retries += 1;
        }
        RC_ASSERT(retries <= 3 + 0.05 * firstAttempts + 0.1 * toSeconds(now - start) + 1e-6);
    }
}

// Retries must not keep a failing service overloaded. Once it has recovered, retries are earned again.
TEST(RetryBudget, EarnsLessWhileItStaysEmptyAndRecovers)
{
    RetryBudget budget;
    auto countRetries = [&budget](int firstAttempts, int retriesPerAttempt) {
        int retries = 0;
        for (int i = 0; i < firstAttempts; ++i) {
            budget.recordFirstAttempt("s", start);
            for (int attempt = 0; attempt < retriesPerAttempt; ++attempt)
                retries += budget.takeRetry("s", start);
        }
        return retries;
    };
    countRetries(100, 1);
    EXPECT_LE(countRetries(1000, 1), 10);
    countRetries(3000, 0);
    EXPECT_GE(countRetries(40, 1), 4);
}

} // namespace Kumquatpick
