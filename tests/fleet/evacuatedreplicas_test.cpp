#include "fleet/plannerworld.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    // Two zones with a domain each.
    class TwoZones : public PlannerWorld {
    public:
        explicit TwoZones(int hostsPerZone)
            : PlannerWorld({ makeModel("pair", 2) })
        {
            for (int i = 0; i < hostsPerZone; ++i) {
                addHost(fmt::format("a-{}", i), "domain-a", "zone-a");
                addHost(fmt::format("b-{}", i), "domain-b", "zone-b");
            }
            wantedReplicas["pair"] = 1;
        }

        size_t open(std::string_view zone) const
        {
            auto replicas = openReplicas();
            return static_cast<size_t>(std::ranges::count_if(
                replicas, [&](const ReplicaView& replica) { return replica.head->zone == zone; }));
        }
        size_t ordersInto(std::string_view zone, OrderKind kind) const
        {
            return static_cast<size_t>(std::ranges::count_if(orders, [&](const HostOrder& order) {
                const Host* host = table.find(order.hostId);
                return order.kind == kind && host && host->zone == zone;
            }));
        }
    };

}

TEST(EvacuatedReplicas, NoneAreFormedInTheZoneUntilItIsTakenBack)
{
    TwoZones world(4);
    world.evacuatedZones = { "zone-b" };
    world.wantedReplicas["pair"] = 4;
    world.run(Milliseconds(5000));
    EXPECT_EQ(world.open("zone-a"), 2u);
    EXPECT_EQ(world.ordersInto("zone-b", OrderKind::Join), 0u);
    EXPECT_EQ(world.ordersInto("zone-b", OrderKind::Stage), 0u);
    world.evacuatedZones.clear();
    world.run(Milliseconds(5000));
    EXPECT_EQ(world.open("zone-b"), 2u);
}

// Guards against replicas that are counted although nothing may be sent to them, and against taking them apart: their
// requests are to finish, and the zone is soon taken back.
TEST(EvacuatedReplicas, OthersTakeTheirPlaceAndTheyStayOpen)
{
    TwoZones world(4);
    world.evacuatedZones = { "zone-a" };
    world.wantedReplicas["pair"] = 2;
    world.run(Milliseconds(5000));
    ASSERT_EQ(world.open("zone-b"), 2u);
    world.isBeforeTraffic = false;
    world.evacuatedZones.clear();
    for (int i = 0; i < 4; ++i) {
        HostStatus status = world.table.find(fmt::format("a-{}", i))->status;
        status.membership.reset();
        status.stagedModels = { "pair" };
        world.table.applyReport(fmt::format("a-{}", i), status, world.now);
    }
    world.wantedReplicas["pair"] = 0;
    world.run(Milliseconds(1000));
    size_t openBefore = world.open("zone-a");
    world.orders.clear();
    world.wantedReplicas["pair"] = 2;
    world.evacuatedZones = { "zone-b" };
    world.run(Milliseconds(8000));
    EXPECT_GE(world.open("zone-a"), std::max<size_t>(2, openBefore));
    EXPECT_EQ(world.open("zone-b"), 2u);
    EXPECT_EQ(world.ordersInto("zone-b", OrderKind::Leave) + world.ordersInto("zone-b", OrderKind::Close), 0u);
    world.evacuatedZones.clear();
    world.orders.clear();
    world.run(Milliseconds(3000));
    EXPECT_EQ(world.ordersInto("zone-b", OrderKind::Join), 0u) << "it serves as it is";
    EXPECT_EQ(world.open("zone-b"), 2u);
}

// A replica with one host in the zone gets nothing new either.
TEST(EvacuatedReplicas, OneMemberInTheZoneCounts)
{
    PlannerWorld world({ makeModel("pair", 2) });
    world.wantedReplicas["pair"] = 1;
    world.addHost("a", "shared", "zone-a");
    world.addHost("b", "shared", "zone-b");
    world.addHost("c", "other", "zone-a");
    world.addHost("d", "other", "zone-a");
    world.evacuatedZones = { "zone-b" };
    world.run(Milliseconds(5000));
    for (const ReplicaView& replica : world.openReplicas()) {
        for (const Host* member : replica.members)
            EXPECT_EQ(member->status.domain, "other");
    }
    EXPECT_EQ(world.openReplicas().size(), 1u);
}

} // namespace Kumquatpick
