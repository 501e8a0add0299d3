#include "fleet/evacuations.h"

#include "fleet/evacuationsimulation.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using enum Evacuations::Verdict;

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr Milliseconds evacuateWithin { 5000 };

    // Applies the records of a log from the offset on, as a node that follows it.
    void follow(Evacuations& evacuations, const std::vector<std::pair<std::string, Evacuations::Verdict>>& log,
        uint64_t from, uint64_t to)
    {
        for (uint64_t offset = from; offset < to; ++offset)
            evacuations.applyRecord(log[offset].first, log[offset].second, offset, start);
        evacuations.advance(to);
    }

    class EvacuationsOfNodes : public testing::TestWithParam<size_t> { };

}

TEST(Evacuations, HoldsWhileTheRecordExists)
{
    Evacuations evacuations;
    EXPECT_FALSE(evacuations.report(start)) << "nothing to tell where nothing is evacuated";
    evacuations.applyRecord("a", Requested, 4, start);
    evacuations.advance(5);
    EXPECT_TRUE(evacuations.isEvacuated("a"));
    EXPECT_FALSE(evacuations.isEvacuated("b"));
    EXPECT_EQ(evacuations.zones().at("a"), start);
    uint64_t version = evacuations.version();
    evacuations.applyRecord("a", Requested, 5, start + Milliseconds(700));
    EXPECT_EQ(evacuations.zones().at("a"), start) << "it is still the same evacuation";
    EXPECT_EQ(evacuations.version(), version);
    evacuations.applyRecord("a", Lifted, 6, start);
    EXPECT_FALSE(evacuations.isEvacuated("a"));
}

// Guards against a zone that is taken back, or left in use, because a request could not be read.
TEST(Evacuations, UnreadableRecordsChangeNothing)
{
    Evacuations evacuations;
    evacuations.applyRecord("a", Unreadable, 1, start);
    EXPECT_FALSE(evacuations.isEvacuated("a"));
    evacuations.applyRecord("a", Requested, 2, start);
    evacuations.applyRecord("a", Unreadable, 3, start);
    evacuations.advance(4);
    EXPECT_TRUE(evacuations.isEvacuated("a"));
    evacuations.beginListing();
    evacuations.applyRecord("a", Unreadable, 3, start);
    evacuations.applyRecord("b", Unreadable, 4, start);
    evacuations.endListing(5, start);
    EXPECT_TRUE(evacuations.isEvacuated("a"));
    EXPECT_FALSE(evacuations.isEvacuated("b"));
}

// Guards against an evacuation that outlives its record: a listing does not name deleted keys.
TEST(Evacuations, AListingWithoutTheZoneEndsItsEvacuation)
{
    Evacuations evacuations;
    evacuations.applyRecord("a", Requested, 1, start);
    evacuations.advance(2);
    evacuations.beginListing();
    evacuations.endListing(9, start);
    EXPECT_FALSE(evacuations.isEvacuated("a"));
}

// Guards against a zone that is evacuated again by a node that has yet to learn that it was taken back, or by this
// node's own slower reads of the log.
TEST(Evacuations, NothingOlderReplacesTheState)
{
    Evacuations evacuations;
    evacuations.applyReport({ 8, {} }, start);
    evacuations.applyReport({ 7, { { "a", Milliseconds(100) } } }, start);
    EXPECT_FALSE(evacuations.isEvacuated("a"));
    ASSERT_TRUE(evacuations.report(start)) << "the other node has to hear of it";
    EXPECT_EQ(evacuations.report(start)->asOf, 8u);
    evacuations.applyRecord("a", Requested, 5, start);
    evacuations.advance(6);
    EXPECT_FALSE(evacuations.isEvacuated("a"));
    evacuations.beginListing();
    evacuations.applyRecord("a", Requested, 5, start);
    evacuations.endListing(6, start);
    EXPECT_FALSE(evacuations.isEvacuated("a"));
    evacuations.applyRecord("a", Requested, 8, start);
    EXPECT_TRUE(evacuations.isEvacuated("a"));
}

TEST(Evacuations, KeepsTheEarliestTimeThatANodeKnows)
{
    Evacuations evacuations;
    evacuations.applyReport({ 3, { { "a", Milliseconds(400) }, { "", Milliseconds(1) } } }, start);
    EXPECT_EQ(evacuations.zones().at("a"), start - Milliseconds(400));
    EXPECT_EQ(evacuations.zones().size(), 1u);
    evacuations.applyReport({ 4, { { "a", Milliseconds(-900) } } }, start);
    EXPECT_EQ(evacuations.zones().at("a"), start - Milliseconds(400));
}

