#include "fleet/domainassignment.h"

#include "fleet/plannerworld.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    size_t countDomainsOf(const DomainAssignment& assignment, std::string_view model)
    {
        size_t count = 0;
        for (int domain = 0; domain < 6; ++domain)
            count += assignment.assignedModel("d" + std::to_string(domain)) == model ? 1 : 0;
        return count;
    }

    PlannerWorld sixDomains()
    {
        PlannerWorld world({ makeModel("small", 2), makeModel("large", 4) });
        for (int i = 0; i < 60; ++i)
            world.addHost("host-" + std::to_string(i), "d" + std::to_string(i % 6));
        return world;
    }

}

TEST(DomainAssignment, AssignsDomainsInProportionToWantedHosts)
{
    PlannerWorld world = sixDomains();
    DomainAssignment assignment;
    assignment.assign(world.table, world.service, { { "large", 7.5 }, { "small", 15 } });
    EXPECT_EQ(countDomainsOf(assignment, "large"), 3u);
    EXPECT_EQ(countDomainsOf(assignment, "small"), 3u);
    EXPECT_EQ(assignment.assignedModel("elsewhere"), "");
}

TEST(DomainAssignment, KeepsAssignmentOnSmallDemandChange)
{
    PlannerWorld world = sixDomains();
    DomainAssignment assignment;
    assignment.assign(world.table, world.service, { { "large", 7.5 }, { "small", 15 } });
    std::vector<std::string> before;
    before.reserve(6);
    for (int domain = 0; domain < 6; ++domain)
        before.emplace_back(assignment.assignedModel("d" + std::to_string(domain)));
    assignment.assign(world.table, world.service, { { "large", 8 }, { "small", 14 } });
    for (int domain = 0; domain < 6; ++domain)
        EXPECT_EQ(assignment.assignedModel("d" + std::to_string(domain)), before[domain]);
}

TEST(DomainAssignment, ReassignsDomainsOnLargeDemandChange)
{
    PlannerWorld world = sixDomains();
    DomainAssignment assignment;
    assignment.assign(world.table, world.service, { { "large", 7.5 }, { "small", 15 } });
    assignment.assign(world.table, world.service, { { "large", 13 }, { "small", 4 } });
    EXPECT_EQ(countDomainsOf(assignment, "large"), 5u);
}

} // namespace Kumquatpick
