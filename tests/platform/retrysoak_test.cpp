#include "platform/callerthread.h"
#include "platform/exampleconfig.h"
#include "platform/gatewayprocess.h"
#include "platform/platformfakes.h"
#include "platform/retryrules.h"

#include "base/random.h"
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <list>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;
    using Clock = std::chrono::steady_clock;

    int fromEnvironment(const char* name, int defaultValue)
    {
        const char* text = std::getenv(name);
        return text ? std::atoi(text) : defaultValue;
    }

    constexpr RetryLimits limits { 0.2, 20, std::chrono::seconds(3) };

    // Nodes as processes, servers that fail many requests, and callers that use their connections until their node is
    // gone. Nodes are stopped, killed, paused and added, in series and overlapping, drawn from a seed.
    class RetrySoak {
    public:
        RetrySoak(uint64_t seed, size_t nodes)
            : m_random(seed)
        {
            m_store.put("keyed.op", "config", exampleConfig(1, { "key-1" }).dump());
            for (int i = 0; i < hosts; ++i)
                m_hosts.push_back(std::make_unique<FakeHost>(
                    m_store, FakeHost::Options { fmt::format("plain-{}", i), "desk", "domain-1", true, 64 }));
            for (size_t i = 0; i < nodes; ++i)
                addNode();
            std::this_thread::sleep_for(settleTime);
        }

        void run(std::chrono::seconds duration)
        {
            for (auto end = Clock::now() + duration; Clock::now() < end;) {
                step();
                watchNodes(Milliseconds(100 + randomBelow(600)));
            }
            for (Node& node : m_nodes)
                resume(node);
            for (Node& node : m_nodes)
                node.callers.clear();
        }

        std::vector<std::string> violations()
        {
            std::vector<FakeHost::Arrival> arrivals;
            for (auto& host : m_hosts)
                std::ranges::move(host->arrivals(), std::back_inserter(arrivals));
            m_arrivals = arrivals.size();
            return retryViolations(arrivals, limits);
        }
        size_t arrivals() const { return m_arrivals; }
        const std::string& events() const { return m_events; }

    private:
        static constexpr int hosts = 6;
        static constexpr size_t callersPerNode = 2;
        static constexpr size_t maxAddedNodes = 3;
        static constexpr auto settleTime = 3s;
        static constexpr Milliseconds callPause { 10 };

        struct Node {
            explicit Node(const GatewayProcess::Options& options)
                : process(options)
            {
            }
            GatewayProcess process;
            std::list<CallerThread> callers;
            std::optional<Clock::time_point> pausedUntil;
        };

        int randomBelow(int bound) { return static_cast<int>(m_random() % static_cast<uint64_t>(bound)); }
        Node& randomNode() { return *std::next(m_nodes.begin(), randomBelow(static_cast<int>(m_nodes.size()))); }
        void logEvent(std::string_view event)
        {
            m_events += fmt::format("{:.1f} s: {}\n", toSeconds(Clock::now() - m_startTime), event);
        }

        void addNode()
        {
            std::string name = fmt::format("node-{}", m_nodes.size());
            std::string seeds = m_nodes.empty() ? std::string() : m_nodes.front().process.peers().toString();
            Node& node = m_nodes.emplace_back(GatewayProcess::Options { name, m_store.address(), seeds, 2s,
                m_folder.file(name), static_cast<int>(limits.allowance), limits.window });
            httplib::Headers headers { { "Host", "desk.example" }, { "Key", "key-1" }, { "Deadline-Ms", "2000" } };
            for (size_t i = 0; i < callersPerNode; ++i)
                node.callers.emplace_back(node.process.callers(), fmt::format("/again/{}", i), headers, callPause);
        }

        void step()
        {
            switch (randomBelow(8)) {
            case 0:
            case 1:
            case 2:
                return failHosts();
            case 3:
                return stopNode();
            case 4:
            case 5:
                return killNodes();
            case 6:
                return pauseNode();
            default:
                return addNodeLater();
            }
        }

        void failHosts()
        {
            int failing = randomBelow(2) ? hosts : randomBelow(hosts);
            for (int i = 0; i < hosts; ++i)
                m_hosts[static_cast<size_t>(i)]->failsRequests = i < failing;
            logEvent(fmt::format("{} servers fail", failing));
        }

        void stopNode()
        {
            GatewayProcess& process = randomNode().process;
            if (process.stoppedAt() || process.hasEnded())
                return;
            process.stop();
            logEvent(process.options().name + " stops");
        }

        void killNodes()
        {
            int count = randomBelow(2) ? 1 : 1 + randomBelow(static_cast<int>(m_nodes.size()));
            for (int i = 0; i < count; ++i) {
                GatewayProcess& process = randomNode().process;
                process.process().kill();
                logEvent(process.options().name + " is killed");
            }
        }

        void pauseNode()
        {
            Node& node = randomNode();
            if (node.pausedUntil || node.process.hasEnded())
                return;
            node.process.send(SIGSTOP);
            node.pausedUntil = Clock::now() + Milliseconds(300 + randomBelow(3000));
            logEvent(node.process.options().name + " is paused");
        }

        static void resume(Node& node)
        {
            if (std::exchange(node.pausedUntil, std::nullopt) && !node.process.hasEnded())
                node.process.send(SIGCONT);
        }

        void addNodeLater()
        {
            if (m_added++ >= maxAddedNodes)
                return;
            addNode();
            logEvent("a node is added");
        }

        void watchNodes(Milliseconds duration)
        {
            for (auto end = Clock::now() + duration; Clock::now() < end; std::this_thread::sleep_for(10ms)) {
                for (Node& node : m_nodes) {
                    if (node.pausedUntil && Clock::now() >= *node.pausedUntil)
                        resume(node);
                    if (!node.process.hasEnded())
                        continue;
                    node.pausedUntil.reset();
                    node.process.start();
                }
            }
        }

        Random m_random;
        TemporaryFolder m_folder;
        FakeStore m_store;
        std::vector<std::unique_ptr<FakeHost>> m_hosts;
        std::list<Node> m_nodes;
        size_t m_added = 0;
        size_t m_arrivals = 0;
        std::string m_events; // One line per event.
        Clock::time_point m_startTime = Clock::now();
    };

}

// Guards against processes that send more retries together than the fleet may, while they come, go and stand still.
TEST(RetrySoak, NodesStayWithinTheLimitTogether)
{
    int seed = fromEnvironment("KUMQUATPICK_SOAK_SEED", 1);
    auto nodes = static_cast<size_t>(fromEnvironment("KUMQUATPICK_SOAK_NODES", 5));
    RetrySoak soak(static_cast<uint64_t>(seed), nodes);
    soak.run(std::chrono::seconds(fromEnvironment("KUMQUATPICK_SOAK_SECONDS", 15)));
    for (const std::string& line : soak.violations())
        ADD_FAILURE() << "seed " << seed << ": " << line;
    EXPECT_GT(soak.arrivals(), 100u) << "seed " << seed;
    GTEST_LOG_(INFO) << soak.arrivals() << " arrivals\n" << soak.events();
}

} // namespace Kumquatpick
