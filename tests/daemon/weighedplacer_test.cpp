#include "daemon/weighedplacer.h"

#include "fleet.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace Testing;
    using Lines = std::vector<std::string>;

    // desk wants four hosts; d1 and d2 have two free ones each, and small replicas beside them.
    struct Question {
        Question()
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

        PlacementQuestion about(size_t service) const
        {
            return { text.services[service], text, claims, {}, freeDomains };
        }

        std::optional<ReplicaMove> move(const std::vector<Offset>& offsets) const
        {
            std::vector<const Claim*> movable;
            movable.reserve(offsets.size());
            for (Offset offset : offsets)
                movable.push_back(&claims.at(offset));
            return placeWeighed.move({ about(1), movable });
        }

        OperatorConfig text;
        std::map<Offset, Claim> claims;
        std::map<std::string, FreeDomain> freeDomains;
    };

    TEST(WeighedPlacer, AnswersWithNamesAndHostsOfOneDomain)
    {
        Question question;
        EXPECT_FALSE(placeWeighed.place(question.about(1)));
        question.freeDomains["d2"].hosts = { "g", "h", "i", "j" };
        auto placement = placeWeighed.place(question.about(1));
        ASSERT_TRUE(placement);
        EXPECT_EQ(placement->domain, "d2");
        EXPECT_EQ(placement->hosts, (Lines { "g", "h", "i", "j" }));
    }

    TEST(WeighedPlacer, MovesOnlyWhatTheControllerCallsMovable)
    {
        Question question;
        auto move = question.move({ 4 });
        ASSERT_TRUE(move);
        EXPECT_EQ(move->claim, 4u);
        EXPECT_EQ(move->to.domain, "d1");
        EXPECT_EQ(move->to.hosts, (Lines { "e", "f" }));
        EXPECT_EQ(question.move({ 3 })->to.hosts, (Lines { "g", "h" }));
        EXPECT_FALSE(question.move({}));
        question.freeDomains["d1"].hosts.pop_back();
        EXPECT_FALSE(question.move({ 3 })) << "d1 would still have three";
        EXPECT_FALSE(question.move({ 4 })) << "d1 has no two to move to";
    }

    TEST(WeighedPlacer, TheOperatorsWeightsSayHowManyMovesRunAndWhoseLoadsGoFirst)
    {
        ServiceConfig service = modelService("desk", 4, 1);
        service.groupDowntimeWeight = 0.8;
        service.strandedWeight = 0.2;
        EXPECT_TRUE(placeWeighed.recoveryLoadsFirst(service));
        EXPECT_EQ(placeWeighed.movesAtOnce(service, true), 1u);
        EXPECT_EQ(placeWeighed.movesAtOnce(service, false), 4u);
        std::swap(service.groupDowntimeWeight, service.strandedWeight);
        EXPECT_FALSE(placeWeighed.recoveryLoadsFirst(service));
        EXPECT_EQ(placeWeighed.movesAtOnce(service, true), 4u);
    }

}

} // namespace Kumquatpick
