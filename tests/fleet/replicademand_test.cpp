#include "fleet/replicademand.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

// Calls occupy 60 slots; replicas have 17 slots each and a target utilization of 0.6.
TEST(ReplicaDemand, FollowsTrafficWithinSeconds)
{
    ReplicaDemand demand;
    constexpr int tenSeconds = 100;
    for (int tick = 0; tick < tenSeconds; ++tick)
        demand.observe(60);
    EXPECT_NEAR(demand.replicas(17), 0.5 + 60 / (17 * 0.6), 0.2);
    demand.observe(0);
    EXPECT_GT(demand.demandedSlots(), 50) << "one quiet moment changes little";
    constexpr int threeSeconds = 30;
    for (int tick = 0; tick < threeSeconds; ++tick)
        demand.observe(0);
    EXPECT_LT(demand.demandedSlots(), 20);
}

} // namespace Kumquatpick
