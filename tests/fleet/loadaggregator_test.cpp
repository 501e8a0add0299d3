#include "fleet/loadaggregator.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

}

TEST(LoadAggregator, TotalExcludesTheNodeItself)
{
    LoadAggregator aggregator;
    aggregator.applyNodeReport("a", { { { "head-1", 3 } }, {} }, start);
    aggregator.applyNodeReport("b", { { { "head-1", 2 }, { "head-2", 5 } }, {} }, start);
    aggregator.applyZoneTotal("howrah", { { { "head-2", 7 } }, {} }, start);
    EXPECT_EQ(aggregator.zoneTotal(start).inFlight, (LoadsByHost { { "head-1", 5 }, { "head-2", 5 } }));
    EXPECT_EQ(aggregator.totalExcept("a", start).inFlight, (LoadsByHost { { "head-1", 2 }, { "head-2", 12 } }));
    EXPECT_EQ(aggregator.totalExcept("c", start).inFlight, (LoadsByHost { { "head-1", 5 }, { "head-2", 12 } }));
}

TEST(LoadAggregator, UsesTheLatestReportOfANode)
{
    LoadAggregator aggregator;
    aggregator.applyNodeReport("a", { { { "head-1", 3 } }, {} }, start);
    aggregator.applyNodeReport("a", { {}, {} }, start + Milliseconds(200));
    EXPECT_TRUE(aggregator.zoneTotal(start + Milliseconds(200)).inFlight.empty());
    EXPECT_TRUE(aggregator.hasNodeReports(start + Milliseconds(200)))
        << "a node without calls still counts as reporting";
}

// The requests of a node that stopped, or of a zone that is partitioned, must not count forever.
TEST(LoadAggregator, DropsSilentSenders)
{
    LoadAggregator aggregator;
    aggregator.applyNodeReport("a", { { { "head-1", 3 } }, {} }, start);
    aggregator.applyZoneTotal("howrah", { { { "head-2", 7 } }, {} }, start);
    EXPECT_TRUE(aggregator.hasRecentZoneTotal("howrah", Milliseconds(150), start + Milliseconds(100)));
    EXPECT_FALSE(aggregator.hasRecentZoneTotal("howrah", Milliseconds(150), start + Milliseconds(300)));
    MonotonicTime later = start + Milliseconds(1600);
    EXPECT_TRUE(aggregator.totalExcept("b", later).inFlight.empty());
    EXPECT_FALSE(aggregator.hasNodeReports(later));
}

// The age at which a report arrives grows until the next one.
TEST(LoadAggregator, ProgressAgesAndTheLatestCounts)
{
    LoadAggregator aggregator;
    NodeLoads early;
    early.progressAges = { { "head-1", Milliseconds(100) }, { "head-2", Milliseconds(3900) } };
    NodeLoads late;
    late.progressAges = { { "head-1", Milliseconds(300) } };
    aggregator.applyNodeReport("a", early, start);
    aggregator.applyZoneTotal("howrah", late, start + Milliseconds(400));
    AgesByHost ages = aggregator.totalExcept("b", start + Milliseconds(400)).progressAges;
    EXPECT_EQ(ages, (AgesByHost { { "head-1", Milliseconds(300) } })) << "the other one is too old by now";
    EXPECT_EQ(aggregator.zoneTotal(start).progressAges.at("head-2"), Milliseconds(3900));
}

// Guards against refused calls of one service that count for another one with a model of the same name.
TEST(LoadAggregator, KeepsTheUnmetDemandOfServicesApart)
{
    LoadAggregator aggregator;
    ServiceModel writers { "writers", "large" };
    ServiceModel writersNew { "writers-new", "large" };
    aggregator.applyNodeReport("a", { {}, { { writers, 3 } } }, start);
    aggregator.applyNodeReport("b", { {}, { { writers, 2 }, { writersNew, 5 } } }, start);
    aggregator.applyZoneTotal("howrah", { {}, { { writersNew, 7 } } }, start);
    EXPECT_EQ(aggregator.zoneTotal(start).unmetDemand, (UnmetDemand { { writers, 5 }, { writersNew, 5 } }));
    EXPECT_EQ(aggregator.totalExcept("a", start).unmetDemand, (UnmetDemand { { writers, 2 }, { writersNew, 12 } }));
}

} // namespace Kumquatpick
