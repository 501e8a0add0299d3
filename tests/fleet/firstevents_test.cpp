#include "fleet/firstevents.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds usualWait { 160 };

    // One node's calls to replicas of one model, whose first events usually come after 160 ms.
    class FirstEventsTest : public testing::Test {
    protected:
        FirstEventsTest()
        {
            for (int i = 0; i < 50; ++i) {
                uint64_t call = send("other");
                pass(usualWait + Milliseconds(i % 5 * 8));
                begin("other", call);
            }
        }

        uint64_t send(const std::string& host)
        {
            m_events.sent(++m_call, host, "small", m_now);
            return m_call;
        }

        void begin(const std::string& host, uint64_t call)
        {
            m_events.arrived(host, m_now);
            m_events.began(call, m_now);
        }

        void pass(Milliseconds time) { m_now += time; }

        bool isSilent(const std::string& host)
        {
            auto silences = m_events.silences(m_now);
            return std::ranges::any_of(silences, [&](const auto& silence) { return silence.hostId == host; });
        }

        FirstEvents m_events;
        MonotonicTime m_now { std::chrono::hours(1) };
        uint64_t m_call = 0;
    };

}

// A replica takes calls and never begins them: until their callers leave two seconds later, all calls that are sent
// there meanwhile are lost.
TEST_F(FirstEventsTest, AHungReplicaIsSilentSoon)
{
    uint64_t call = send("hung");
    pass(Milliseconds(350));
    EXPECT_FALSE(isSilent("hung"));
    pass(Milliseconds(250));
    auto silences = m_events.silences(m_now);
    ASSERT_EQ(silences.size(), 1u);
    EXPECT_EQ(silences[0].hostId, "hung");
    EXPECT_EQ(silences[0].calls, std::vector<uint64_t> { call });
}

// A host goes dark in the middle of its work: what came from it before the call was sent says nothing.
TEST_F(FirstEventsTest, ADarkReplicaIsSilentAlthoughItWroteBefore)
{
    m_events.arrived("dark", m_now);
    pass(Milliseconds(5));
    send("dark");
    pass(Milliseconds(600));
    EXPECT_TRUE(isSilent("dark"));
}

// The calls before it are served meanwhile, by this node or by others. A rule that cuts by time alone fails here: it
// sends each waiting call twice where there are too many already.
TEST_F(FirstEventsTest, AQueueIsNoSilence)
{
    send("full");
    for (int i = 0; i < 40; ++i) {
        pass(Milliseconds(50));
        if (i % 5 == 4) // Another node's news comes a moment later.
            m_events.toldArrived("full", m_now - Milliseconds(150));
        EXPECT_FALSE(isSilent("full")) << "after " << i;
    }
    pass(Milliseconds(500));
    EXPECT_TRUE(isSilent("full")) << "once the queue stands still";
}

// Where all are slow, the usual wait follows, and what is not heard for as long is no silence either.
TEST_F(FirstEventsTest, ASlowModelIsGivenItsTime)
{
    for (int i = 0; i < 40; ++i) {
        uint64_t call = send("slow");
        pass(Milliseconds(700));
        begin("slow", call);
    }
    send("slow-too");
    pass(Milliseconds(700));
    EXPECT_FALSE(isSilent("slow-too"));
    pass(Milliseconds(900));
    EXPECT_TRUE(isSilent("slow-too"));
}

TEST_F(FirstEventsTest, ThisNodesOwnPauseIsNoSilence)
{
    send("read-late");
    pass(Milliseconds(900));
    m_events.excusePause(Milliseconds(880));
    EXPECT_FALSE(isSilent("read-late"));
    pass(Milliseconds(600));
    EXPECT_TRUE(isSilent("read-late"));
}

TEST_F(FirstEventsTest, ACallerThatLeftIsEvidenceForAWhile)
{
    uint64_t call = send("hung");
    pass(Milliseconds(510));
    m_events.ended(call, true, m_now);
    pass(Milliseconds(50));
    auto silences = m_events.silences(m_now);
    ASSERT_EQ(silences.size(), 1u);
    EXPECT_TRUE(silences[0].calls.empty()) << "nothing is left to be sent elsewhere";
    m_events.arrived("hung", m_now);
    EXPECT_FALSE(isSilent("hung"));
    uint64_t impatient = send("busy");
    pass(Milliseconds(50));
    m_events.ended(impatient, true, m_now);
    pass(Milliseconds(600));
    EXPECT_FALSE(isSilent("busy")) << "it left before it could know anything";
}

TEST_F(FirstEventsTest, TellsWhatArrivedLately)
{
    m_events.arrived("a", m_now);
    pass(Milliseconds(300));
    m_events.arrived("b", m_now);
    pass(Milliseconds(800));
    m_events.toldArrived("c", m_now - Milliseconds(20));
    auto arrivals = m_events.allArrivals(m_now);
    EXPECT_FALSE(arrivals.contains("a"));
    EXPECT_EQ(arrivals.at("b"), Milliseconds(800));
    EXPECT_EQ(arrivals.at("c"), Milliseconds(20));
    EXPECT_FALSE(m_events.ownArrivals(m_now).contains("c"));
}

} // namespace Kumquatpick
