#include "fleet/configcatchup.h"

#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

}

// Sixty nodes each learn of a new version from eight peers four times a second while the store delivers it to none.
// Each must fetch it once. When every peer pushed the text to nodes that it knew to be behind, it was sent up to 32
// times a second.
TEST(ConfigCatchUp, FetchesAVersionOnceFromOnePeer)
{
    ConfigCatchUp catchUp;
    Random random(1);
    int asks = 0;
    uint64_t own = 7;
    for (MonotonicTime now = start; now < start + Milliseconds(3000); now += Milliseconds(31)) {
        catchUp.recordPeerVersion("peer-" + std::to_string(random() % 59), false, 8, now);
        auto peer = catchUp.beginFetch(own, true, now, random);
        if (!peer)
            continue;
        ++asks;
        own = 8;
        catchUp.endFetch();
    }
    EXPECT_EQ(asks, 1);
}

TEST(ConfigCatchUp, WaitsForTheStoreFirst)
{
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.recordPeerVersion("a", true, 8, start);
    EXPECT_FALSE(catchUp.beginFetch(7, true, start + Milliseconds(200), random));
    EXPECT_FALSE(catchUp.beginFetch(8, true, start + Milliseconds(500), random)) << "the store has delivered it";
    EXPECT_EQ(catchUp.beginFetch(7, true, start + Milliseconds(500), random), "a");
    ConfigCatchUp withoutConfig;
    withoutConfig.recordPeerVersion("a", true, 8, start);
    EXPECT_EQ(withoutConfig.beginFetch(0, false, start, random), "a")
        << "a node without any configuration serves nobody";
    ConfigCatchUp withReaderNode;
    withReaderNode.recordPeerVersion("reader", true, 8, start);
    EXPECT_EQ(withReaderNode.beginFetch(7, false, start, random), "reader")
        << "another node reads the store for this one";
}

// Guards against a fault in which each new version restarted the time that the store is given to deliver it: a node
// that the store had refused stayed behind for as long as changes followed each other within 0.3 s.
TEST(ConfigCatchUp, FetchesInTimeWhileChangesFollowEachOther)
{
    ConfigCatchUp catchUp;
    Random random(1);
    uint64_t version = 7;
    std::optional<MonotonicTime> askedAt;
    for (MonotonicTime now = start; !askedAt && now < start + Milliseconds(4000); now += Milliseconds(50)) {
        if ((now - start) % Milliseconds(200) == MonotonicTime::duration(0))
            catchUp.recordPeerVersion("a", true, ++version, now);
        if (catchUp.beginFetch(7, true, now, random))
            askedAt = now;
    }
    ASSERT_TRUE(askedAt);
    EXPECT_LE(*askedAt - start, Milliseconds(350));
}

// The store keeps up with the changes, so no text is transferred twice.
TEST(ConfigCatchUp, DoesNotFetchWhileTheStoreDeliversEachChange)
{
    ConfigCatchUp catchUp;
    Random random(1);
    for (uint64_t version = 8; version < 40; ++version) {
        MonotonicTime accepted = start + Milliseconds(100) * static_cast<int>(version);
        catchUp.recordPeerVersion("a", true, version, accepted);
        for (Milliseconds later { 0 }; later < Milliseconds(100); later += Milliseconds(25))
            EXPECT_FALSE(catchUp.beginFetch(version - 1, true, accepted + later, random));
    }
}

// Guards against a fault in which a node that does not read the store itself fetched a version from a peer that had
// just been suspended. It waited 1.5 s for the answer without asking another peer and got the version too late, as
// after a read that is lost at the store.
TEST(ConfigCatchUp, ObtainsAVersionInTimeIfTheFirstPeerIsSilent)
{
    constexpr Milliseconds maxGossipDelay { 450 }; // At most, after the acceptance of a version.
    constexpr Milliseconds transferTime { 100 };
    constexpr Milliseconds maxDelay { 2000 };
    constexpr Milliseconds gossipPeriod { 250 };
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.recordPeerVersion("a", true, 8, start);
    catchUp.recordPeerVersion("b", true, 8, start);
    std::vector<MonotonicTime> askedAt;
    std::optional<MonotonicTime> timeoutAt;
    for (MonotonicTime now = start; askedAt.size() < 2; now += gossipPeriod) {
        catchUp.recordPeerVersion("b", true, 8, now);
        if (timeoutAt && now >= *timeoutAt)
            catchUp.endFetch();
        if (!catchUp.beginFetch(7, false, now, random))
            continue;
        askedAt.push_back(now);
        timeoutAt = now + ConfigCatchUp::responseTimeout;
    }
    EXPECT_LE(maxGossipDelay + (askedAt.back() - start) + transferTime, maxDelay);
}

TEST(ConfigCatchUp, FetchesFromOnePeerAtATimeAndThenFromAnother)
{
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.recordPeerVersion("a", true, 8, start);
    catchUp.recordPeerVersion("b", true, 8, start);
    std::set<std::string> asked;
    for (int i = 1; i <= 2; ++i) {
        MonotonicTime now = start + Milliseconds(500) * i;
        auto peer = catchUp.beginFetch(7, true, now, random);
        ASSERT_TRUE(peer);
        asked.insert(*peer);
        EXPECT_FALSE(catchUp.beginFetch(7, true, now + Milliseconds(450), random)) << "a fetch is under way";
        catchUp.endFetch();
    }
    EXPECT_EQ(asked.size(), 2u);
}

// Traffic between zones is slow and paid for.
TEST(ConfigCatchUp, PrefersItsOwnZoneAndLivePeers)
{
    ConfigCatchUp catchUp;
    Random random(1);
    catchUp.recordPeerVersion("silent", true, 9, start);
    for (int i = 0; i < 5; ++i)
        catchUp.recordPeerVersion("far-" + std::to_string(i), false, 9, start + Milliseconds(1700));
    auto first = catchUp.beginFetch(7, true, start + Milliseconds(1800), random);
    ASSERT_TRUE(first);
    EXPECT_TRUE(first->starts_with("far-"));
    catchUp.endFetch();
    catchUp.recordPeerVersion("near", true, 9, start + Milliseconds(2300));
    EXPECT_EQ(catchUp.beginFetch(7, true, start + Milliseconds(2400), random), "near");
}

} // namespace Kumquatpick
