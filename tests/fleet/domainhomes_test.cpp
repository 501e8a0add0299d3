#include "fleet/domainhomes.h"

#include "fleet/plannerworld.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    size_t homesOf(const DomainHomes& homes, std::string_view model)
    {
        size_t count = 0;
        for (int domain = 0; domain < 6; ++domain)
            count += homes.homeOf("d" + std::to_string(domain)) == model ? 1 : 0;
        return count;
    }

    PlannerWorld sixDomains()
    {
        PlannerWorld world({ modelOf("small", 2), modelOf("large", 4) });
        for (int i = 0; i < 60; ++i)
            world.addHost("host-" + std::to_string(i), "d" + std::to_string(i % 6));
        return world;
    }

}

TEST(DomainHomes, SharesDomainsByTheHostsThatAreWanted)
{
    PlannerWorld world = sixDomains();
    DomainHomes homes;
    homes.assign(world.table, world.service, { { "large", 7.5 }, { "small", 15 } });
    EXPECT_EQ(homesOf(homes, "large"), 3u);
    EXPECT_EQ(homesOf(homes, "small"), 3u);
    EXPECT_EQ(homes.homeOf("elsewhere"), "");
}

TEST(DomainHomes, KeepsAHomeWhileDemandMovesALittle)
{
    PlannerWorld world = sixDomains();
    DomainHomes homes;
    homes.assign(world.table, world.service, { { "large", 7.5 }, { "small", 15 } });
    std::vector<std::string> before;
    before.reserve(6);
    for (int domain = 0; domain < 6; ++domain)
        before.emplace_back(homes.homeOf("d" + std::to_string(domain)));
    homes.assign(world.table, world.service, { { "large", 8 }, { "small", 14 } });
    for (int domain = 0; domain < 6; ++domain)
        EXPECT_EQ(homes.homeOf("d" + std::to_string(domain)), before[domain]);
}

TEST(DomainHomes, MovesHomesWhenDemandDoes)
{
    PlannerWorld world = sixDomains();
    DomainHomes homes;
    homes.assign(world.table, world.service, { { "large", 7.5 }, { "small", 15 } });
    homes.assign(world.table, world.service, { { "large", 13 }, { "small", 4 } });
    EXPECT_EQ(homesOf(homes, "large"), 5u);
}

} // namespace Kumquatpick
