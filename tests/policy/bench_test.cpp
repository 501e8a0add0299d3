#include "policy/bench_model.h"
#include "policy/bench_retries.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

TEST(PolicyBench, TheSameSeedGivesTheSameFigures)
{
    BenchTable first = benchRetries(7);
    BenchTable second = benchRetries(7);
    EXPECT_EQ(first.rows, second.rows);
    EXPECT_NE(first.rows, benchRetries(8).rows);
    for (const auto& row : first.rows)
        EXPECT_EQ(row.size(), first.columns.size());
}

// Compares with times computed by hand for an idle, a shared and a full replica and for a cached prompt.
TEST(PolicyBench, TheModelReplicaMatchesTimesComputedByHand)
{
    EventQueue events;
    std::map<uint64_t, double> firstTokens;
    std::map<uint64_t, double> ends;
    ModelReplica::Callbacks callbacks;
    callbacks.firstToken = [&](uint64_t id, double) { firstTokens[id] = events.now(); };
    callbacks.finished = [&](uint64_t id) { ends[id] = events.now(); };
    callbacks.cacheChanged = [](uint64_t, bool) {};
    ModelReplica replica(events, { 2, 1, 0.5, 100 }, callbacks);
    replica.start({ 1, { 10, 11 }, 2, 1, 3 });
    events.runUntil(100);
    EXPECT_DOUBLE_EQ(firstTokens[1], 3);
    EXPECT_DOUBLE_EQ(ends[1], 6);
    // Both prefixes are cached, so only the fixed second remains. Two streams run at 1 / 1.5 of the speed each, and the
    // third request waits for one of them to end.
    replica.start({ 2, { 10, 11 }, 2, 1, 1 });
    replica.start({ 3, { 10, 11 }, 2, 1, 1 });
    replica.start({ 4, {}, 0, 1, 1 });
    EXPECT_EQ(replica.queued(), 1U);
    events.runUntil(200);
    EXPECT_DOUBLE_EQ(firstTokens[2], 101.5);
    EXPECT_DOUBLE_EQ(ends[3], 103);
    EXPECT_DOUBLE_EQ(ends[4], 105);
    replica.start({ 5, {}, 0, 1, 50 });
    replica.cancel(5);
    EXPECT_EQ(replica.running(), 0U);
}

} // namespace Kumquatpick
