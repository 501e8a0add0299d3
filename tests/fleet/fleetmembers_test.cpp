#include "fleet/fleetmembers.h"

#include "fleet/nodesimulation.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr int nodes = 7;
    constexpr Milliseconds calmTime { 5000 };

    // A fleet whose first node counts the members.
    class FleetMembersTest : public testing::Test {
    protected:
        FleetMembersTest() { run(calmTime); }

        void run(Milliseconds duration)
        {
            m_fleet.run(duration);
            m_members.update(m_fleet.exchange(0), m_fleet.now);
        }
        // Of a process that starts now in place of the last node.
        FleetMembers restartLast()
        {
            m_fleet.kill(nodes - 1);
            m_fleet.run(500ms);
            m_fleet.restart(nodes - 1);
            return FleetMembers(m_fleet.now, false);
        }

        NodeSimulation m_fleet { nodes };
        FleetMembers m_members { NodeSimulation::start, true };
    };

}

TEST_F(FleetMembersTest, KnowsAllAfterTheFirstStart) { EXPECT_EQ(m_members.count(), 7u); }

TEST_F(FleetMembersTest, KeepsLostNodesForSomeTime)
{
    m_fleet.kill(3);
    run(10s);
    EXPECT_FALSE(m_fleet.exchange(0).isAlive(m_fleet.addressOf(3)));
    EXPECT_EQ(m_members.count(), 7u);
    run(FleetMembers::lostNodeRetention);
    EXPECT_EQ(m_members.count(), 6u);
    EXPECT_EQ(m_members.nodes().size(), 6u);
}

TEST_F(FleetMembersTest, DropsNodesThatAnnouncedTheirStop)
{
    m_fleet.stop(3);
    run(2s);
    EXPECT_EQ(m_members.count(), 7u) << "it still serves";
    m_fleet.kill(3);
    run(3s);
    EXPECT_EQ(m_members.count(), 6u);
}

// Guards against a node that counts itself alone while it hears of no other.
TEST_F(FleetMembersTest, KeepsAllWhileItHearsOfNoOther)
{
    m_fleet.cut(0, 60s);
    run(50s);
    EXPECT_EQ(m_fleet.exchange(0).aliveCount(), 0u);
    EXPECT_EQ(m_members.count(), 7u);
}

TEST_F(FleetMembersTest, CountsNodesThatAreAdded)
{
    m_fleet.addNode();
    run(2s);
    EXPECT_EQ(m_members.count(), 8u);
}

TEST_F(FleetMembersTest, NewProcessIsToldOfNodesThatWereLostBefore)
{
    m_fleet.kill(3);
    run(5s);
    m_fleet.report(0).fleetNodes = *m_members.count();
    FleetMembers restarted = restartLast();
    m_fleet.run(1s);
    restarted.update(m_fleet.exchange(nodes - 1), m_fleet.now);
    EXPECT_EQ(restarted.count(), std::nullopt) << "others do not know of it yet";
    m_fleet.run(FleetMembers::joinTime);
    restarted.update(m_fleet.exchange(nodes - 1), m_fleet.now);
    EXPECT_EQ(restarted.nodes().size(), 6u);
    EXPECT_EQ(restarted.count(), 7u);
}

// Guards against a process that starts behind a partition and takes those that it finds there, or itself, for all.
TEST_F(FleetMembersTest, NewProcessDoesNotKnowThemUntilItIsTold)
{
    m_fleet.split([](int node) { return node >= nodes - 2; }, 60s);
    run(2s);
    FleetMembers restarted = restartLast();
    m_fleet.run(10s);
    restarted.update(m_fleet.exchange(nodes - 1), m_fleet.now);
    EXPECT_EQ(restarted.nodes().size(), 2u);
    EXPECT_EQ(restarted.count(), std::nullopt);
    m_fleet.cut(nodes - 1, 60s);
    FleetMembers alone = restartLast();
    m_fleet.run(10s);
    alone.update(m_fleet.exchange(nodes - 1), m_fleet.now);
    EXPECT_TRUE(alone.nodes().empty());
    m_fleet.run(FleetMembers::lostNodeRetention);
    alone.update(m_fleet.exchange(nodes - 1), m_fleet.now);
    EXPECT_EQ(alone.count(), 1u) << "in the long run it has to serve alone";
}

} // namespace Kumquatpick
