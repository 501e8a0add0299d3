#include "base/timer.h"

#include <atomic>
#include <gtest/gtest.h>

namespace Kumquatpick {

// A sanitizer run found a use after free: the timer thread waited until the due time of an entry by reference
// and read it after another thread had cancelled the entry.
TEST(Timer, CancelsASubscriptionWhileTheThreadWaitsForIt)
{
    TimerService timers;
    for (int i = 0; i < 1'000; ++i) {
        auto subscription = timers.every(Milliseconds(3'600'000), [](MonotonicTime) {});
        subscription.cancel();
    }
}

TEST(Timer, CallsBackUntilCancelled)
{
    TimerService timers;
    std::atomic<int> calls = 0;
    auto subscription = timers.every(Milliseconds(1), [&](MonotonicTime) {
        ++calls;
        calls.notify_all();
    });
    for (int seen = 0; seen < 3; seen = calls.load())
        calls.wait(seen);
    subscription.cancel();
    int afterCancel = calls;
    // The call of a second subscription comes after any late call of the first one.
    std::atomic<bool> called = false;
    auto other = timers.every(Milliseconds(2), [&](MonotonicTime) {
        called = true;
        called.notify_all();
    });
    called.wait(false);
    EXPECT_EQ(calls, afterCancel);
}

} // namespace Kumquatpick
