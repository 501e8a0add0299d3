#include "connectionsimulation.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using Preference = SimulatedPreference;

    struct Fleet {
        int nodes;
        int heads;
        uint32_t places;
    };

    void print(const Fleet& fleet, Preference preference, const char* phase, const ConnectionSimulation::Totals& totals)
    {
        fmt::print("{} nodes, {} heads, preference {}, {}: {} calls, {:.3f} to full heads, {:.3f} connections a call, "
                   "unevenness {:.3f}, {} unsent\n",
            fleet.nodes, fleet.heads, static_cast<int>(preference), phase, totals.calls, totals.fullShare(),
            totals.openedShare(), totals.unevenness(), totals.unsent);
    }

    ConnectionSimulation::Settings settingsOf(const Fleet& fleet, Preference preference)
    {
        return { .nodes = fleet.nodes, .heads = fleet.heads, .places = fleet.places, .preference = preference };
    }

    // From calm, over the loss of a third of the heads, to their return; sums of several plays.
    struct Phases {
        ConnectionSimulation::Totals calm;
        ConnectionSimulation::Totals lost;
        ConnectionSimulation::Totals returned;
    };

    Phases play(const Fleet& fleet, Preference preference)
    {
        constexpr uint64_t plays = 4;
        Phases phases;
        for (uint64_t seed = 1; seed <= plays; ++seed) {
            auto settings = settingsOf(fleet, preference);
            settings.seed = seed;
            ConnectionSimulation simulation(settings);
            simulation.run(Milliseconds(3000));
            simulation.takeTotals();
            simulation.run(Milliseconds(6000));
            phases.calm += simulation.takeTotals();
            simulation.loseHeads(fleet.heads / 3);
            simulation.run(Milliseconds(5000));
            phases.lost += simulation.takeTotals();
            simulation.returnHeads();
            simulation.run(Milliseconds(5000));
            phases.returned += simulation.takeTotals();
        }
        print(fleet, preference, "calm", phases.calm);
        print(fleet, preference, "a third of heads lost", phases.lost);
        print(fleet, preference, "heads returned", phases.returned);
        return phases;
    }

    class WarmConnectionsAtSize : public testing::TestWithParam<Fleet> { };

}

// Guards against a new connection for almost every call, and against a preference that loads some heads more than
// others. Load: two thirds of all places taken, rates of nodes that differ tenfold, counts 0.1 to 0.5 s old.
TEST_P(WarmConnectionsAtSize, HalveNewConnectionsAndKeepLoadEven)
{
    Phases before = play(GetParam(), Preference::None);
    Phases after = play(GetParam(), Preference::Warm);
    EXPECT_LE(after.calm.openedShare(), 0.5 * before.calm.openedShare() + 0.02);
    EXPECT_LE(after.returned.openedShare(), 0.65 * before.returned.openedShare());
    EXPECT_LE(after.lost.openedShare(), 0.75 * before.lost.openedShare());
    EXPECT_LE(after.calm.fullShare(), before.calm.fullShare() + 0.01);
    EXPECT_LE(after.returned.fullShare(), before.returned.fullShare() + 0.01);
    EXPECT_LE(after.calm.unevenness(), before.calm.unevenness() + 0.01);
    EXPECT_LE(after.lost.unevenness(), before.lost.unevenness() + 0.02);
    EXPECT_LE(after.returned.unevenness(), before.returned.unevenness() + 0.02);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, WarmConnectionsAtSize, testing::Values(Fleet { 130, 20, 24 }, Fleet { 78, 60, 20 }, Fleet { 6, 5, 16 }));

// The way that was weighed and not taken: a few heads of each node, chosen by rendezvous hashing.
TEST(WarmConnections, PreferringThemOpensFewerThanFixedHeadsOfEachNode)
{
    Fleet fleet { 130, 20, 24 };
    Phases fixed = play(fleet, Preference::Rendezvous);
    Phases warm = play(fleet, Preference::Warm);
    EXPECT_LT(warm.calm.openedShare(), fixed.calm.openedShare());
    EXPECT_LT(warm.calm.unevenness(), fixed.calm.unevenness());
}

} // namespace Kumquatpick
