#include "crashsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr uint64_t crashingPart = 99;
    constexpr int maxArrivalsAfterStop = 3;
    constexpr Milliseconds calmTime { 8000 };
    constexpr Milliseconds crashingTime { 16'000 };
    constexpr size_t slots = 17;

    // What happens to nodes while requests with the part come.
    enum class NodeFault : uint8_t { None, HalfLost, CutAndFrozen, RollingRestart };

    struct Scenario {
        int nodes = 6;
        uint64_t seed = 1;
        SimulatedEnd end = SimulatedEnd::Closed;
        NodeFault fault = NodeFault::None;
        double crashingPerSecond = 8;
        double soundBeforePerSecond = 0; // Of requests with the part, until it crashes servers.
        uint64_t sharedRank = 0; // Of the first part that they share with sound requests; low ones are frequent.
        bool isFirst = false; // The part is the first one itself.
        double load = 1; // Sound requests, in proportion to the usual number.
    };

    void showValue(const Scenario& scenario, std::ostream& out)
    {
        out << fmt::format("nodes {}, seed {}, end {}, fault {}, crashing {:.1f}/s, sound before {:.1f}/s, rank {}, "
                           "first {}, load {:.1f}",
            scenario.nodes, scenario.seed, static_cast<int>(scenario.end), static_cast<int>(scenario.fault),
            scenario.crashingPerSecond, scenario.soundBeforePerSecond, scenario.sharedRank, scenario.isFirst,
            scenario.load);
    }

    std::ostream& operator<<(std::ostream& out, const Scenario& scenario)
    {
        showValue(scenario, out);
        return out;
    }

    // Plays one scenario and counts what the two rules count.
    class PartPlay {
    public:
        explicit PartPlay(const Scenario& scenario)
            : m_scenario(scenario)
            , m_world(scenario.nodes, std::max(15, scenario.nodes / 2), scenario.seed)
        {
            m_world.setEnd(scenario.end);
            m_world.setSlots(slots);
            m_world.fleet.run(Milliseconds(3000));
            m_begunAt = m_world.fleet.now;
            m_world.sendPrompts(callsPerSecond(), calmTime + crashingTime);
            // Enough for a share with a few digits.
            m_world.sendPromptsWith({ sharedPart() }, 6, calmTime + crashingTime);
            if (scenario.soundBeforePerSecond > 0)
                m_world.sendPromptsWith(crashingParts(), scenario.soundBeforePerSecond, calmTime);
            m_world.fleet.run(calmTime);
            m_crashingFrom = m_world.fleet.now;
            m_world.makeCrashing(crashingPart);
            m_world.sendCrashingPart(crashingParts(), scenario.crashingPerSecond, crashingTime);
            disturb();
            m_world.fleet.run(std::chrono::ceil<Milliseconds>(m_crashingFrom + crashingTime - m_world.fleet.now));
        }

        int arrivalsAfterStop() const { return m_world.arrivalsAfterStop(CrashSimulation::deathsUntilPartStop); }
        // The share of sound requests that begin at their first attempts, in proportion to the share before. Of those
        // with the same first part, or of all, which have the same team.
        double servedShare(bool ofSamePart) const
        {
            if (!m_world.crashes())
                return 1;
            uint64_t part = ofSamePart ? sharedPart() : 0;
            MonotonicTime from
                = m_world.crashAt(CrashSimulation::deathsUntilPartStop) + 2 * CrashSimulation::contactTime;
            auto before = m_world.firstAttempts(m_begunAt, m_crashingFrom, part);
            auto after = m_world.firstAttempts(from, m_crashingFrom + crashingTime, part);
            constexpr int enough = 20;
            return before.sent < enough || after.sent < enough ? 1 : after.share() / before.share();
        }
        std::string report() const
        {
            std::ostringstream text;
            text << m_scenario
                 << fmt::format(
                        ": {} servers ended, {} arrivals after the stop; {:.2f} of sound requests with the same "
                        "part begin and {:.2f} of all; {} stopped, {} held",
                        m_world.crashes(), arrivalsAfterStop(), servedShare(true), servedShare(false),
                        m_world.promptsStopped(), m_world.promptsHeld());
            return text.str();
        }
        const CrashSimulation& world() const { return m_world; }

    private:
        double callsPerSecond() const { return m_scenario.load * std::clamp(m_scenario.nodes * 2.0, 60.0, 400.0); }
        uint64_t sharedPart() const { return CrashSimulation::firstPart(m_scenario.sharedRank); }
        std::vector<uint64_t> crashingParts() const
        {
            if (m_scenario.isFirst)
                return { crashingPart };
            return { sharedPart(), crashingPart };
        }

        void disturb()
        {
            switch (m_scenario.fault) {
            case NodeFault::None:
                return;
            case NodeFault::HalfLost:
                m_world.fleet.run(Milliseconds(3500));
                return restart(0, m_scenario.nodes / 2, 1, Milliseconds(2000));
            case NodeFault::CutAndFrozen:
                m_world.fleet.cut(m_scenario.nodes - 1, Milliseconds(5000));
                m_world.fleet.freeze(m_scenario.nodes - 2, Milliseconds(5000));
                m_world.fleet.run(Milliseconds(5000));
                m_world.excuse(m_scenario.nodes - 1);
                m_world.excuse(m_scenario.nodes - 2);
                return;
            case NodeFault::RollingRestart:
                constexpr int groups = 4;
                m_world.fleet.run(Milliseconds(3000));
                for (int group = 0; group < groups; ++group) {
                    restart(group, m_scenario.nodes, groups, Milliseconds(500));
                    m_world.fleet.run(Milliseconds(1500));
                }
                return;
            }
        }

        void restart(int first, int end, int step, Milliseconds downTime)
        {
            for (int node = first; node < end; node += step)
                m_world.fleet.kill(node);
            m_world.fleet.run(downTime);
            for (int node = first; node < end; node += step) {
                m_world.fleet.restart(node);
                m_world.excuse(node);
            }
        }

        Scenario m_scenario;
        CrashSimulation m_world;
        MonotonicTime m_begunAt {};
        MonotonicTime m_crashingFrom {};
    };

    Scenario drawScenario(int nodes)
    {
        Scenario scenario;
        scenario.nodes = nodes;
        scenario.seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
        scenario.end = *rc::gen::element(SimulatedEnd::Closed, SimulatedEnd::Silent, SimulatedEnd::BackAtOnce);
        scenario.fault = *rc::gen::element(
            NodeFault::None, NodeFault::HalfLost, NodeFault::CutAndFrozen, NodeFault::RollingRestart);
        scenario.crashingPerSecond = *rc::gen::element(1.0, 3.0, 8.0, 20.0);
        scenario.soundBeforePerSecond = *rc::gen::element(0.0, 0.5, 8.0);
        scenario.sharedRank = *rc::gen::inRange<uint64_t>(0, 60);
        scenario.isFirst = *rc::gen::inRange(0, 4) == 0;
        scenario.load = *rc::gen::element(0.5, 1.0, 2.0);
        return scenario;
    }

    void expectBothRules(const Scenario& scenario)
    {
        PartPlay play(scenario);
        fmt::print("{}\n", play.report());
        EXPECT_LE(play.arrivalsAfterStop(), maxArrivalsAfterStop) << scenario;
        EXPECT_GE(play.servedShare(true), 0.5) << scenario;
        EXPECT_GE(play.servedShare(false), 0.5) << scenario;
    }

    class CrashingPartsAtSize : public testing::TestWithParam<int> { };

}

