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
    // In which a change must be in force at every node that is in touch with the store.
    constexpr Milliseconds maxDelay { 2000 };
    // By a node that follows the log to one that asks it for news some times a second.
    constexpr Milliseconds forwardingDelay { 450 };

    // While it lasts the store answers nobody, neither calls that come nor those that wait.
    struct Outage {
        MonotonicTime from;
        MonotonicTime until;
    };

    // One node that follows a log, from start on.
    struct Follower {
        LogReads reads;
        double draw = 1; // Longest pauses.

        // When it reads each of the records, which the store accepts at these times in order.
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
                reads.answered();
                while (result.size() < accepted.size() && accepted[result.size()] <= now)
                    result.push_back(now);
            }
            return result;
        }
    };

    // How long after the store accepted it, or came back, the node read a record; the longest.
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

// Callers were served by old versions of the configuration, over two seconds after the store had accepted newer ones.
// The store had been silent for 6 s and had served every call for 3 s since. Every node's read of the configuration,
// which the store may hold for seconds, had been lost in the same moment, and so had the next one, sent shortly before
// the store was back: it blinded its node for the 4.7 s until it was given up, while reads of the list of hosts were
// answered. Each node's lines said so: two reads that waited for 4.70 s, with 0.1 s between them, and all versions in
// one go after them. Here the store falls silent at each moment of a read and for each time up to 12 s, and accepts a
// change as soon as it is back.
TEST(LogReads, ReadsEachRecordInTimeAfterAnOutageOfAnyLength)
{
    constexpr Milliseconds timeStep { 100 };
    for (Milliseconds begin { 0 }; begin < Milliseconds(6000); begin += timeStep) {
        for (Milliseconds length = timeStep; length < Milliseconds(12'000); length += timeStep) {
            Outage silence { start + begin, start + begin + length };
            std::vector<MonotonicTime> accepted { silence.until, silence.until + Milliseconds(300) };
            for (double draw : { 0.0, 1.0 }) {
                Milliseconds delay = longestDelay({ LogReads::forNewsWithin(maxDelay), draw }, accepted, { silence });
                ASSERT_LE(delay + forwardingDelay, maxDelay)
                    << "silent from " << begin.count() << " ms on for " << length.count();
            }
        }
    }
}

// The store may fall silent again before nodes have recovered, and change often; no record is late that it accepted
// while it served.
RC_GTEST_PROP(LogReads, ReadsEachRecordOfAServingStoreInTime, ())
{
    auto within = Milliseconds(*rc::gen::inRange(2000, 6000));
    std::vector<Outage> silences;
    std::vector<MonotonicTime> accepted;
    MonotonicTime now = start;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
        Outage silence { now + Milliseconds(*rc::gen::inRange(0, 9000)), {} };
        silence.until = silence.from + Milliseconds(*rc::gen::inRange(1, 12'000));
        // Served for long enough before the next one that each change must have arrived.
        now = silence.until;
        for (int changes = *rc::gen::inRange(1, 6); changes > 0; --changes) {
            accepted.push_back(now);
            now += Milliseconds(*rc::gen::inRange(60, 700));
        }
        now = accepted.back() + within;
        silences.push_back(silence);
    }
    double draw = *rc::gen::inRange(0, 101) / 100.0;
    RC_ASSERT(longestDelay({ LogReads::forNewsWithin(within), draw }, accepted, silences) <= within);
}

} // namespace Kumquatpick
