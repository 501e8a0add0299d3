#include "suspicion/suspicionstate.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };
    constexpr uint64_t crashing = 99;
    constexpr uint64_t common = 7; // Part of crashing and of sound requests.

    // The guard of one node. Each request has another fingerprint.
    class SharedSuspectsTest : public testing::Test {
    protected:
        RunSuspects request(std::vector<uint64_t> parts) { return { ++m_lastRequest, std::move(parts) }; }

        // A request that ends its server a moment after it began, at a new server.
        void crash(const std::vector<uint64_t>& parts, MonotonicTime at)
        {
            std::string server = "server-" + std::to_string(++m_lastServer);
            m_state.dispatched(request(parts), server, at - 100ms);
            m_state.replicaDied(server, at);
        }

        // A request whose answer is complete after a while.
        void serve(const std::vector<uint64_t>& parts, MonotonicTime begun, Milliseconds duration = 500ms)
        {
            RunSuspects run = request(parts);
            m_state.dispatched(run, "sound", begun - 100ms);
            m_state.wrote(run, "sound", begun);
            m_state.finished(run, "sound", begun + duration);
        }

        bool isRefused(const std::vector<uint64_t>& parts, MonotonicTime now)
        {
            return m_state.verdict(request(parts), now) == SuspicionVerdict::Stopped;
        }

        SuspicionState m_state { 1, { .harmlessDuration = 10s, .namesAreUnique = true } };
        uint64_t m_lastRequest = 1000;
        int m_lastServer = 0;
    };

}

// Of two parts that all crashing requests have, only the deeper one is stopped.
TEST_F(SharedSuspectsTest, StopsTheDeepestPartOfAllDeaths)
{
    for (int i = 0; i < 3; ++i)
        crash({ common, crashing }, start + i * 100ms);
    EXPECT_TRUE(isRefused({ common, crashing }, start + 300ms));
    EXPECT_FALSE(isRefused({ common }, start + 300ms));
    EXPECT_GT(m_state.retryAfter(request({ crashing }), start + 300ms), 59min);
}

// Guards against a part that is spared for runs that began before it turned bad.
TEST_F(SharedSuspectsTest, RunsThatBeganBeforeADeathClearNothing)
{
    serve({ crashing }, start);
    for (int i = 0; i < 3; ++i)
        crash({ crashing }, start + 1s + i * 100ms);
    serve({ crashing }, start + 500ms, 2s);
    EXPECT_TRUE(isRefused({ crashing }, start + 1200ms + SharedSuspects::verificationTime));
}

TEST_F(SharedSuspectsTest, RunsThatBeganAfterADeathClearIt)
{
    for (int i = 0; i < 3; ++i)
        crash({ common }, start + i * 100ms);
    ASSERT_TRUE(isRefused({ common }, start + 300ms));
    serve({ common }, start + 400ms);
    EXPECT_FALSE(isRefused({ common }, start + 1s));
    EXPECT_EQ(m_state.deaths(Suspect { SuspectKind::PromptPart, common }, start + 1s), 0u);
}

// Guards against stopping what many requests share in the moment in which servers end under other ones.
TEST_F(SharedSuspectsTest, DeathsAreInDoubtWhileSoundRunsAreFrequent)
{
    serve({ common }, start);
    for (int i = 0; i < 5; ++i)
        crash({ common }, start + 1s + i * 50ms);
    EXPECT_FALSE(isRefused({ common }, start + 1300ms));
    EXPECT_TRUE(isRefused({ common }, start + 1300ms + SharedSuspects::verificationTime));
}

// What has been answered for a while when the server ends did not end it.
TEST_F(SharedSuspectsTest, SparesAnswersThatWentOn)
{
    for (int i = 0; i < 3; ++i) {
        RunSuspects run = request({ common });
        m_state.dispatched(run, "server", start + i * 5s);
        m_state.wrote(run, "server", start + i * 5s + 100ms);
        m_state.wrote(run, "server", start + i * 5s + 100ms + ServerRun::soundAfter);
        std::string server = "server";
        m_state.replicaDied(server, start + i * 5s + 1200ms);
    }
    EXPECT_EQ(m_state.deaths(Suspect { SuspectKind::PromptPart, common }, start + 20s), 0u);
}

// A whole request that ends its servers is stopped by itself; its parts are not.
TEST_F(SharedSuspectsTest, StoppedRequestsExplainTheDeathsOfTheirParts)
{
    RunSuspects run = request({ common });
    for (int i = 0; i < 3; ++i) {
        std::string server = "server-" + std::to_string(i);
        m_state.dispatched(run, server, start + i * 100ms);
        m_state.replicaDied(server, start + i * 100ms + 50ms);
    }
    EXPECT_EQ(m_state.verdict(run, start + 1s), SuspicionVerdict::Stopped);
    EXPECT_EQ(m_state.verdict(request({ common }), start + 1s), SuspicionVerdict::Clear);
}

// Guards against a part that is stopped by mistake and, as it runs nowhere, never cleared again; and against a part
// that ends a server each time that it is tried.
TEST_F(SharedSuspectsTest, OneNodeTriesAStoppedPartOnce)
{
    for (int i = 0; i < 3; ++i)
        crash({ crashing }, start + i * 100ms);
    ASSERT_TRUE(isRefused({ crashing }, start + 300ms));
    MonotonicTime trial = start + 300ms + SharedSuspects::trialDelay;
    EXPECT_FALSE(isRefused({ crashing }, trial));
    crash({ crashing }, trial + 100ms);
    EXPECT_TRUE(isRefused({ crashing }, trial + 200ms));
    EXPECT_TRUE(isRefused({ crashing }, trial + 30s));
}

// Counts travel in any order, more than once, and are the same on all nodes.
TEST_F(SharedSuspectsTest, OtherNodesStopAndClearThePart)
{
    SuspicionState other(2, { .harmlessDuration = 10s, .namesAreUnique = true });
    for (int i = 0; i < 3; ++i)
        crash({ crashing }, start + i * 100ms);
    EXPECT_TRUE(m_state.hasUrgentChanges());
    auto deaths = m_state.takeOwnChanges();
    EXPECT_EQ(other.merge(deaths, start + 400ms), (std::vector<Suspect> { { SuspectKind::PromptPart, crashing } }));
    EXPECT_TRUE(other.merge(deaths, start + 500ms).empty());
    EXPECT_EQ(other.verdict({ 5, { crashing } }, start + 500ms), SuspicionVerdict::Stopped);
    serve({ crashing }, start + 600ms);
    auto cleared = m_state.takeOwnChanges();
    other.merge(cleared, start + 1200ms);
    other.merge(deaths, start + 1300ms);
    EXPECT_EQ(other.verdict({ 5, { crashing } }, start + 1300ms), SuspicionVerdict::Clear);
}

// A caller that makes up parts, or a peer that reports them, fills no memory and stops nothing else.
TEST_F(SharedSuspectsTest, MemoryIsBoundedAndStoppedPartsAreKept)
{
    for (int i = 0; i < 3; ++i)
        crash({ crashing }, start + i * 100ms);
    for (uint64_t part = 1; part <= 2 * SharedSuspects::maxSuspects; ++part) {
        SuspicionCount count { 100'000 + part, 2, 1, 0, { part } };
        count.kind = SuspectKind::PromptPart;
        m_state.merge(std::vector<SuspicionCount> { count }, start + 1s);
    }
    EXPECT_LE(m_state.suspects(), SharedSuspects::maxSuspects + 3);
    EXPECT_TRUE(isRefused({ crashing }, start + 2s));
}

} // namespace Kumquatpick