// Guards against requests that are all different, but share a part which ends each server that begins to answer them.
TEST_P(CrashingPartsAtSize, AreStopped) { expectBothRules({ .nodes = GetParam() }); }

// The same for a part with which requests were answered well until now. Guards against a part that counts as harmless
// for what it was.
TEST_P(CrashingPartsAtSize, AreStoppedThoughTheyWereSoundBefore)
{
    expectBothRules({ .nodes = GetParam(), .soundBeforePerSecond = 8 });
}

// Guards against sound requests that are refused for what they share with crashing ones.
TEST_P(CrashingPartsAtSize, AreStoppedBesideFrequentSoundOnes)
{
    for (uint64_t rank : { 0, 59 })
        expectBothRules({ .nodes = GetParam(), .crashingPerSecond = 20, .sharedRank = rank, .load = 2 });
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashingPartsAtSize, testing::Values(6, 95, 985));

// Mixes in which one of the two rules was broken once: deaths that another suspect explained away, reports that came
// too late, a frequent part that stayed stopped, several trials of one part.
TEST(CrashingParts, KeepBothRulesInMixesThatBrokeThem)
{
    using End = SimulatedEnd;
    const Scenario scenarios[] = {
        { .seed = 1, .soundBeforePerSecond = 8, .isFirst = true, .load = 0.5 },
        { .seed = 141574,
            .end = End::BackAtOnce,
            .fault = NodeFault::RollingRestart,
            .crashingPerSecond = 20,
            .soundBeforePerSecond = 8,
            .isFirst = true,
            .load = 0.5 },
        { .seed = 24376,
            .end = End::Silent,
            .crashingPerSecond = 3,
            .soundBeforePerSecond = 0.5,
            .isFirst = true,
            .load = 2 },
        { .seed = 9069, .crashingPerSecond = 1, .soundBeforePerSecond = 8, .isFirst = true },
        { .seed = 1817,
            .end = End::Silent,
            .fault = NodeFault::CutAndFrozen,
            .soundBeforePerSecond = 0.5,
            .isFirst = true,
            .load = 0.5 },
        { .seed = 1, .crashingPerSecond = 3, .soundBeforePerSecond = 8, .isFirst = true },
        { .seed = 1,
            .end = End::Silent,
            .fault = NodeFault::CutAndFrozen,
            .crashingPerSecond = 20,
            .soundBeforePerSecond = 8 },
        { .seed = 11094,
            .end = End::Silent,
            .fault = NodeFault::HalfLost,
            .crashingPerSecond = 1,
            .soundBeforePerSecond = 8,
            .sharedRank = 1,
            .load = 2 },
        { .seed = 123024,
            .end = End::Silent,
            .fault = NodeFault::HalfLost,
            .crashingPerSecond = 1,
            .isFirst = true,
            .load = 2 },
        { .seed = 50604,
            .end = End::Silent,
            .fault = NodeFault::HalfLost,
            .crashingPerSecond = 20,
            .soundBeforePerSecond = 0.5,
            .isFirst = true },
        { .seed = 1, .end = End::BackAtOnce, .crashingPerSecond = 3, .soundBeforePerSecond = 0.5, .isFirst = true },
        { .seed = 1,
            .end = End::BackAtOnce,
            .fault = NodeFault::HalfLost,
            .soundBeforePerSecond = 8,
            .isFirst = true,
            .load = 2 },
        { .nodes = 95, .seed = 1, .crashingPerSecond = 20, .soundBeforePerSecond = 8, .isFirst = true },
        { .seed = 1,
            .end = End::BackAtOnce,
            .crashingPerSecond = 20,
            .soundBeforePerSecond = 0.5,
            .isFirst = true,
            .load = 2 },
        { .seed = 3583,
            .end = End::Silent,
            .fault = NodeFault::CutAndFrozen,
            .soundBeforePerSecond = 0.5,
            .isFirst = true,
            .load = 0.5 },
        { .seed = 5451,
            .end = End::Silent,
            .crashingPerSecond = 3,
            .soundBeforePerSecond = 0.5,
            .sharedRank = 1,
            .isFirst = true,
            .load = 0.5 },
    };
    for (const Scenario& scenario : scenarios)
        expectBothRules(scenario);
}

