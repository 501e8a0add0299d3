#include "fleet/retrydetector.h"

#include "base/random.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds target { 400 };

    Milliseconds between(Random& random, int lowest, int highest)
    {
        return Milliseconds(lowest + static_cast<int>(random() % static_cast<unsigned>(highest - lowest)));
    }

}

// First attempts have timeouts of 85 to 100% of the longest one, as set by phones. One in six calls is a retry after a
// refusal, and its timeout is 1.5 to 3 s shorter.
TEST(RetryDetector, IgnoresTheUsualSpread)
{
    RetryDetector profile;
    Random random(3);
    int firstTriesCounted = 0;
    int retriesCounted = 0;
    for (int i = 0; i < 3000; ++i) {
        bool isRetry = i > 300 && i % 6 == 0;
        Milliseconds patience = between(random, 6800, 8000) - (isRetry ? between(random, 1500, 3000) : Milliseconds(0));
        bool isCounted = profile.classifyAsRetry(patience, target);
        firstTriesCounted += !isRetry && isCounted;
        retriesCounted += isRetry && isCounted;
    }
    EXPECT_LT(firstTriesCounted, 25) << "of about 2,550 first attempts";
    EXPECT_GT(retriesCounted, 200) << "of 450 retries";
}

TEST(RetryDetector, DetectsRetriesAmongCallersWithOneTimeout)
{
    RetryDetector profile;
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(profile.classifyAsRetry(Milliseconds(6000), target));
    EXPECT_TRUE(profile.classifyAsRetry(Milliseconds(5400), target));
    EXPECT_FALSE(profile.classifyAsRetry(Milliseconds(5800), target));
}

TEST(RetryDetector, IsNotShiftedByOneVeryLongTimeout)
{
    RetryDetector profile;
    for (int i = 0; i < 100; ++i)
        profile.classifyAsRetry(Milliseconds(6000), target);
    profile.classifyAsRetry(Milliseconds(60'000), target);
    EXPECT_FALSE(profile.classifyAsRetry(Milliseconds(6000), target));
}

} // namespace Kumquatpick
