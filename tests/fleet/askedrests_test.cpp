#include "fleet/askedrests.h"

#include "fleet/balancer.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { std::chrono::hours(1) };

    ServingTarget plain(std::string id) { return { std::move(id), "desk", {}, "howrah", 4, 1 }; }

    class AskedRestsTest : public testing::Test {
    protected:
        std::string choose(MonotonicTime now) { return m_balancer.choose({ "desk", {}, {}, 0 }, now, m_random); }

        Balancer m_balancer { "howrah" };
        Random m_random { 1 };
    };

}

// A server that asked for seconds of rest was left alone for a fraction of one.
TEST_F(AskedRestsTest, KeepCallsAwayUntilTheyEnd)
{
    m_balancer.setTargets({ plain("a"), plain("b") });
    m_balancer.started("a", start);
    m_balancer.rests().asked("a", 3s, start);
    m_balancer.ended("a", SendEnd::NotTaken, start);
    for (MonotonicTime now = start; now < start + 3s; now += 10ms)
        EXPECT_EQ(choose(now), "b");
    bool isChosen = false;
    for (MonotonicTime now = start + 3s; now < start + 4s; now += 10ms)
        isChosen = isChosen || choose(now) == "a";
    EXPECT_TRUE(isChosen);
}

// An answer to an earlier request, or a new list of servers, says nothing of the rest.
TEST_F(AskedRestsTest, EndByTimeAlone)
{
    m_balancer.setTargets({ plain("a") });
    m_balancer.started("a", start);
    m_balancer.rests().asked("a", 3s, start);
    m_balancer.ended("a", SendEnd::Finished, start + 1s);
    EXPECT_EQ(choose(start + 2s), "");
    m_balancer.setTargets({});
    m_balancer.setTargets({ plain("a") });
    m_balancer.rests().expire(start + 2s);
    EXPECT_EQ(choose(start + 2s), "");
    m_balancer.rests().expire(start + 3s);
    EXPECT_EQ(choose(start + 3s), "a");
    EXPECT_EQ(m_balancer.rests().size(), 0u);
}

TEST(AskedRests, AreNotCutShortByALaterRefusal)
{
    AskedRests rests;
    rests.asked("a", 3s, start);
    rests.asked("a", 1s, start + 1s);
    EXPECT_EQ(rests.endOf("a"), start + 3s);
    rests.asked("a", 4s, start + 2s);
    EXPECT_EQ(rests.endOf("a"), start + 6s);
    EXPECT_FALSE(rests.isResting("b", start)) << "another life has asked for nothing";
}

// Callers that are refused since every server rests must not be told to come back before one is there again.
TEST_F(AskedRestsTest, SayWhenTheFirstServerIsBackIfAllRest)
{
    m_balancer.setTargets({ plain("a"), plain("b") });
    m_balancer.rests().asked("a", 5s, start);
    EXPECT_EQ(m_balancer.allRestUntil("desk", {}, start), std::nullopt) << "b takes calls";
    m_balancer.rests().asked("b", 3s, start);
    EXPECT_EQ(m_balancer.allRestUntil("desk", {}, start), start + 3s);
    EXPECT_EQ(m_balancer.allRestUntil("desk", {}, start + 3s), std::nullopt);
    EXPECT_EQ(m_balancer.allRestUntil("writers", "large", start), std::nullopt) << "there is none that could rest";
}

} // namespace Kumquatpick
