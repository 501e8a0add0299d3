#include "retrysimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    // What happens to nodes. A count of nodes is part of the event.
    enum class NodeEvent : uint8_t { Killed, PowerLost, Stopped, Frozen, CutOff, CutOffAndRestarted, Split, Added };
    constexpr std::array nodeEventNames { "killed", "power lost", "stopped", "frozen", "cut off",
        "cut off and restarted", "split", "added" };

    struct Disruption {
        Milliseconds at {}; // Since the first call.
        NodeEvent event = NodeEvent::Killed;
        int first = 0; // Node; the others follow it.
        int count = 1;
        Milliseconds duration { 5000 }; // Down, frozen or cut off.
    };

    // Callers want retries of this share of their calls for some time.
    struct Demand {
        Milliseconds at {};
        double share = 0;
    };

    struct Day {
        RetrySimulation::Setup setup;
        Milliseconds length { 20'000 };
        std::vector<Demand> demands;
        std::vector<Disruption> disruptions;
    };

    void showValue(const Day& day, std::ostream& out)
    {
        out << fmt::format("{} nodes, {} calls/s, allowance {}, seed {}, {} s", day.setup.nodes,
            day.setup.callsPerSecond, day.setup.limits.allowance, day.setup.seed, toSeconds(day.length));
        for (const Demand& demand : day.demands)
            out << fmt::format("; {} s: retries of {}", toSeconds(demand.at), demand.share);
        for (const Disruption& each : day.disruptions)
            out << fmt::format("; {} s: {} nodes from {} {} for {} s", toSeconds(each.at), each.count, each.first,
                nodeEventNames[static_cast<size_t>(each.event)], toSeconds(each.duration));
    }

    class DayPlay {
    public:
        explicit DayPlay(const Day& day)
            : m_world(day.setup)
        {
            for (const Demand& demand : day.demands)
                m_world.fleet.after(demand.at, [this, demand] { m_world.setDemand(demand.share); });
            for (const Disruption& each : day.disruptions)
                m_world.fleet.after(each.at, [this, each] { disrupt(each); });
            m_world.run(day.length);
        }

        RetrySimulation::Window worstWindow() const { return m_world.worstWindow(); }
        std::string report() const
        {
            auto worst = worstWindow();
            return fmt::format(
                "{} retries in ten seconds from {:.1f} s, limit {:.0f}", worst.retries, worst.beginS, worst.limit);
        }

    private:
        void disrupt(const Disruption& each)
        {
            NodeSimulation& fleet = m_world.fleet;
            if (each.event == NodeEvent::Split) {
                int first = each.first % fleet.count();
                int count = each.count;
                fleet.split([first, count](int node) { return node >= first && node < first + count; }, each.duration);
                return;
            }
            for (int i = 0; i < each.count; ++i)
                disrupt(each.event, (each.first + i) % fleet.count(), each.duration);
        }

        void disrupt(NodeEvent event, int node, Milliseconds duration)
        {
            NodeSimulation& fleet = m_world.fleet;
            switch (event) {
            case NodeEvent::Killed:
                return m_world.restart(node, std::min<Milliseconds>(duration, 1000ms));
            case NodeEvent::PowerLost:
                return m_world.restart(node, duration, true);
            case NodeEvent::Stopped:
                return m_world.stopAndRestart(node, 2s, 500ms);
            case NodeEvent::Frozen:
                return fleet.freeze(node, duration);
            case NodeEvent::CutOff:
                return fleet.cut(node, duration);
            case NodeEvent::CutOffAndRestarted:
                fleet.cut(node, duration);
                return m_world.restart(node, 300ms);
            case NodeEvent::Added:
                fleet.addNode();
                return;
            case NodeEvent::Split:
                return;
            }
        }

        RetrySimulation m_world;
    };

    void expectWithinLimit(const Day& day)
    {
        DayPlay play(day);
        std::ostringstream text;
        showValue(day, text);
        EXPECT_LE(play.worstWindow().excess(), 0) << play.report() << "\n" << text.str();
    }

    constexpr RetryLimits thinLimits { 0.2, 40, std::chrono::seconds(10) };

    // The same with much traffic and with little, where the fixed allowance is most of the limit.
    void expectWithinLimit(std::vector<Demand> demands, const std::vector<Disruption>& disruptions)
    {
        expectWithinLimit({ {}, 30s, demands, disruptions });
        for (Demand& demand : demands)
            demand.share = 1;
        expectWithinLimit({ { .callsPerSecond = 14, .limits = thinLimits }, 30s, demands, disruptions });
    }

    RetrySimulation::Setup drawSetup(int nodes)
    {
        RetrySimulation::Setup setup;
        setup.nodes = nodes;
        setup.seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
        // Per node, as in fleets of any size.
        setup.callsPerSecond = nodes * *rc::gen::element(0.5, 5.0, 25.0);
        setup.limits.allowance = std::max(60.0, nodes * *rc::gen::element(3.0, 15.0));
        return setup;
    }

    Disruption drawDisruption(int nodes, Milliseconds length)
    {
        Disruption each;
        each.at = Milliseconds(*rc::gen::inRange<int64_t>(0, length.count()));
        each.event = *rc::gen::element(NodeEvent::Killed, NodeEvent::PowerLost, NodeEvent::Stopped, NodeEvent::Frozen,
            NodeEvent::CutOff, NodeEvent::CutOffAndRestarted, NodeEvent::Split, NodeEvent::Added);
        each.first = *rc::gen::inRange(0, nodes);
        each.count = *rc::gen::inRange(1, each.event == NodeEvent::Added ? 4 : nodes + 1);
        each.duration = Milliseconds(*rc::gen::inRange(300, 12'000));
        return each;
    }

    Day drawDay(int nodes)
    {
        Day day { drawSetup(nodes), Milliseconds(*rc::gen::inRange(6000, 25'000)), {}, {} };
        int demands = *rc::gen::inRange(1, 5);
        for (int i = 0; i < demands; ++i)
            day.demands.push_back(
                { Milliseconds(*rc::gen::inRange<int64_t>(0, day.length.count())), *rc::gen::element(0.1, 0.4, 1.0) });
        int disruptions = *rc::gen::inRange(0, 7);
        for (int i = 0; i < disruptions; ++i)
            day.disruptions.push_back(drawDisruption(nodes, day.length));
        return day;
    }

}

// Guards against nodes that are cut off, count themselves alone and take the whole fixed allowance each.
TEST(FleetRetries, StayWithinTheLimitWhileNodesAreCutOff)
{
    expectWithinLimit({ { 6s, 0.6 } }, { { 4s, NodeEvent::CutOff, 0, 3, 14s } });
}

// Guards against the two sides of a partition that divide the allowance each among themselves.
TEST(FleetRetries, StayWithinTheLimitWhileTheFleetIsSplit)
{
    expectWithinLimit({ { 6s, 0.6 } }, { { 4s, NodeEvent::Split, 0, 3, 24s } });
}

// Guards against processes that start with a share of the window in which the ones before them have used theirs.
TEST(FleetRetries, StayWithinTheLimitWhileAllNodesAreKilledAtOnce)
{
    expectWithinLimit({ { 5s, 1.0 } }, { { 9s, NodeEvent::Killed, 0, 7, 300ms } });
}

// Guards against shares that go over to others at once, while what was used of them still counts.
TEST(FleetRetries, StayWithinTheLimitWhileNodesEndInSeries)
{
    expectWithinLimit({ { 4s, 1.0 } },
        { { 6s, NodeEvent::PowerLost, 0, 2, 30s }, { 7500ms, NodeEvent::PowerLost, 2, 2, 30s },
            { 9s, NodeEvent::PowerLost, 4, 2, 30s } });
}

// Guards against processes that start behind a partition and take those that they find there for the whole fleet.
TEST(FleetRetries, StayWithinTheLimitWhileOneSideOfASplitRestarts)
{
    expectWithinLimit({ { 9s, 0.6 } }, { { 4s, NodeEvent::Split, 0, 3, 24s }, { 5s, NodeEvent::Killed, 0, 3, 300ms } });
}

// Guards against a limit that is kept by not using it: a calm fleet makes the retries that its callers need.
TEST(FleetRetries, AreAllMadeInACalmFleet)
{
    for (int nodes : { 1, 7, 60 }) {
        RetrySimulation world({ .nodes = nodes, .callsPerSecond = 25.0 * nodes });
        world.setDemand(0.12);
        world.run(20s);
        EXPECT_GE(world.retriesIn(15s), 0.99 * world.wantedIn(15s)) << nodes << " nodes";
        world.setDemand(1);
        world.run(20s);
        double limit = 0.2 * world.callsIn(10s) + 105;
        EXPECT_GE(world.retriesIn(10s), 0.75 * limit) << nodes << " nodes";
    }
}

// Guards against limits that hold while nodes stay, and not in a mix of lost, stopped, frozen, added, cut off and
// restarted nodes, on short days and with few calls.
RC_GTEST_PROP(FleetRetries, StayWithinTheLimitInAnyMix, ())
{
    Day day = drawDay(*rc::gen::weightedElement<int>({ { 8, 7 }, { 2, 3 }, { 1, 60 } }));
    DayPlay play(day);
    std::ostringstream text;
    showValue(day, text);
    RC_LOG() << play.report() << "\n" << text.str() << "\n";
    RC_ASSERT(play.worstWindow().excess() <= 0);
}

} // namespace Kumquatpick
