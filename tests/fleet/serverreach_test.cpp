#include "fleet/serverreach.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };

    // Checks when it is due, as a node does; the links are as given.
    bool check(ServerReach& reach, MonotonicTime now, bool areLinksUp)
    {
        if (!reach.needsCheck("desk", now))
            return false;
        reach.checkStarted("desk", now);
        reach.checkEnded("desk", areLinksUp, now);
        return true;
    }

    ServerReach cutOff()
    {
        ServerReach reach;
        reach.connectFailed("desk", "server-1");
        reach.connectFailed("desk", "server-2");
        EXPECT_TRUE(check(reach, start, false));
        return reach;
    }

}

TEST(ServerReach, TakesASingleServerThatFailsForAFailedServer)
{
    ServerReach reach;
    for (int i = 0; i < 10; ++i)
        reach.connectFailed("desk", "server-1");
    reach.setSilentServers("desk", 1);
    EXPECT_FALSE(reach.needsCheck("desk", start));
    EXPECT_FALSE(reach.isCutOff("desk"));
}

// Connections that are refused, reset or get no answer look alike here: the server was not reached.
TEST(ServerReach, IsCutOffIfSeveralServersFailAndNoOtherAccepts)
{
    ServerReach reach = cutOff();
    EXPECT_TRUE(reach.isCutOff("desk"));
    EXPECT_EQ(reach.cutOffServices(), std::vector<std::string> { "desk" });
    EXPECT_FALSE(reach.isCutOff("writers")) << "each service is judged by itself";
}

// Open connections hang, and no new one is needed: only silence shows the cut.
TEST(ServerReach, IsCutOffIfSeveralServersFallSilentAndNoOtherAccepts)
{
    ServerReach reach;
    reach.setSilentServers("desk", 2);
    EXPECT_TRUE(check(reach, start, false));
    EXPECT_TRUE(reach.isCutOff("desk"));
}

// Some servers take long to answer while others send: nothing casts doubt on the links.
TEST(ServerReach, IsNotInDoubtWhileAnyServerIsHeardFrom)
{
    ServerReach reach;
    reach.heardFrom("desk", start);
    reach.setSilentServers("desk", 3);
    EXPECT_FALSE(reach.needsCheck("desk", start + 300ms));
    EXPECT_TRUE(reach.needsCheck("desk", start + 500ms));
}

// A domain of servers fails, and the others are reached.
TEST(ServerReach, IsNotCutOffWhileAnyServerAccepts)
{
    ServerReach reach;
    reach.connectFailed("desk", "server-1");
    reach.connectFailed("desk", "server-2");
    EXPECT_TRUE(check(reach, start, true));
    EXPECT_FALSE(reach.isCutOff("desk"));
    EXPECT_TRUE(reach.isReachedSince("desk", start - 1ms));
}

TEST(ServerReach, IsNotInDoubtIfAServerAcceptsBetweenTwoFailures)
{
    ServerReach reach;
    reach.connectFailed("desk", "server-1");
    reach.connected("desk", start);
    reach.connectFailed("desk", "server-2");
    EXPECT_FALSE(reach.needsCheck("desk", start + 1s));
}

// Servers that stay silent must not cause a check at each look.
TEST(ServerReach, ChecksOnceInAWhile)
{
    ServerReach reach;
    reach.setSilentServers("desk", 5);
    int checks = 0;
    for (auto at = 0ms; at < 5s; at += 50ms)
        checks += check(reach, start + at, true) ? 1 : 0;
    EXPECT_EQ(checks, 10);
}

TEST(ServerReach, FindsTheWayBackSoon)
{
    ServerReach reach = cutOff();
    EXPECT_FALSE(check(reach, start + 100ms, true));
    EXPECT_TRUE(check(reach, start + ServerReach::returnPeriod, true));
    EXPECT_FALSE(reach.isCutOff("desk"));
}

// Links that come and go.
TEST(ServerReach, IsCutOffAgainAfterAReturn)
{
    ServerReach reach = cutOff();
    check(reach, start + 250ms, true);
    reach.connectFailed("desk", "server-3");
    reach.connectFailed("desk", "server-1");
    EXPECT_TRUE(check(reach, start + 750ms, false));
    EXPECT_TRUE(reach.isCutOff("desk"));
    EXPECT_FALSE(reach.isReachedSince("desk", start + 250ms)) << "what it reached before the second cut proves nothing";
}

// A node that lost its links to one service has often lost those to the others, which it may hardly use.
TEST(ServerReach, ChecksASuspectedServiceWithoutFailures)
{
    ServerReach reach;
    reach.suspect("desk");
    EXPECT_TRUE(check(reach, start, true));
    EXPECT_FALSE(reach.needsCheck("desk", start + 1s)) << "one check clears the suspicion";
}

} // namespace Kumquatpick
