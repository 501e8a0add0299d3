#include "fleet/retrydetector.h"

#include "base/random.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds targetLatency { 400 };

    Milliseconds randomTimeout(Random& random, int lowest, int highest)
    {
        return Milliseconds(lowest + static_cast<int>(random() % static_cast<unsigned>(highest - lowest)));
    }

}

// First attempts have timeouts of 85 to 100% of the longest one, as set by phones. One in six calls is a retry after a
// refusal, and its timeout is 1.5 to 3 s shorter.
TEST(RetryDetector, IgnoresTheUsualSpread)
{
    RetryDetector detector;
    Random random(3);
    int falsePositives = 0;
    int detectedRetries = 0;
    for (int i = 0; i < 3000; ++i) {
        bool isRetry = i > 300 && i % 6 == 0;
        Milliseconds timeout
            = randomTimeout(random, 6800, 8000) - (isRetry ? randomTimeout(random, 1500, 3000) : Milliseconds(0));
        bool isDetected = detector.classifyAsRetry(timeout, targetLatency);
        falsePositives += !isRetry && isDetected;
        detectedRetries += isRetry && isDetected;
    }
    EXPECT_LT(falsePositives, 25) << "of about 2,550 first attempts";
    EXPECT_GT(detectedRetries, 200) << "of 450 retries";
}

TEST(RetryDetector, DetectsRetriesAmongCallersWithOneTimeout)
{
    RetryDetector detector;
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(detector.classifyAsRetry(Milliseconds(6000), targetLatency));
    EXPECT_TRUE(detector.classifyAsRetry(Milliseconds(5400), targetLatency));
    EXPECT_FALSE(detector.classifyAsRetry(Milliseconds(5800), targetLatency));
}

TEST(RetryDetector, IsNotShiftedByOneVeryLongTimeout)
{
    RetryDetector detector;
    for (int i = 0; i < 100; ++i)
        detector.classifyAsRetry(Milliseconds(6000), targetLatency);
    detector.classifyAsRetry(Milliseconds(60'000), targetLatency);
    EXPECT_FALSE(detector.classifyAsRetry(Milliseconds(6000), targetLatency));
}

} // namespace Kumquatpick
