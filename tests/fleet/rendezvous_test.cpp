#include "fleet/rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace Kumquatpick {

namespace {

    std::vector<CandidateNode> makeNodes(int count, double cpuShare = 0.25)
    {
        std::vector<CandidateNode> result;
        result.reserve(static_cast<size_t>(count));
        for (int i = 0; i < count; ++i)
            result.push_back({ "10.1.0." + std::to_string(i) + ":8229", cpuShare });
        return result;
    }

}

TEST(Rendezvous, AllNodesChooseTheSame)
{
    auto candidates = makeNodes(20);
    auto chosen = chooseNodes(candidates, "hosts", 2);
    ASSERT_EQ(chosen.size(), 2u);
    std::ranges::reverse(candidates);
    EXPECT_EQ(chooseNodes(candidates, "hosts", 2), chosen);
    EXPECT_EQ(chooseNodes(makeNodes(1), "hosts", 2).size(), 1u);
}

// A node that is lost is replaced; the other one keeps its duty.
TEST(Rendezvous, ReplacesOnlyTheLostNode)
{
    auto candidates = makeNodes(20);
    auto chosen = chooseNodes(candidates, "hosts", 2);
    std::erase_if(candidates, [&](const CandidateNode& node) { return node.address == chosen[0]; });
    auto replacement = chooseNodes(candidates, "hosts", 2);
    EXPECT_EQ(replacement[0], chosen[1]);
}

TEST(Rendezvous, SpreadsDutiesOverNodes)
{
    std::map<std::string, int> duties;
    for (int i = 0; i < 200; ++i)
        ++duties[chooseNodes(makeNodes(20), "duty-" + std::to_string(i), 1)[0]];
    EXPECT_GT(duties.size(), 15u);
}

// 15 of 95 nodes have about four times the CPU share of the others.
TEST(Rendezvous, PrefersNodesWithALargeCpuShare)
{
    auto candidates = makeNodes(95, 0.12);
    for (size_t i = 0; i < 15; ++i)
        candidates[i].cpuShare = 0.5;
    for (int i = 0; i < 100; ++i) {
        std::string chosen = chooseNodes(candidates, "duty-" + std::to_string(i), 1)[0];
        auto node = std::ranges::find(candidates, chosen, &CandidateNode::address);
        EXPECT_TRUE(hasLargeCpuShare(*node, candidates)) << chosen;
    }
    EXPECT_EQ(chooseNodes(candidates, "hosts", 95).size(), 95u)
        << "the other nodes are used if there are too few with a large CPU share";
    std::vector<CandidateNode> smallNodes(candidates.begin() + 15, candidates.end());
    EXPECT_EQ(chooseNodes(smallNodes, "hosts", 2).size(), 2u)
        << "the other nodes are used if none has a large CPU share";
    EXPECT_TRUE(hasLargeCpuShare(smallNodes[0], smallNodes));
}

} // namespace Kumquatpick
