#include "platform/callerthread.h"
#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/platformfakes.h"
#include "platform/testnode.h"

#include <gtest/gtest.h>
#include <list>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    httplib::Headers callHeaders()
    {
        return { { "Host", "desk.example" }, { "Attempt-Id", "call-1" }, { "Key", "key-1" },
            { "Deadline-Ms", "4000" } };
    }

    // The largest number of arrivals within a second between two times.
    size_t maxInASecond(std::span<const FakeHost::Arrival> arrivals, std::chrono::steady_clock::time_point from,
        std::chrono::steady_clock::time_point to)
    {
        size_t most = 0;
        for (size_t first = 0, last = 0; last < arrivals.size(); ++last) {
            if (arrivals[last].at < from || arrivals[last].at > to) {
                first = last + 1;
                continue;
            }
            while (arrivals[last].at - arrivals[first].at >= 1s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

}

// Guards against a server that says it is cold and gets as many requests as a warm one, from each node.
TEST(ColdServer, GetsNoMoreThanItTakesOfAllNodesTogether)
{
    constexpr double perSecond = 6;
    constexpr size_t allowed = 14; // 1.5 times the rate, plus five.
    FakeStore store;
    auto config = exampleConfig(1, { "key-1" });
    config["services"][1]["warmupPerS"] = perSecond;
    config["services"][1]["warmupS"] = 3;
    store.put("keyed.op", "config", config.dump());
    std::list<FakeHost> hosts;
    for (int i = 0; i < 3; ++i)
        hosts.emplace_back(store, FakeHost::Options { "plain-" + std::to_string(i), "desk", "domain-1", true });
    TestNode first("node-1", store.address());
    TestNode second("node-2", store.address(), first.peers().toString());
    std::list<CallerThread> callers;
    for (const Address& node : { first.callers(), second.callers() })
        callers.emplace_back(node, "/again/x", callHeaders(), Milliseconds(20));
    FakeHost& cold = hosts.front();
    ASSERT_TRUE(eventually([&] { return cold.runs > 20; })) << "all nodes use it";
    cold.warmupLeft = 60'000;
    cold.announce();
    auto announcedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(9s);
    auto end = std::chrono::steady_clock::now();
    EXPECT_LE(maxInASecond(cold.arrivals(), announcedAt + 1500ms, end), allowed);
    EXPECT_GE(maxInASecond(cold.arrivals(), announcedAt + 4s, end), 2u) << "it is worth having";
    cold.warmupLeft = 0;
    cold.announce();
    int before = cold.runs;
    EXPECT_TRUE(eventually([&] { return cold.runs > before + 60; })) << "warm, it takes its part";
}

} // namespace Kumquatpick
