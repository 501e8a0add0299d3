#include "node/bench_membership.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

namespace Kumquatpick {

namespace {

    // Cluster sizes from KUMQUATPICK_BENCH_SIZES, separated by commas. The default is one small cluster.
    std::vector<size_t> sizes()
    {
        const char* text = std::getenv("KUMQUATPICK_BENCH_SIZES");
        std::istringstream list(text ? text : "8");
        std::vector<size_t> sizes;
        for (std::string size; std::getline(list, size, ',');)
            sizes.push_back(std::stoul(size));
        return sizes;
    }

    void print(const BenchTable& table)
    {
        std::cout << "\n" << table.family << "\n";
        auto line = [](const std::vector<std::string>& cells) {
            for (const std::string& cell : cells)
                std::cout << "| " << cell << " ";
            std::cout << "|\n";
        };
        line(table.columns);
        std::ranges::for_each(table.rows, line);
    }

}

TEST(MembershipBench, SameSeedGivesSameFigures)
{
    constexpr size_t small[] = { 4 };
    auto first = runMembershipBench(7, small);
    auto second = runMembershipBench(7, small);
    ASSERT_EQ(first.size(), second.size());
    for (size_t i = 0; i < first.size(); ++i)
        EXPECT_EQ(first[i].rows, second[i].rows);
}

TEST(MembershipBench, TrafficIsBoundedAndLiveNodesAreKept)
{
    auto tables = runMembershipBench(1, sizes());
    for (const BenchTable& table : tables)
        print(table);
    constexpr double maxKilobytesPerSecond = 17;
    for (const auto& row : tables.at(0).rows) {
        if (row[2] != "gossip")
            continue;
        EXPECT_LE(std::stod(row[4]), maxKilobytesPerSecond) << "kB/s of the busiest node at " << row[0] << " nodes";
    }
    for (const auto& row : tables.at(1).rows) {
        if (row[2] != "gossip")
            continue;
        EXPECT_EQ(row[5], "0") << "dead nodes not detected at " << row[0] << " nodes, " << row[1];
        EXPECT_EQ(row[7], "0") << "false verdicts at " << row[0] << " nodes, " << row[1];
    }
    for (const auto& row : tables.at(2).rows)
        EXPECT_EQ(row[6], "0") << "nodes without the new configuration at " << row[0] << " nodes, " << row[1];
}

} // namespace Kumquatpick