// Guards against a frequent sound part that stays stopped when the nodes that could try it were lost while servers fell
// silent.
TEST(CrashingParts, ReleaseSoundPartsThoughNodesAreLost)
{
    using End = SimulatedEnd;
    const Scenario scenarios[] = {
        { .seed = 50407,
            .end = End::Silent,
            .fault = NodeFault::HalfLost,
            .crashingPerSecond = 20,
            .soundBeforePerSecond = 0.5,
            .isFirst = true },
        { .seed = 50598,
            .end = End::Silent,
            .fault = NodeFault::HalfLost,
            .crashingPerSecond = 20,
            .soundBeforePerSecond = 0.5,
            .sharedRank = 1,
            .isFirst = true },
    };
    for (const Scenario& scenario : scenarios)
        expectBothRules(scenario);
}

// Guards against nodes that try a stopped part before the server that ended under another node's trial is missed. All
// nodes restart in turn meanwhile, so that their turns come earlier than the end of the trial is known.
TEST(CrashingParts, TryStoppedPartsOnceThoughAllNodesRestartAndServersFallSilent)
{
    expectBothRules({ .seed = 205410,
        .end = SimulatedEnd::Silent,
        .fault = NodeFault::RollingRestart,
        .crashingPerSecond = 3,
        .soundBeforePerSecond = 8,
        .sharedRank = 5,
        .isFirst = true,
        .load = 2 });
}

// Guards against a part that goes on ending servers, or sound requests that are no longer served, in any mix of what
// can happen: how servers end, lost, cut off, frozen and restarted nodes, frequent, rare and new parts.
RC_GTEST_PROP(CrashingParts, KeepBothRulesInAnyMix, ())
{
    Scenario scenario = drawScenario(*rc::gen::weightedElement<int>({ { 9, 6 }, { 1, 95 } }));
    PartPlay play(scenario);
    RC_LOG() << play.report();
    RC_ASSERT(play.arrivalsAfterStop() <= maxArrivalsAfterStop);
    RC_ASSERT(play.servedShare(true) >= 0.5);
    RC_ASSERT(play.servedShare(false) >= 0.5);
}

} // namespace Kumquatpick
