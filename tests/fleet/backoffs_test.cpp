#include "fleet/backoffs.h"

#include "fleet/balancer.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { std::chrono::hours(1) };

    ServingTarget plain(std::string id) { return { std::move(id), "desk", {}, "howrah", 4, 1 }; }

    class BackoffsTest : public testing::Test {
    protected:
        std::string choose(MonotonicTime now) { return m_balancer.choose({ "desk", {}, {}, 0 }, now, m_random); }

        Balancer m_balancer { "howrah" };
        Random m_random { 1 };
    };

}

// Guards against a fault in which a server that requested a backoff of seconds was avoided for a fraction of a second.
TEST_F(BackoffsTest, PreventCallsUntilTheyEnd)
{
    m_balancer.setTargets({ plain("a"), plain("b") });
    m_balancer.sendStarted("a", start);
    m_balancer.backoffs().recordBackoff("a", 3s, start);
    m_balancer.sendEnded("a", SendResult::RefusedFull, start);
    for (MonotonicTime now = start; now < start + 3s; now += 10ms)
        EXPECT_EQ(choose(now), "b");
    bool isChosen = false;
    for (MonotonicTime now = start + 3s; now < start + 4s; now += 10ms)
        isChosen = isChosen || choose(now) == "a";
    EXPECT_TRUE(isChosen);
}

// Neither an answer to an earlier request nor a new list of servers ends a backoff.
TEST_F(BackoffsTest, EndOnlyWhenTheirTimeHasPassed)
{
    m_balancer.setTargets({ plain("a") });
    m_balancer.sendStarted("a", start);
    m_balancer.backoffs().recordBackoff("a", 3s, start);
    m_balancer.sendEnded("a", SendResult::Finished, start + 1s);
    EXPECT_EQ(choose(start + 2s), "");
    m_balancer.setTargets({});
    m_balancer.setTargets({ plain("a") });
    m_balancer.backoffs().expire(start + 2s);
    EXPECT_EQ(choose(start + 2s), "");
    m_balancer.backoffs().expire(start + 3s);
    EXPECT_EQ(choose(start + 3s), "a");
    EXPECT_EQ(m_balancer.backoffs().size(), 0u);
}

TEST(Backoffs, AreNotShortenedByALaterRefusal)
{
    Backoffs backoffs;
    backoffs.recordBackoff("a", 3s, start);
    backoffs.recordBackoff("a", 1s, start + 1s);
    EXPECT_EQ(backoffs.endOf("a"), start + 3s);
    backoffs.recordBackoff("a", 4s, start + 2s);
    EXPECT_EQ(backoffs.endOf("a"), start + 6s);
    EXPECT_FALSE(backoffs.isBackedOff("b", start)) << "another server has asked for nothing";
}

// Callers that are refused because every server requested a backoff must not be told to retry before the first backoff
// ends.
TEST_F(BackoffsTest, GiveTheEarliestEndIfAllServersAreBackedOff)
{
    m_balancer.setTargets({ plain("a"), plain("b") });
    m_balancer.backoffs().recordBackoff("a", 5s, start);
    EXPECT_EQ(m_balancer.allBackedOffUntil("desk", {}, start), std::nullopt) << "b takes calls";
    m_balancer.backoffs().recordBackoff("b", 3s, start);
    EXPECT_EQ(m_balancer.allBackedOffUntil("desk", {}, start), start + 3s);
    EXPECT_EQ(m_balancer.allBackedOffUntil("desk", {}, start + 3s), std::nullopt);
    EXPECT_EQ(m_balancer.allBackedOffUntil("writers", "large", start), std::nullopt)
        << "none of the servers could ask for it";
}

} // namespace Kumquatpick
