#include "caller/entries.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    rc::Gen<std::string> zone() { return rc::gen::element<std::string>("salt-lake", "howrah", "siliguri"); }

    std::vector<EntryNode> randomNodes()
    {
        auto count = *rc::gen::inRange<uint16_t>(0, 12);
        std::vector<EntryNode> nodes;
        for (uint16_t i = 0; i < count; ++i) {
            auto streams = *rc::gen::inRange<uint32_t>(0, 1000);
            nodes.push_back(
                { { "10.0.0.1", static_cast<uint16_t>(7000 + i) }, *zone(), streams, *rc::gen::arbitrary<bool>() });
        }
        return nodes;
    }

}

RC_GTEST_PROP(Entries, ListEachLiveNodeOnceOwnZoneFirst, (const std::string& caller))
{
    auto nodes = randomNodes();
    auto ownZone = *zone();
    auto choices = chooseEntries(nodes, ownZone, caller);
    std::map<uint16_t, const EntryNode*> expectedNodes; // Nodes by port, which is unique.
    for (const auto& node : nodes) {
        if (!node.stopping)
            expectedNodes[node.address.port] = &node;
    }
    RC_ASSERT(choices.size() == expectedNodes.size());
    bool leftOwnZone = false;
    for (const auto& choice : choices) {
        RC_ASSERT(expectedNodes.erase(choice.address.port) == 1U);
        RC_ASSERT(choice.weight > 0 && choice.weight <= 1);
        leftOwnZone |= choice.zone != ownZone;
        RC_ASSERT(!(leftOwnZone && choice.zone == ownZone));
    }
    auto again = chooseEntries(nodes, ownZone, caller);
    RC_ASSERT(std::ranges::equal(choices, again, {}, &EntryChoice::address, &EntryChoice::address));
}

// Stopping a node must not change the order of the others, so that only the callers that had it first move.
RC_GTEST_PROP(Entries, OthersKeepTheirOrderWhenANodeStops, (const std::string& caller))
{
    auto nodes = randomNodes();
    for (auto& node : nodes) {
        node.zone = "howrah";
        node.streams = 0;
    }
    RC_PRE(!nodes.empty());
    auto before = chooseEntries(nodes, "howrah", caller);
    size_t stopped = *rc::gen::inRange<size_t>(0, nodes.size());
    nodes[stopped].stopping = true;
    auto after = chooseEntries(nodes, "howrah", caller);
    std::erase_if(before, [&](const auto& choice) { return choice.address == nodes[stopped].address; });
    RC_ASSERT(std::ranges::equal(before, after, {}, &EntryChoice::address, &EntryChoice::address));
}

TEST(Entries, SpreadCallersByWeight)
{
    std::vector<EntryNode> nodes {
        { { "10.0.0.1", 1 }, "howrah", 0 },
        { { "10.0.0.1", 2 }, "howrah", 0 },
        { { "10.0.0.1", 3 }, "howrah", 16 }, // Has half the weight of an idle node.
        { { "10.0.0.1", 4 }, "siliguri", 0 },
    };
    std::map<uint16_t, int> first;
    for (int caller = 0; caller < 5000; ++caller)
        ++first[chooseEntries(nodes, "howrah", "caller" + std::to_string(caller))[0].address.port];
    EXPECT_NEAR(first[1], 2000, 200);
    EXPECT_NEAR(first[2], 2000, 200);
    EXPECT_NEAR(first[3], 1000, 200);
    EXPECT_EQ(first[4], 0);
}

} // namespace Kumquatpick
