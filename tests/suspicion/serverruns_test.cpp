#include "suspicion/suspicionstate.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };
    constexpr uint64_t crashing = 99;
    constexpr uint64_t harmless = 7;

    // The guard of one node with a run that it gave up after a second.
    class ServerRunsTest : public testing::Test {
    protected:
        ServerRunsTest()
        {
            m_state.dispatched(crashing, "server-1", start);
            m_state.abandoned(crashing, "server-1", start + 1s);
        }

        uint32_t deaths(uint64_t fingerprint) const { return m_state.deaths(fingerprint, start + 5s); }

        SuspicionState m_state { 1, { .namesAreUnique = true } };
    };

}

// A server that falls silent under a request is found to have ended only after the request was given up.
TEST_F(ServerRunsTest, CountsRunThatWasGivenUpBeforeTheEndShowed)
{
    m_state.replicaDied("server-1", start + 4s, ServerEndSign::Unreachable);
    EXPECT_EQ(deaths(crashing), 1U);
}

// The next process at the address listens at once, so that the connection's end did not look like the server's.
TEST_F(ServerRunsTest, CountsRunThatBrokeAtAServerThatWasReplaced)
{
    m_state.replicaDied("server-1", start + 2s, ServerEndSign::Replaced);
    EXPECT_EQ(deaths(crashing), 1U);
}

// The caller of a request leaves, and the server ends right after.
TEST_F(ServerRunsTest, CountsRunWhoseCallerHadLeft)
{
    m_state.dispatched(harmless, "server-1", start + 500ms);
    m_state.replicaDied("server-1", start + 1100ms);
    EXPECT_EQ(deaths(crashing), 1U);
}

TEST_F(ServerRunsTest, ForgetsRunOnceItsServerAnswersAnything)
{
    m_state.heardFrom("server-1", start + 2s);
    m_state.replicaDied("server-1", start + 3s, ServerEndSign::Unreachable);
    EXPECT_EQ(deaths(crashing), 0U);
}

// What the server had sent before its end may be read a moment after the connection of the request was closed.
TEST_F(ServerRunsTest, KeepsRunDespiteLastBytesOfItsServer)
{
    m_state.heardFrom("server-1", start + 1050ms);
    m_state.replicaDied("server-1", start + 3s, ServerEndSign::Replaced);
    EXPECT_EQ(deaths(crashing), 1U);
}

// A silent server goes on getting requests until it is found to have ended. They never ran.
TEST_F(ServerRunsTest, SparesRequestsThatWereSentToASilentServer)
{
    m_state.dispatched(harmless, "server-1", start + 300ms);
    m_state.replicaDied("server-1", start + 3s, ServerEndSign::Unreachable);
    EXPECT_EQ(deaths(crashing), 1U);
    EXPECT_EQ(deaths(harmless), 0U);
}

TEST_F(ServerRunsTest, SparesRequestsOfAServerThatLeftAsPlanned)
{
    m_state.replicaLeft("server-1");
    m_state.replicaDied("server-1", start + 3s, ServerEndSign::Unreachable);
    EXPECT_EQ(deaths(crashing), 0U);
    EXPECT_FALSE(m_state.hasUnanswered("server-1"));
}

TEST_F(ServerRunsTest, ForgetsRunAfterAWhile)
{
    MonotonicTime end = start + 1s + ServerRuns::abandonedRetention + 1ms;
    m_state.replicaDied("server-1", end, ServerEndSign::Unreachable);
    EXPECT_EQ(m_state.deaths(crashing, end), 0U);
}

// Runs that were given up are no longer running: a suspect may be tried again.
TEST_F(ServerRunsTest, DoesNotCountRunsThatWereGivenUpAsRunning)
{
    m_state.replicaDied("server-1", start + 2s, ServerEndSign::Replaced);
    m_state.dispatched(crashing, "server-2", start + 3s);
    EXPECT_EQ(m_state.verdict(crashing, start + 3s), SuspicionVerdict::AlreadyRunning);
    m_state.abandoned(crashing, "server-2", start + 4s);
    EXPECT_EQ(m_state.verdict(crashing, start + 4s), SuspicionVerdict::Clear);
}

// An end that is noticed in two ways counts once.
TEST_F(ServerRunsTest, CountsOneEndOnce)
{
    m_state.replicaDied("server-1", start + 2s, ServerEndSign::Replaced);
    m_state.dispatched(crashing, "server-1", start + 2500ms);
    m_state.replicaDied("server-1", start + 3s, ServerEndSign::Unreachable);
    EXPECT_EQ(deaths(crashing), 1U);
}

} // namespace Kumquatpick
