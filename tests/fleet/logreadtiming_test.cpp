#include "fleet/logreadtiming.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr Milliseconds storeAnswerTime { 4 };
    // Time within which a change must take effect at every node that is connected to the store.
    constexpr Milliseconds maxDelay { 2000 };
    // Time to forward a record from a node that follows the log to one that polls that node several times a second.
    constexpr Milliseconds forwardingDelay { 450 };

    // An outage during which the store answers neither new nor waiting calls.
    struct Outage {
        MonotonicTime from;
        MonotonicTime until;
    };

    // A node that follows a log from the time start.
    struct Follower {
        LogReadTiming reads;
        double jitter = 1; // 1 gives the longest pauses.

        // The times at which the node reads the records that the store accepts at the given times, in order.
        std::vector<MonotonicTime> readTimes(
            const std::vector<MonotonicTime>& acceptedAt, const std::vector<Outage>& outages)
        {
            std::vector<MonotonicTime> result;
            MonotonicTime now = start;
            while (result.size() < acceptedAt.size()) {
                ReadTimeouts timeouts = reads.nextTimeouts();
                MonotonicTime nextRecord = acceptedAt[result.size()];
                MonotonicTime answerAt = std::clamp(nextRecord, now, now + timeouts.longPollTime) + storeAnswerTime;
                bool isLost = answerAt - now > timeouts.responseTimeout
                    || std::ranges::any_of(
                        outages, [&](const Outage& s) { return s.from < answerAt && now < s.until; });
                now = isLost ? now + timeouts.responseTimeout + reads.recordFailure(jitter) : answerAt;
                if (isLost)
                    continue;
                reads.recordSuccess();
                while (result.size() < acceptedAt.size() && acceptedAt[result.size()] <= now)
                    result.push_back(now);
            }
            return result;
        }
    };

    // The longest time between the store's acceptance of a record and the node's read of it.
    Milliseconds longestDelay(
        Follower follower, const std::vector<MonotonicTime>& acceptedAt, const std::vector<Outage>& outages)
    {
        auto readAt = follower.readTimes(acceptedAt, outages);
        MonotonicTime::duration longest {};
        for (size_t i = 0; i < acceptedAt.size(); ++i)
            longest = std::max(longest, readAt[i] - acceptedAt[i]);
        return std::chrono::ceil<Milliseconds>(longest);
    }

}

// Guards against serving old configurations for more than 2 s after the store accepted newer ones. After an outage of
// 6 s, every node had lost the long-polling read in progress and also the next one, sent 0.1 s later while the store
// was still down. The second read blocked its node until its time-out of 4.7 s, although the store had answered all
// other calls for 3 s. The test starts an outage at every point of a read, with every length up to 12 s, and has the
// store accept a change as soon as it recovers.
TEST(LogReadTiming, ReadsEachRecordInTimeAfterAnOutageOfAnyLength)
{
    constexpr Milliseconds timeStep { 100 };
    for (Milliseconds begin { 0 }; begin < Milliseconds(6000); begin += timeStep) {
        for (Milliseconds length = timeStep; length < Milliseconds(12'000); length += timeStep) {
            Outage outage { start + begin, start + begin + length };
            std::vector<MonotonicTime> acceptedAt { outage.until, outage.until + Milliseconds(300) };
            for (double jitter : { 0.0, 1.0 }) {
                Milliseconds delay
                    = longestDelay({ LogReadTiming::forMaxDelay(maxDelay), jitter }, acceptedAt, { outage });
                ASSERT_LE(delay + forwardingDelay, maxDelay)
                    << "outage from " << begin.count() << " ms, length in ms " << length.count();
            }
        }
    }
}

// Records that the store accepts while it is serving must be read in time, also with frequent changes and with repeated
// outages that begin before the nodes have recovered from the last one.
RC_GTEST_PROP(LogReadTiming, ReadsEachRecordOfAServingStoreInTime, ())
{
    auto delayLimit = Milliseconds(*rc::gen::inRange(2000, 6000));
    std::vector<Outage> outages;
    std::vector<MonotonicTime> acceptedAt;
    MonotonicTime now = start;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
        Outage outage { now + Milliseconds(*rc::gen::inRange(0, 9000)), {} };
        outage.until = outage.from + Milliseconds(*rc::gen::inRange(1, 12'000));
        // The store serves long enough before the next outage that each change must have arrived.
        now = outage.until;
        for (int changes = *rc::gen::inRange(1, 6); changes > 0; --changes) {
            acceptedAt.push_back(now);
            now += Milliseconds(*rc::gen::inRange(60, 700));
        }
        now = acceptedAt.back() + delayLimit;
        outages.push_back(outage);
    }
    double jitter = *rc::gen::inRange(0, 101) / 100.0;
    RC_ASSERT(longestDelay({ LogReadTiming::forMaxDelay(delayLimit), jitter }, acceptedAt, outages) <= delayLimit);
}

} // namespace Kumquatpick
