#include "fleet/routetable.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    Route routeTo(std::string name, std::string prefix, std::string host = "desk.example")
    {
        Route route;
        route.name = std::move(name);
        route.host = std::move(host);
        route.pathPrefix = std::move(prefix);
        return route;
    }

    RouteTable table()
    {
        FleetConfig config;
        config.version = 7;
        config.routes = { routeTo("whole", "/"), routeTo("short", "/a/"), routeTo("long", "/a/b/"),
            routeTo("other", "/a/", "other.example") };
        config.teams = { { "coaches", { "k1", "k2" }, {} }, { "families", { "k3" }, {} } };
        return RouteTable(std::move(config));
    }

}

TEST(RouteTable, FindsTheLongestPrefixOfTheHost)
{
    RouteTable routes = table();
    EXPECT_EQ(routes.find("desk.example", "/a/b/c")->name, "long");
    EXPECT_EQ(routes.find("desk.example", "/a/bc")->name, "short") << "a prefix ends at a slash";
    EXPECT_EQ(routes.find("desk.example", "/x")->name, "whole");
    EXPECT_EQ(routes.find("other.example", "/a/b/c")->name, "other");
    EXPECT_EQ(routes.find("other.example", "/"), nullptr);
    EXPECT_EQ(routes.find("nobody.example", "/a/"), nullptr);
}

TEST(RouteTable, IgnoresTheQuery)
{
    RouteTable routes = table();
    EXPECT_EQ(routes.find("desk.example", "/a?path=/a/b/")->name, "whole");
}

TEST(RouteTable, FindsTheTeamOfAKey)
{
    RouteTable routes = table();
    EXPECT_EQ(routes.teamOfKey("k2")->name, "coaches");
    EXPECT_EQ(routes.teamOfKey(""), nullptr);
    EXPECT_EQ(routes.teamOfKey("k4"), nullptr);
}

TEST(RouteTable, PicksServicesByWeight)
{
    Route route;
    route.services = { { "old", 90 }, { "new", 10 }, { "none", 0 } };
    EXPECT_EQ(RouteTable::pickService(route, 0), "old");
    EXPECT_EQ(RouteTable::pickService(route, 0.89), "old");
    EXPECT_EQ(RouteTable::pickService(route, 0.91), "new");
    route.services = { { "none", 0 } };
    EXPECT_EQ(RouteTable::pickService(route, 0.5), "");
}

} // namespace Kumquatpick