RC_GTEST_PROP(Evacuations, NodesThatReadTheSameLogAgreeWhateverTheyHeardFromEachOther, (uint64_t seed))
{
    Random random(seed);
    std::vector<std::pair<std::string, Evacuations::Verdict>> log;
    for (size_t i = random() % 30; i > 0; --i)
        log.emplace_back(std::string(1, static_cast<char>('a' + random() % 3)), random() % 2 == 0 ? Requested : Lifted);
    Evacuations expected;
    follow(expected, log, 0, log.size());
    std::array<Evacuations, 2> readers;
    std::array<uint64_t, 2> next {};
    while (next[0] < log.size() || next[1] < log.size()) {
        size_t reader = random() % 2;
        uint64_t to = std::min<uint64_t>(log.size(), next[reader] + 1 + random() % 3);
        follow(readers[reader], log, next[reader], to);
        next[reader] = to;
        auto report = readers[reader].report(start);
        if (report && random() % 2 == 0)
            readers[1 - reader].applyReport(*report, start);
    }
    for (const char* zone : { "a", "b", "c" }) {
        RC_ASSERT(readers[0].isEvacuated(zone) == expected.isEvacuated(zone));
        RC_ASSERT(readers[1].isEvacuated(zone) == expected.isEvacuated(zone));
    }
}

TEST_P(EvacuationsOfNodes, ZoneGetsNothingAfterTheBoundUntilItIsTakenBack)
{
    EvacuationSimulation fleet(GetParam(), 7);
    fleet.run(Milliseconds(2000));
    std::string zone = EvacuationSimulation::zoneName(1);
    fleet.write(zone, Requested);
    MonotonicTime acknowledged = fleet.now;
    fleet.run(Milliseconds(10'000));
    EXPECT_EQ(fleet.sent(zone, acknowledged + evacuateWithin, fleet.now), 0u);
    EXPECT_GT(fleet.sent(EvacuationSimulation::zoneName(0), acknowledged + evacuateWithin, fleet.now), 0u);
    fleet.write(zone, Lifted);
    fleet.run(evacuateWithin);
    EXPECT_TRUE(fleet.doAllSend(zone));
}

TEST_P(EvacuationsOfNodes, HoldsWhileNodesLoseTheLogAndStartAgain)
{
    EvacuationSimulation fleet(GetParam(), 11);
    fleet.cutFromLog = { 0, 1, 3 }; // Of six readers.
    fleet.run(Milliseconds(2000));
    std::string zone = EvacuationSimulation::zoneName(1);
    fleet.write(zone, Requested);
    MonotonicTime acknowledged = fleet.now;
    fleet.run(Milliseconds(200));
    fleet.isLogDown = true;
    fleet.run(evacuateWithin);
    for (size_t node = 0; node < fleet.size(); node += 3) {
        fleet.restart(node);
        fleet.run(Milliseconds(100));
    }
    fleet.isLogDown = false;
    fleet.compact();
    fleet.run(Milliseconds(3000));
    EXPECT_EQ(fleet.sent(zone, acknowledged + evacuateWithin, fleet.now), 0u);
    fleet.write(zone, Lifted);
    fleet.compact(); // Readers that were behind find no record of the zone at all.
    fleet.run(evacuateWithin);
    EXPECT_TRUE(fleet.doAllSend(zone));
}

TEST_P(EvacuationsOfNodes, HoldsAfterAllNodesStartAgain)
{
    EvacuationSimulation fleet(GetParam(), 13);
    fleet.run(Milliseconds(2000));
    std::string zone = EvacuationSimulation::zoneName(2);
    fleet.write(zone, Requested);
    MonotonicTime acknowledged = fleet.now;
    fleet.run(Milliseconds(3000));
    for (size_t node = 0; node < fleet.size(); ++node)
        fleet.restart(node);
    fleet.run(Milliseconds(8000));
    EXPECT_EQ(fleet.sent(zone, acknowledged + evacuateWithin, fleet.now), 0u);
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, EvacuationsOfNodes, testing::Values(6, 78, 300));

} // namespace Kumquatpick
