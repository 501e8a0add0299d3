#include "fleet/loadaggregator.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

}

TEST(LoadAggregator, TotalExcludesTheNodeItself)
{
    LoadAggregator board;
    board.applyNodeReport("a", { { "head-1", 3 } }, start);
    board.applyNodeReport("b", { { "head-1", 2 }, { "head-2", 5 } }, start);
    board.applyZoneTotal("howrah", { { "head-2", 7 } }, start);
    EXPECT_EQ(board.zoneTotal(start), (LoadsByHost { { "head-1", 5 }, { "head-2", 5 } }));
    EXPECT_EQ(board.totalExcept("a", start), (LoadsByHost { { "head-1", 2 }, { "head-2", 12 } }));
    EXPECT_EQ(board.totalExcept("c", start), (LoadsByHost { { "head-1", 5 }, { "head-2", 12 } }));
}

TEST(LoadAggregator, UsesTheLatestReportOfANode)
{
    LoadAggregator board;
    board.applyNodeReport("a", { { "head-1", 3 } }, start);
    board.applyNodeReport("a", {}, start + Milliseconds(200));
    EXPECT_TRUE(board.zoneTotal(start + Milliseconds(200)).empty());
    EXPECT_TRUE(board.hasNodeReports(start + Milliseconds(200))) << "a node without calls still counts as reporting";
}

// The requests of a node that stopped, or of a zone that is partitioned, must not count forever.
TEST(LoadAggregator, DropsSilentSenders)
{
    LoadAggregator board;
    board.applyNodeReport("a", { { "head-1", 3 } }, start);
    board.applyZoneTotal("howrah", { { "head-2", 7 } }, start);
    EXPECT_TRUE(board.hasRecentZoneTotal("howrah", Milliseconds(150), start + Milliseconds(100)));
    EXPECT_FALSE(board.hasRecentZoneTotal("howrah", Milliseconds(150), start + Milliseconds(300)));
    MonotonicTime later = start + Milliseconds(1100);
    EXPECT_TRUE(board.totalExcept("b", later).empty());
    EXPECT_FALSE(board.hasNodeReports(later));
}

} // namespace Kumquatpick
