#include "fleet/logreads.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr Milliseconds storeAnswerTime { 4 };
    // Within which a change must take effect at every node that is connected to the store.
    constexpr Milliseconds maxDelay { 2000 };
    // From a node that follows the log to one that polls it several times a second.
    constexpr Milliseconds forwardingDelay { 450 };

    // An outage during which the store answers neither new nor waiting calls.
    struct Outage {
        MonotonicTime from;
        MonotonicTime until;
    };

    // A node that follows a log from the time start.
    struct Follower {
        LogReads reads;
        double draw = 1; // 1 gives the longest pauses.

        // The times at which the node reads the records that the store accepts at the given times, in order.
        std::vector<MonotonicTime> readTimes(
            const std::vector<MonotonicTime>& accepted, const std::vector<Outage>& silences)
        {
            std::vector<MonotonicTime> result;
            MonotonicTime now = start;
            while (result.size() < accepted.size()) {
                ReadTerms terms = reads.next();
                MonotonicTime nextRecord = accepted[result.size()];
                MonotonicTime answerAt = std::clamp(nextRecord, now, now + terms.hold) + storeAnswerTime;
                bool isLost = answerAt - now > terms.patience || std::ranges::any_of(silences, [&](const Outage& s) {
                    return s.from < answerAt && now < s.until;
                });
                now = isLost ? now + terms.patience + reads.failed(draw) : answerAt;
                if (isLost)
                    continue;
                reads.succeeded();
                while (result.size() < accepted.size() && accepted[result.size()] <= now)
                    result.push_back(now);
            }
            return result;
        }
    };

    // The longest time between the store's acceptance of a record and the node's read of it.
    Milliseconds longestDelay(
        Follower follower, const std::vector<MonotonicTime>& accepted, const std::vector<Outage>& silences)
    {
        auto readAt = follower.readTimes(accepted, silences);
        MonotonicTime::duration longest {};
        for (size_t i = 0; i < accepted.size(); ++i)
            longest = std::max(longest, readAt[i] - accepted[i]);
        return std::chrono::ceil<Milliseconds>(longest);
    }

}

// Guards against a fault in which callers were served by old configurations more than 2 s after the store had accepted
// newer ones. The store was down for 6 s. Every node lost the read that the store was holding, and also the next one,
// sent shortly before the store recovered: it blocked its node until its time-out of 4.7 s, although the store had been
// serving every call for 3 s and answered reads of the host list. The logs showed two reads of 4.70 s, 0.1 s apart, and
// then all versions at once. The test starts an outage at every point of a read, with every length up to 12 s, and has
// the store accept a change as soon as it recovers.
TEST(LogReads, ReadsEachRecordInTimeAfterAnOutageOfAnyLength)
{
    constexpr Milliseconds timeStep { 100 };
    for (Milliseconds begin { 0 }; begin < Milliseconds(6000); begin += timeStep) {
        for (Milliseconds length = timeStep; length < Milliseconds(12'000); length += timeStep) {
            Outage silence { start + begin, start + begin + length };
            std::vector<MonotonicTime> accepted { silence.until, silence.until + Milliseconds(300) };
            for (double draw : { 0.0, 1.0 }) {
                Milliseconds delay = longestDelay({ LogReads::forMaxDelay(maxDelay), draw }, accepted, { silence });
                ASSERT_LE(delay + forwardingDelay, maxDelay)
                    << "silent from " << begin.count() << " ms on for " << length.count();
            }
        }
    }
}

// With repeated outages, before nodes have recovered, and frequent changes, no record is late that the store accepted
// while it was serving.
RC_GTEST_PROP(LogReads, ReadsEachRecordOfAServingStoreInTime, ())
{
    auto within = Milliseconds(*rc::gen::inRange(2000, 6000));
    std::vector<Outage> silences;
    std::vector<MonotonicTime> accepted;
    MonotonicTime now = start;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
        Outage silence { now + Milliseconds(*rc::gen::inRange(0, 9000)), {} };
        silence.until = silence.from + Milliseconds(*rc::gen::inRange(1, 12'000));
        // The store serves long enough before the next outage that each change must have arrived.
        now = silence.until;
        for (int changes = *rc::gen::inRange(1, 6); changes > 0; --changes) {
            accepted.push_back(now);
            now += Milliseconds(*rc::gen::inRange(60, 700));
        }
        now = accepted.back() + within;
        silences.push_back(silence);
    }
    double draw = *rc::gen::inRange(0, 101) / 100.0;
    RC_ASSERT(longestDelay({ LogReads::forMaxDelay(within), draw }, accepted, silences) <= within);
}

} // namespace Kumquatpick
