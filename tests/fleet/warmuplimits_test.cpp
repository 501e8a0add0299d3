#include "fleet/warmuplimits.h"

#include "fleet/balancer.h"
#include "fleet/warmupsimulation.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    const std::vector<CandidateNode> onlyNode { { "10.0.0.1:7", 1 } };

    class WarmupOfNodes : public testing::TestWithParam<size_t> { };

}

TEST(WarmupLimits, LimitsNothingWithoutARateOrWhileWarm)
{
    WarmupLimits limits;
    EXPECT_TRUE(limits.reportCold("a", "writers", Milliseconds(3000), start));
    EXPECT_TRUE(limits.admits("a", start)) << "the deployment names no rate";
    limits.setRate("writers", 17, start);
    EXPECT_FALSE(limits.admits("a", start)) << "nobody has a share yet";
    EXPECT_TRUE(limits.admits("b", start));
    limits.assignShares(onlyNode, onlyNode[0].address, start);
    EXPECT_TRUE(limits.admits("a", start + Milliseconds(500)));
    EXPECT_FALSE(limits.reportCold("a", "writers", Milliseconds(2000), start + Milliseconds(900)));
    EXPECT_FALSE(limits.isCold("a", start + Milliseconds(2900)));
    EXPECT_TRUE(limits.admits("a", start + Milliseconds(2900)));
    limits.assignShares(onlyNode, onlyNode[0].address, start + Milliseconds(3000));
    EXPECT_EQ(limits.size(), 0u);
}

TEST(WarmupLimits, AReportEndsItEarlyButNotAnAssumption)
{
    WarmupLimits limits;
    limits.setRate("writers", 17, start);
    limits.reportCold("a", "writers", Milliseconds(9000), start);
    EXPECT_TRUE(limits.reportCold("a", "writers", Milliseconds(0), start));
    EXPECT_TRUE(limits.admits("a", start));
    limits.assumeCold("a", "writers", Milliseconds(3000), start);
    EXPECT_FALSE(limits.reportCold("a", "writers", Milliseconds(0), start));
    EXPECT_TRUE(limits.isCold("a", start)) << "the record may be older than the reason to assume it";
}

// Guards against faulty figures: they neither block a server for good nor allow everything.
TEST(WarmupLimits, BoundsWhatItIsTold)
{
    WarmupLimits limits;
    limits.setRate("writers", std::numeric_limits<double>::infinity(), start);
    limits.reportCold("a", "writers", Milliseconds(std::numeric_limits<int64_t>::max() / 2'000'000), start);
    EXPECT_TRUE(limits.admits("a", start)) << "no rate that could be kept";
    EXPECT_FALSE(limits.isCold("a", start + std::chrono::minutes(11)));
    limits.reportCold("b", "writers", Milliseconds(-5), start);
    EXPECT_FALSE(limits.isCold("b", start));
}

// Guards against a choice that fills a cold server, and against one that leaves it idle.
TEST(WarmupLimits, TheBalancerSendsAColdServerLittleAtATime)
{
    Balancer balancer("z1", WarmupBound());
    balancer.setTargets({ { "cold", "writers", "m", "z1", 500, 1 } });
    balancer.warmups().setRate("writers", 10, start);
    balancer.warmups().reportCold("cold", "writers", Milliseconds(60'000), start);
    balancer.warmups().assignShares(onlyNode, onlyNode[0].address, start);
    Random random(3);
    int sent = 0;
    for (MonotonicTime now = start; now < start + std::chrono::seconds(10); now += Milliseconds(5)) {
        std::string id = balancer.choose({ "writers", "m", {}, 0 }, now, random);
        if (id.empty())
            continue;
        balancer.sendStarted(id, now);
        ++sent;
    }
    EXPECT_GE(sent, 70);
    EXPECT_LE(sent, 100);
}

// The rule's own count: in no second more than the rate times the overrun, plus the allowance, from all nodes.
TEST_P(WarmupOfNodes, ReturningServersGetNoMoreThanTheyTake)
{
    WarmupSimulation fleet(GetParam(), 15, 17, 900, 5);
    fleet.turnCold(Milliseconds(12'000));
    fleet.run(Milliseconds(12'000));
    EXPECT_LE(fleet.maxInASecond(), fleet.allowed());
    MonotonicTime settled = fleet.coldSince + std::chrono::seconds(4);
    double perServer = static_cast<double>(fleet.arrivals(settled, fleet.coldUntil)) / 8 / 15;
    EXPECT_GE(perServer, 17 * 0.4) << "they are worth having";
    fleet.run(Milliseconds(3000));
    EXPECT_GE(fleet.arrivals(fleet.coldUntil + Milliseconds(2000), fleet.now), 700u) << "warm ones take all";
}

TEST_P(WarmupOfNodes, HoldsWhileNodesStartAgain)
{
    WarmupSimulation fleet(GetParam(), 6, 17, 900, 6);
    fleet.turnCold(Milliseconds(15'000));
    fleet.run(Milliseconds(4000));
    for (size_t node = 0; node < fleet.size(); node += 2)
        fleet.restart(node, Milliseconds(1500));
    fleet.run(Milliseconds(11'000));
    EXPECT_LE(fleet.maxInASecond(), fleet.allowed());
}

// Both halves deal the budget out although neither sees the other one.
TEST_P(WarmupOfNodes, HoldsWhileNodesCannotReachEachOther)
{
    WarmupSimulation fleet(GetParam(), 6, 17, 900, 7);
    fleet.turnCold(Milliseconds(20'000));
    fleet.run(Milliseconds(5000));
    fleet.considersAlive = [](size_t node, size_t other) { return node % 2 == other % 2; };
    fleet.run(Milliseconds(15'000));
    EXPECT_LE(fleet.maxInASecond(), fleet.allowed());
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, WarmupOfNodes, testing::Values(6, 78, 300));

} // namespace Kumquatpick
