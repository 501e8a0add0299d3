#include "fleet/balancer.h"

#include <gtest/gtest.h>
#include <set>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

    ServingTarget headOf(std::string id, std::string model = "large", uint32_t capacity = 4)
    {
        return { std::move(id), "writers", std::move(model), "howrah", capacity, 1 };
    }

    class BalancerTest : public testing::Test {
    protected:
        std::string choose(uint32_t queue = 0, std::vector<std::string> excludedHosts = {}, MonotonicTime now = start)
        {
            return m_balancer.choose({ "writers", "large", excludedHosts, queue }, now, m_random);
        }

        // Starts streams at the head and delivers their first event.
        void startWriting(const std::string& id, int streams)
        {
            for (int i = 0; i < streams; ++i) {
                m_balancer.sendStarted(id, start);
                m_balancer.adjustActiveStreams(id, 1);
            }
            m_balancer.dataArrived(id, start);
        }

        Balancer m_balancer { "howrah" };
        Random m_random { 1 };
    };

}

TEST_F(BalancerTest, ChoosesOnlyTargetsOfTheModelWithCapacity)
{
    m_balancer.setTargets({ headOf("a"), headOf("b", "small") });
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(choose(), "a");
        m_balancer.sendStarted("a", start);
    }
    EXPECT_EQ(choose(), "");
    EXPECT_EQ(choose(1), "a");
    EXPECT_EQ(choose(1, { "a" }), "");
    m_balancer.sendEnded("a", SendResult::Finished, start);
    EXPECT_EQ(choose(), "a");
}

TEST_F(BalancerTest, CountsRequestsOfOtherNodes)
{
    m_balancer.setTargets({ headOf("a"), headOf("b") });
    m_balancer.setRemoteInFlight({ { "a", 4 } });
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose(), "b");
}

TEST_F(BalancerTest, AvoidsAFailedTargetTemporarily)
{
    m_balancer.setTargets({ headOf("a") });
    m_balancer.sendStarted("a", start);
    m_balancer.sendEnded("a", SendResult::Failed, start);
    EXPECT_EQ(choose(), "");
    EXPECT_EQ(choose(0, {}, start + std::chrono::seconds(5)), "a");
    m_balancer.sendStarted("a", start);
    m_balancer.sendEnded("a", SendResult::RefusedFull, start + std::chrono::seconds(5));
    EXPECT_EQ(choose(0, {}, start + Milliseconds(5200)), "a") << "a full server is not a failed one";
}

// A dead host stays listed for some seconds, and each attempt costs a call the connect time.
TEST_F(BalancerTest, AvoidsAnUnreachableTargetForLonger)
{
    m_balancer.setTargets({ headOf("a") });
    m_balancer.sendStarted("a", start);
    m_balancer.sendEnded("a", SendResult::Unreachable, start);
    EXPECT_EQ(choose(0, {}, start + std::chrono::seconds(1)), "");
    EXPECT_EQ(choose(0, {}, start + std::chrono::seconds(2)), "a");
}

// When a replica loses a member, all its streams stop at once while its head still accepts requests.
TEST_F(BalancerTest, DetectsThatAllStreamsOfAReplicaStalled)
{
    m_balancer.setTargets({ headOf("a"), headOf("b") });
    startWriting("a", 2);
    startWriting("b", 2);
    for (int pass = 1; pass <= 20; ++pass) {
        m_balancer.dataArrived("a", start + Milliseconds(50 * pass));
        m_balancer.dataArrived("b", start + Milliseconds(50 * pass));
    }
    for (int pass = 21; pass <= 26; ++pass)
        m_balancer.dataArrived("b", start + Milliseconds(50 * pass));
    EXPECT_EQ(m_balancer.stalledTargets(start + Milliseconds(1310)), std::vector<std::string> { "a" });
}

TEST_F(BalancerTest, AllowsALongerGapForASingleStream)
{
    m_balancer.setTargets({ headOf("a") });
    startWriting("a", 1);
    for (int pass = 1; pass <= 20; ++pass)
        m_balancer.dataArrived("a", start + Milliseconds(50 * pass));
    EXPECT_TRUE(m_balancer.stalledTargets(start + Milliseconds(1400)).empty());
    EXPECT_FALSE(m_balancer.stalledTargets(start + Milliseconds(1700)).empty());
}

TEST_F(BalancerTest, DetectsNoStallBeforeTheFirstEvent)
{
    m_balancer.setTargets({ headOf("a") });
    m_balancer.sendStarted("a", start);
    EXPECT_TRUE(m_balancer.stalledTargets(start + std::chrono::seconds(5)).empty());
}

