#include "daemon/weightedplacement.h"

#include "fleet.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;
    using HostNames = std::vector<std::string>;

    // A replica of desk needs four hosts. d1 and d2 have two free hosts each, and each also has one two-host replica of
    // writers.
    struct PlacementFixture {
        PlacementFixture()
        {
            text.services = { modelService("writers", 2, 2), modelService("desk", 4, 1) };
            ServiceConfig plain;
            plain.name = "router";
            plain.kind = ServiceKind::Plain;
            text.services.push_back(plain);
            for (const Claim& claim :
                { claimOf(3, "writers", "d1", { "a", "b" }), claimOf(4, "writers", "d2", { "c", "d" }) })
                claims.emplace(claim.offset, claim);
            freeDomains = { { "d1", { "howrah", { "e", "f" } } }, { "d2", { "siliguri", { "g", "h" } } } };
        }

        PlacementRequest questionFor(size_t service) const
        {
            return { text.services[service], text, claims, {}, freeDomains };
        }

        std::optional<ReplicaMove> move(const std::vector<Offset>& offsets) const
        {
            std::vector<const Claim*> movable;
            movable.reserve(offsets.size());
            for (Offset offset : offsets)
                movable.push_back(&claims.at(offset));
            return weightedPlacement.move({ questionFor(1), movable });
        }

        OperatorConfig text;
        std::map<Offset, Claim> claims;
        std::map<std::string, FreeDomain> freeDomains;
    };

    TEST(WeightedPlacement, PlacesReplicaOnHostsOfOneDomain)
    {
        PlacementFixture fixture;
        EXPECT_FALSE(weightedPlacement.place(fixture.questionFor(1)));
        fixture.freeDomains["d2"].hosts = { "g", "h", "i", "j" };
        auto placement = weightedPlacement.place(fixture.questionFor(1));
        ASSERT_TRUE(placement);
        EXPECT_EQ(placement->domain, "d2");
        EXPECT_EQ(placement->hosts, (HostNames { "g", "h", "i", "j" }));
    }

    TEST(WeightedPlacement, MovesOnlyMovableReplicas)
    {
        PlacementFixture fixture;
        auto move = fixture.move({ 4 });
        ASSERT_TRUE(move);
        EXPECT_EQ(move->claim, 4u);
        EXPECT_EQ(move->to.domain, "d1");
        EXPECT_EQ(move->to.hosts, (HostNames { "e", "f" }));
        EXPECT_EQ(fixture.move({ 3 })->to.hosts, (HostNames { "g", "h" }));
        EXPECT_FALSE(fixture.move({}));
        fixture.freeDomains["d1"].hosts.pop_back();
        EXPECT_FALSE(fixture.move({ 3 })) << "d1 would have only three free hosts";
        EXPECT_FALSE(fixture.move({ 4 })) << "d1 has only one free host to move to";
    }

    TEST(WeightedPlacement, ServiceWeightsDecideConcurrentMovesAndLoadOrder)
    {
        ServiceConfig service = modelService("desk", 4, 1);
        service.groupDowntimeWeight = 0.8;
        service.strandedWeight = 0.2;
        EXPECT_TRUE(weightedPlacement.recoveryLoadsFirst(service));
        EXPECT_EQ(weightedPlacement.movesAtOnce(service, true), 1u);
        EXPECT_EQ(weightedPlacement.movesAtOnce(service, false), 4u);
        std::swap(service.groupDowntimeWeight, service.strandedWeight);
        EXPECT_FALSE(weightedPlacement.recoveryLoadsFirst(service));
        EXPECT_EQ(weightedPlacement.movesAtOnce(service, true), 4u);
    }

}

} // namespace Kumquatpick
