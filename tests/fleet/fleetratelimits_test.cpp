#include "fleet/fleetmembers.h"
#include "fleet/nodesimulation.h"
#include "fleet/ratelimits.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* server = "server-1";
    constexpr double perSecond = 12;
    constexpr int nodes = 7;
    // Of a server's limit, the platform counts four seconds: 1.5 times the rate, and five.
    constexpr auto window = 4s;
    constexpr size_t allowed = 77;

    // Nodes that all have as many calls for one server with a limit as they may send.
    class LimitedServer {
    public:
        LimitedServer()
        {
            for (int i = 0; i < nodes; ++i) {
                m_members.emplace_back(fleet.now, true);
                m_limits.emplace_back();
            }
        }

        void run(Milliseconds duration)
        {
            for (MonotonicTime end = fleet.now + duration; fleet.now < end;) {
                fleet.run(step);
                if (m_steps++ % stepsPerShare == 0)
                    assignShares();
                for (RateLimits& limits : m_limits) {
                    if (!limits.admits(server, fleet.now))
                        continue;
                    limits.recordSend(server, fleet.now);
                    m_arrivals.push_back(fleet.now);
                }
            }
        }

        size_t mostInWindow() const
        {
            size_t most = 0;
            for (MonotonicTime begin : m_arrivals) {
                auto count = std::ranges::count_if(
                    m_arrivals, [&](MonotonicTime at) { return at >= begin && at < begin + window; });
                most = std::max(most, static_cast<size_t>(count));
            }
            return most;
        }
        size_t arrivalsSince(MonotonicTime since) const
        {
            return static_cast<size_t>(std::ranges::count_if(m_arrivals, [&](auto at) { return at >= since; }));
        }

        NodeSimulation fleet { nodes };

    private:
        static constexpr Milliseconds step { 20 };
        static constexpr int stepsPerShare = 50;

        void assignShares()
        {
            for (int i = 0; i < nodes; ++i) {
                auto index = static_cast<size_t>(i);
                m_members[index].update(fleet.exchange(i), fleet.now);
                m_limits[index].applyAnswer(server, perSecond, fleet.now, fleet.now);
                m_limits[index].assignShares(m_members[index].nodes(), fleet.addressOf(i), fleet.now);
            }
        }

        std::vector<FleetMembers> m_members;
        std::vector<RateLimits> m_limits;
        std::vector<MonotonicTime> m_arrivals;
        int m_steps = 0;
    };

}

// Guards against nodes that are cut off, count themselves alone and take a server's whole rate each.
TEST(FleetRateLimits, AreKeptWhileNodesAreCutOff)
{
    LimitedServer world;
    world.run(8s);
    for (int node : { 0, 1, 2 })
        world.fleet.cut(node, 15s);
    world.run(20s);
    EXPECT_LE(world.mostInWindow(), allowed);
    EXPECT_GE(static_cast<double>(world.arrivalsSince(world.fleet.now - 10s)), 0.8 * perSecond * 10);
}

// Guards against the two sides of a split that divide the rate each among themselves.
TEST(FleetRateLimits, AreKeptWhileTheFleetIsSplit)
{
    LimitedServer world;
    world.run(8s);
    world.fleet.split([](int node) { return node < 3; }, 20s);
    world.run(20s);
    EXPECT_LE(world.mostInWindow(), allowed);
}

} // namespace Kumquatpick