TEST_F(BalancerTest, CountsRequestsOfARemovedTarget)
{
    m_balancer.setTargets({ headOf("a") });
    m_balancer.sendStarted("a", start);
    m_balancer.setTargets({});
    EXPECT_EQ(choose(), "");
    m_balancer.setTargets({ headOf("a", "large", 1) });
    EXPECT_EQ(choose(), "") << "its place is still taken";
    m_balancer.sendEnded("a", SendResult::Finished, start);
    EXPECT_EQ(choose(), "a");
}

// The counts of other nodes are seconds old, so a full replica may look empty. Its refusal takes precedence.
TEST_F(BalancerTest, AvoidsAFullTargetForLongerAfterEachRefusal)
{
    m_balancer.setTargets({ headOf("a"), headOf("b") });
    m_balancer.sendStarted("a", start);
    m_balancer.sendEnded("a", SendResult::RefusedFull, start);
    for (int i = 0; i < 50; ++i)
        EXPECT_NE(choose(0, {}, start + Milliseconds(100)), "a");
    EXPECT_FALSE(m_balancer.isSuspected("a", start)) << "it is healthy";
    m_balancer.sendEnded("a", SendResult::RefusedFull, start + Milliseconds(200));
    for (int i = 0; i < 50; ++i)
        EXPECT_NE(choose(0, {}, start + Milliseconds(450)), "a");
    m_balancer.sendEnded("a", SendResult::Finished, start + Milliseconds(600));
    m_balancer.sendEnded("a", SendResult::RefusedFull, start + Milliseconds(700));
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i)
        chosen.insert(choose(0, {}, start + Milliseconds(900)));
    EXPECT_TRUE(chosen.contains("a"));
}

// 95 nodes choose by counts that are some tenths of a second old. If all always chose the less loaded target, all would
// send there until their counts are updated.
TEST_F(BalancerTest, PrefersTheLessLoadedTargetWithoutExclusiveUse)
{
    m_balancer.setTargets({ headOf("a", "large", 14), headOf("b", "large", 14) });
    m_balancer.setRemoteInFlight({ { "a", 5 }, { "b", 9 } });
    int toEmptier = 0;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i)
        toEmptier += choose() == "a" ? 1 : 0;
    EXPECT_GT(toEmptier, draws * 7 / 10) << "weighted by the square of nine free places against five";
    EXPECT_LT(toEmptier, draws * 82 / 100);
    m_balancer.setRemoteInFlight({ { "a", 0 }, { "b", 13 } });
    toEmptier = 0;
    for (int i = 0; i < draws; ++i)
        toEmptier += choose() == "a" ? 1 : 0;
    EXPECT_GT(toEmptier, draws * 98 / 100);
}

// A rate limit must survive a change of the target list.
TEST_F(BalancerTest, ExcludesATargetWhoseRateLimitIsExhausted)
{
    m_balancer.setTargets({ headOf("a"), headOf("b") });
    m_balancer.limits().applyAnswer("a", 0.5, start, start);
    m_balancer.setTargets({ headOf("b") });
    m_balancer.setTargets({ headOf("a"), headOf("b") });
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose(), "b");
    EXPECT_EQ(choose(0, { "b" }), "") << "a call that finds nothing else is refused";
    EXPECT_GT(m_balancer.rateLimitExclusions(), 0u);
}

// Guards against calls that pile up at a preferred target, and against one that takes calls though it may not be used.
TEST_F(BalancerTest, ChoosesPreferredTargetsUntilTheyAreLoadedMoreThanOthers)
{
    m_balancer.setTargets({ headOf("a", "large", 20), headOf("b", "large", 20), headOf("c", "large", 20) });
    std::vector<std::string> preferred { "b", "gone" };
    auto chooseWithPreference = [&](std::vector<std::string> excluded = {}) {
        return m_balancer.choose({ "writers", "large", excluded, 0, {}, preferred }, start, m_random);
    };
    for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(chooseWithPreference(), "b");
        m_balancer.sendStarted("b", start);
    }
    EXPECT_NE(chooseWithPreference({ "b" }), "b");
    m_balancer.setRemoteInFlight({ { "b", 10 } });
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(chooseWithPreference({ "gone" }), "");
        EXPECT_NE(chooseWithPreference({ "a", "c" }), "a");
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 300; ++i)
        ++chosen[chooseWithPreference()];
    EXPECT_LT(chosen["b"], 100);
    m_balancer.suspect("b", start + std::chrono::seconds(1));
    EXPECT_NE(chooseWithPreference(), "b");
}

} // namespace Kumquatpick
