#include "base/random.h"
#include "fleet/teamshares.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

    struct Team {
        double asks = 0; // A second.
        int pending = 0;
        int asked = 0;
        int served = 0;
    };

    // Plays calls of teams of which so many a second fit. Teams that are over their share get only what others leave.
    void play(std::vector<Team>& teams, double room, int seconds, Random random)
    {
        constexpr Milliseconds tick { 50 };
        TeamShares shares;
        std::vector<size_t> order(teams.size());
        std::iota(order.begin(), order.end(), 0);
        double free = 0;
        MonotonicTime now = start;
        for (int i = 0; i < seconds * 20; ++i, now += tick) {
            std::ranges::shuffle(order, random); // Calls arrive in any order.
            free = std::min(room, free + room / 20);
            for (Team& team : teams)
                team.pending = std::poisson_distribution<int>(team.asks / 20)(random);
            // Those that are not over their share come first, each round one call of each team.
            for (bool isOver : { false, true }) {
                for (bool any = true; any;) {
                    any = false;
                    for (size_t t : order) {
                        Team& team = teams[t];
                        std::string name = std::to_string(t);
                        if (team.pending < 1 || (!isOver && shares.isOverShare(name, now)))
                            continue;
                        any = true;
                        --team.pending;
                        ++team.asked;
                        shares.recordAsked(name, now);
                        if (free < 1)
                            continue;
                        free -= 1;
                        ++team.served;
                        shares.recordAdmitted(name, now);
                    }
                }
            }
        }
    }

}

TEST(TeamShares, NobodyIsOverItsShareWhileThereIsRoom)
{
    TeamShares shares;
    for (int i = 0; i < 100; ++i) {
        shares.recordAsked("large", start);
        shares.recordAdmitted("large", start);
    }
    shares.recordAsked("small", start);
    shares.recordAdmitted("small", start);
    EXPECT_FALSE(shares.isOverShare("large", start));
    EXPECT_FALSE(shares.isOverShare("unknown", start));
}

TEST(TeamShares, TheLargestTeamIsOverItsShareWhenCallsAreRefused)
{
    TeamShares shares;
    for (int i = 0; i < 100; ++i)
        shares.recordAsked("large", start);
    for (int i = 0; i < 60; ++i)
        shares.recordAdmitted("large", start);
    for (int i = 0; i < 20; ++i)
        shares.recordAsked("small", start);
    for (int i = 0; i < 10; ++i)
        shares.recordAdmitted("small", start);
    // Of 70 admitted calls, 20 are the small team's.
    EXPECT_DOUBLE_EQ(shares.equalShare(start), 50);
    EXPECT_TRUE(shares.isOverShare("large", start));
    EXPECT_FALSE(shares.isOverShare("small", start));
}

TEST(TeamShares, ForgetsWhatIsLongAgo)
{
    TeamShares shares;
    for (int i = 0; i < 100; ++i)
        shares.recordAsked("large", start);
    shares.recordAdmitted("large", start);
    MonotonicTime later = start + std::chrono::seconds(60);
    shares.recordAsked("small", later);
    shares.recordAdmitted("small", later);
    EXPECT_FALSE(shares.isOverShare("small", later));
}

// No team may get less than a quarter of the mean, or of what it asks for if that is less.
RC_GTEST_PROP(TeamShares, NoTeamIsUnderAQuarterOfTheMean, ())
{
    auto large = static_cast<size_t>(*rc::gen::inRange(1, 4));
    std::vector<Team> teams(24);
    for (size_t i = 0; i < teams.size(); ++i)
        teams[i].asks = i < large ? *rc::gen::inRange(40, 400) : *rc::gen::inRange(1, 10);
    double asked = 0;
    for (const Team& team : teams)
        asked += team.asks;
    play(teams, asked * *rc::gen::inRange(30, 90) / 100, 100, Random(*rc::gen::inRange(0, 1000)));
    double served = 0;
    for (const Team& team : teams)
        served += team.served;
    double mean = served / static_cast<double>(teams.size());
    for (const Team& team : teams)
        RC_ASSERT(team.served >= std::min<double>(mean, team.asked) / 4);
}

} // namespace Kumquatpick
