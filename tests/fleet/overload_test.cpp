#include "headsimulation.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <string>

namespace Kumquatpick {

using Testing::CallTotals;
using Testing::HeadSimulation;
using Testing::SimulatedLoad;

namespace {

    SimulatedLoad usualLoad()
    {
        SimulatedLoad load;
        load.timing = { .stepMs = 8,
            .perSequenceMs = 0.1,
            .promptTokensPerSecond = 45'000,
            .stepsPerPass = 6,
            .usualPromptTokens = 700,
            .usualAnswerTokens = 170 };
        return load;
    }

    CallTotals play(SimulatedLoad load, const char* name, bool usesForecast)
    {
        load.usesForecast = usesForecast;
        CallTotals totals = HeadSimulation(load).run();
        std::printf("%s, %s: asked %d, in time %d, late %d (%d retries), refused %d, left %d\n", name,
            usesForecast ? "by predicted time" : "by places", totals.asked, totals.inTime, totals.late,
            totals.lateRetries, totals.refused, totals.left);
        return totals;
    }

}

// Calls were sent to heads that had a free place by late counts, and most of them were answered late or left.
TEST(Overload, ServesInTimeWhatIsLeftWhenAThirdOfTheHeadsIsLostAndTrafficRises)
{
    SimulatedLoad load = usualLoad();
    load.lostHeads = 1 / 3.0;
    load.rise = 1.8;
    load.cutNodes = 1 / 3.0;
    CallTotals before = play(load, "a third lost, 1.8-fold", false);
    CallTotals after = play(load, "a third lost, 1.8-fold", true);
    EXPECT_GE(after.inTime, 2 * before.inTime);
    EXPECT_LE(after.left, after.asked / 100);
}

// The forecast must not cost anything where there is room for all calls.
TEST(Overload, ServesAllCallsAsBeforeWhileThereIsRoom)
{
    SimulatedLoad load = usualLoad();
    load.cutNodes = 1 / 3.0;
    CallTotals before = play(load, "room for all", false);
    CallTotals after = play(load, "room for all", true);
    EXPECT_GE(after.share(after.inTime), before.share(before.inTime) - 0.02);
    EXPECT_LE(after.refused + after.left, after.asked / 100);
}

// Where even an empty head misses the target, refusing does not make any call faster.
TEST(Overload, ServesCallsLateIfNoHeadIsFastEnough)
{
    SimulatedLoad load = usualLoad();
    load.baseMs = 400;
    CallTotals before = play(load, "slow heads", false);
    CallTotals after = play(load, "slow heads", true);
    EXPECT_EQ(after.inTime, 0);
    EXPECT_GE(after.share(after.late), 0.95);
}

TEST(Overload, BearsOldCountsOfManyNodes)
{
    for (int nodes : { 78, 130 }) {
        for (int age : { 100, 500 }) {
            SimulatedLoad load = usualLoad();
            load.nodes = nodes;
            load.countAge = Milliseconds(age);
            load.cutNodes = 1 / 3.0;
            load.rise = 1.8;
            std::string name = std::to_string(nodes) + " nodes, counts " + std::to_string(age) + " ms old";
            CallTotals before = play(load, name.c_str(), false);
            CallTotals after = play(load, name.c_str(), true);
            EXPECT_GE(after.inTime, before.inTime);
            EXPECT_LE(after.left, after.asked / 100);
        }
    }
}

TEST(Overload, DoesNotRefuseLongPromptsMoreOftenThanShortOnes)
{
    SimulatedLoad load = usualLoad();
    load.longPrompts = 0.1;
    load.lostHeads = 1 / 3.0;
    load.rise = 1.8;
    HeadSimulation simulation(load);
    CallTotals all = simulation.run();
    const CallTotals& longOnes = simulation.longPromptTotals();
    double served = all.share(all.inTime + all.late);
    double longServed = longOnes.share(longOnes.inTime + longOnes.late);
    std::printf("served: %.3f of all, %.3f of the long prompts\n", served, longServed);
    EXPECT_GE(longServed, served * 0.8);
}

namespace {

    struct TeamResult {
        CallTotals all;
        double smallServed = 0; // Share of the calls of the worst-served small team.
        double largeServed = 0; // Share of the calls of the large teams together.
    };

    // Three of 24 teams make three quarters of the calls.
    TeamResult playTeams(bool usesShares)
    {
        SimulatedLoad load = usualLoad();
        constexpr size_t largeTeams = 3;
        load.teams.assign(24, 0.25 / 21);
        std::fill_n(load.teams.begin(), largeTeams, 0.25);
        load.lostHeads = 1 / 3.0;
        load.rise = 1.8;
        load.usesShares = usesShares;
        HeadSimulation simulation(load);
        TeamResult result { simulation.run(), 1, 0 };
        CallTotals large;
        for (size_t i = 0; i < load.teams.size(); ++i) {
            const CallTotals& team = simulation.teamTotals()[i];
            if (i >= largeTeams)
                result.smallServed = std::min(result.smallServed, team.share(team.inTime + team.late));
            else
                large = { large.asked + team.asked, large.inTime + team.inTime, large.late + team.late };
        }
        result.largeServed = large.share(large.inTime + large.late);
        std::printf("teams, %s: asked %d, in time %d, late %d, refused %d, left %d; served: worst small team %.2f, "
                    "large teams %.2f\n",
            usesShares ? "with shares" : "without shares", result.all.asked, result.all.inTime, result.all.late,
            result.all.refused, result.all.left, result.smallServed, result.largeServed);
        return result;
    }

}

// Each node knows only what it admitted itself, a few calls a second.
TEST(Overload, ServesSmallTeamsBesideThreeLargeOnes)
{
    TeamResult without = playTeams(false);
    TeamResult with = playTeams(true);
    EXPECT_GT(with.smallServed, without.smallServed);
    EXPECT_GE(with.smallServed, with.largeServed);
    EXPECT_GE(with.all.inTime, without.all.inTime * 9 / 10);
}

} // namespace Kumquatpick
