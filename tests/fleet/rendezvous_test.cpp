#include "fleet/rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace Kumquatpick {

namespace {

    std::vector<std::string> nodes(int count)
    {
        std::vector<std::string> result;
        result.reserve(static_cast<size_t>(count));
        for (int i = 0; i < count; ++i)
            result.push_back("10.1.0." + std::to_string(i) + ":8229");
        return result;
    }

}

TEST(Rendezvous, AllNodesChooseTheSame)
{
    auto seen = nodes(20);
    auto chosen = chooseNodes(seen, "hosts", 2);
    ASSERT_EQ(chosen.size(), 2u);
    std::ranges::reverse(seen);
    EXPECT_EQ(chooseNodes(seen, "hosts", 2), chosen);
    EXPECT_EQ(chooseNodes(nodes(1), "hosts", 2).size(), 1u);
}

// A node that falls silent is replaced; the other keeps its duty.
TEST(Rendezvous, ChangesOnlyWhatIsLost)
{
    auto seen = nodes(20);
    auto chosen = chooseNodes(seen, "hosts", 2);
    std::erase(seen, chosen[0]);
    auto next = chooseNodes(seen, "hosts", 2);
    EXPECT_EQ(next[0], chosen[1]);
}

TEST(Rendezvous, SpreadsDutiesOverNodes)
{
    std::map<std::string, int> duties;
    for (int i = 0; i < 200; ++i)
        ++duties[chooseNodes(nodes(20), "duty-" + std::to_string(i), 1)[0]];
    EXPECT_GT(duties.size(), 15u);
}

} // namespace Kumquatpick
