#include "fleet/replicademand.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr uint32_t capacity = 17;
    constexpr int ticksPerSecond = 10;

    double replicasAfter(int seconds, double places, std::optional<double> lateShare)
    {
        ReplicaDemand demand;
        for (int tick = 0; tick < seconds * ticksPerSecond; ++tick)
            demand.observe(places, lateShare);
        return demand.replicas(capacity);
    }

}

// Two models with the same places taken, one of which is late at any load above a third: it gets the hosts that the
// other one would leave half idle.
TEST(ReplicaDemand, GivesRoomToTheModelThatIsLate)
{
    double late = replicasAfter(8, 68, 0.4);
    double inTime = replicasAfter(8, 68, 0.01);
    EXPECT_GT(late, 10);
    EXPECT_LT(inTime, 6);
    EXPECT_GT(inTime, 68.0 / capacity) << "no more calls than places";
}

TEST(ReplicaDemand, StaysAsItIsWhileNobodySawAnEvent)
{
    ReplicaDemand demand;
    for (int tick = 0; tick < 100; ++tick)
        demand.observe(0, std::nullopt);
    EXPECT_DOUBLE_EQ(demand.use(), 0.6);
    EXPECT_DOUBLE_EQ(demand.replicas(capacity), 0.5);
}

} // namespace Kumquatpick
