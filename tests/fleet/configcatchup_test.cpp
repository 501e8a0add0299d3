#include "fleet/configcatchup.h"

#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

}

// Sixty nodes hear of a new version from eight peers four times a second while the store brings it to nobody. Each asks
// once; pushed by every peer that knew an older version of the reader, the text went out up to 32 times a second.
TEST(ConfigCatchUp, FetchesAVersionOnceFromOnePeer)
{
    ConfigCatchUp catchUp;
    Random random(1);
    int asks = 0;
    uint64_t own = 7;
    for (MonotonicTime now = start; now < start + Milliseconds(3000); now += Milliseconds(31)) {
        catchUp.heard("peer-" + std::to_string(random() % 59), false, 8, now);
        auto peer = catchUp.beginAsk(own, true, now, random);
        if (!peer)
            continue;
        ++asks;
        own = 8;
        catchUp.askEnded();
    }
    EXPECT_EQ(asks, 1);
}

TEST(ConfigCatchUp, WaitsForTheStoreFirst)
{
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.heard("a", true, 8, start);
    EXPECT_FALSE(catchUp.beginAsk(7, true, start + Milliseconds(200), random));
    EXPECT_FALSE(catchUp.beginAsk(8, true, start + Milliseconds(500), random)) << "the store has brought it";
    EXPECT_EQ(catchUp.beginAsk(7, true, start + Milliseconds(500), random), "a");
    ConfigCatchUp withoutConfig;
    withoutConfig.heard("a", true, 8, start);
    EXPECT_EQ(withoutConfig.beginAsk(0, false, start, random), "a") << "a node without any configuration serves nobody";
    ConfigCatchUp withReaderNode;
    withReaderNode.heard("reader", true, 8, start);
    EXPECT_EQ(withReaderNode.beginAsk(7, false, start, random), "reader")
        << "another node reads the store for this one";
}

// Each new version put off the ask by the time that the store is given to bring one: a node that the store had turned
// away stayed behind for as long as changes followed each other within 0.3 s.
TEST(ConfigCatchUp, FetchesInTimeWhileChangesFollowEachOther)
{
    ConfigCatchUp catchUp;
    Random random(1);
    uint64_t version = 7;
    std::optional<MonotonicTime> askedAt;
    for (MonotonicTime now = start; !askedAt && now < start + Milliseconds(4000); now += Milliseconds(50)) {
        if ((now - start) % Milliseconds(200) == MonotonicTime::duration(0))
            catchUp.heard("a", true, ++version, now);
        if (catchUp.beginAsk(7, true, now, random))
            askedAt = now;
    }
    ASSERT_TRUE(askedAt);
    EXPECT_LE(*askedAt - start, Milliseconds(350));
}

// The store keeps up with them: no text goes over the links twice.
TEST(ConfigCatchUp, DoesNotFetchWhileTheStoreDeliversEachChange)
{
    ConfigCatchUp catchUp;
    Random random(1);
    for (uint64_t version = 8; version < 40; ++version) {
        MonotonicTime accepted = start + Milliseconds(100) * static_cast<int>(version);
        catchUp.heard("a", true, version, accepted);
        for (Milliseconds later { 0 }; later < Milliseconds(100); later += Milliseconds(25))
            EXPECT_FALSE(catchUp.beginAsk(version - 1, true, accepted + later, random));
    }
}

// A node that another one reads for heard of a version and asked a peer that had just been suspended. It waited for the
// answer for 1.5 s, asked nobody else meanwhile, and had the version too late; the same as a read that is lost at the
// store.
TEST(ConfigCatchUp, ObtainsAVersionInTimeIfTheFirstPeerIsSilent)
{
    constexpr Milliseconds maxGossipDelay { 450 }; // At the latest, from its acceptance on.
    constexpr Milliseconds transferTime { 100 };
    constexpr Milliseconds maxDelay { 2000 };
    constexpr Milliseconds gossipPeriod { 250 };
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.heard("a", true, 8, start);
    catchUp.heard("b", true, 8, start);
    std::vector<MonotonicTime> askedAt;
    std::optional<MonotonicTime> timeoutAt;
    for (MonotonicTime now = start; askedAt.size() < 2; now += gossipPeriod) {
        catchUp.heard("b", true, 8, now);
        if (timeoutAt && now >= *timeoutAt)
            catchUp.askEnded();
        if (!catchUp.beginAsk(7, false, now, random))
            continue;
        askedAt.push_back(now);
        timeoutAt = now + ConfigCatchUp::patience;
    }
    EXPECT_LE(maxGossipDelay + (askedAt.back() - start) + transferTime, maxDelay);
}

TEST(ConfigCatchUp, FetchesFromOnePeerAtATimeAndThenFromAnother)
{
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.heard("a", true, 8, start);
    catchUp.heard("b", true, 8, start);
    std::set<std::string> asked;
    for (int i = 1; i <= 2; ++i) {
        MonotonicTime now = start + Milliseconds(500) * i;
        auto peer = catchUp.beginAsk(7, true, now, random);
        ASSERT_TRUE(peer);
        asked.insert(*peer);
        EXPECT_FALSE(catchUp.beginAsk(7, true, now + Milliseconds(450), random)) << "an ask is under way";
        catchUp.askEnded();
    }
    EXPECT_EQ(asked.size(), 2u);
}

// Bytes between zones are slow and paid for.
TEST(ConfigCatchUp, PrefersItsOwnZoneAndLivePeers)
{
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.heard("silent", true, 9, start);
    for (int i = 0; i < 5; ++i)
        catchUp.heard("far-" + std::to_string(i), false, 9, start + Milliseconds(1700));
    auto first = catchUp.beginAsk(7, true, start + Milliseconds(1800), random);
    ASSERT_TRUE(first);
    EXPECT_TRUE(first->starts_with("far-"));
    catchUp.askEnded();
    catchUp.heard("near", true, 9, start + Milliseconds(2300));
    EXPECT_EQ(catchUp.beginAsk(7, true, start + Milliseconds(2400), random), "near");
}

} // namespace Kumquatpick
