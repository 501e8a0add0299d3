#include "platform/callerthread.h"
#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/noticerules.h"
#include "platform/platformfakes.h"
#include "platform/testnode.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <list>
#include <numeric>
#include <thread>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    // Three nodes, and servers that requests with some bodies end. A server that ended is back after a while.
    class CrashingRequests : public testing::Test {
    protected:
        CrashingRequests() { m_store.put("keyed.op", "config", exampleConfig(1, { "key-1" }).dump()); }

        void addHosts(int count, bool isPlain)
        {
            for (int i = 0; i < count; ++i)
                m_hosts.push_back(std::make_unique<FakeHost>(m_store,
                    FakeHost::Options { fmt::format("{}-{}", isPlain ? "plain" : "model", i),
                        isPlain ? "desk" : "writers", "domain-1", isPlain }));
        }

        void startNodes(int count)
        {
            std::string seeds;
            for (int i = 0; i < count; ++i) {
                m_nodes.push_back(
                    std::make_unique<TestNode>(fmt::format("node-{}", m_nodes.size()), m_store.address(), seeds));
                seeds = m_nodes.front()->peers().toString();
            }
        }

        // Whether the node knows all others and serves a harmless request.
        bool isServing(const TestNode& node, const std::string& path)
        {
            httplib::Client directory("127.0.0.1", node.entries().port);
            auto known = directory.Get("/resolve?name=desk.example");
            if (!known || known->status != 200
                || nlohmann::json::parse(known->body)["addresses"].size() != m_nodes.size())
                return false;
            httplib::Client client("127.0.0.1", node.callers().port);
            auto all = headers();
            all.emplace("Attempt-Id", fmt::format("harmless-{}", ++m_sent));
            auto answer = client.Post(path, all, "hello", "text/plain");
            return answer && answer->status == 200;
        }

        bool areAllServing(const std::string& path)
        {
            return std::ranges::all_of(m_nodes, [&](const auto& node) { return isServing(*node, path); });
        }

        size_t openHeads()
        {
            return static_cast<size_t>(std::ranges::count_if(m_hosts, [](auto& host) { return host->isOpenHead(); }));
        }

        static httplib::Headers headers()
        {
            return { { "Host", "desk.example" }, { "Key", "key-1" }, { "Deadline-Ms", "4000" }, { "Model-Id", "pair" },
                { "Token-Count", "10,20" } };
        }

        // Sends requests with this body to all nodes in turn.
        void send(const std::string& path, const std::string& body, std::chrono::seconds duration)
        {
            auto end = std::chrono::steady_clock::now() + duration;
            for (size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
                httplib::Client client("127.0.0.1", m_nodes[i % m_nodes.size()]->callers().port);
                auto all = headers();
                all.emplace("Attempt-Id", fmt::format("crashing-{}", ++m_sent));
                auto answer = client.Post(path, all, body, "text/plain");
                ++m_statuses[answer ? answer->status : 0];
                std::this_thread::sleep_for(60ms);
            }
        }

        // Requests with the crashing part, no two alike, at all nodes in turn.
        void sendCrashingPart(std::chrono::seconds duration)
        {
            auto end = std::chrono::steady_clock::now() + duration;
            for (size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
                httplib::Client client("127.0.0.1", m_nodes[i % m_nodes.size()]->callers().port);
                auto all = headers();
                all.emplace("Attempt-Id", fmt::format("part-{}", i));
                all.emplace("Prompt-Prefix", fmt::format("cafe01:40,{}:20,{:x}:9", FakeHost::crashingPart, i));
                auto answer = client.Post("/story/x", all, fmt::format("story {}", i), "text/plain");
                ++m_statuses[answer ? answer->status : 0];
                std::this_thread::sleep_for(60ms);
            }
        }

        std::vector<std::string> violations()
        {
            std::vector<FakeHost::CrashingArrival> arrivals;
            for (auto& host : m_hosts) {
                auto some = host->crashingArrivals();
                arrivals.insert(arrivals.end(), some.begin(), some.end());
            }
            return crashViolations(std::move(arrivals));
        }

        FakeStore m_store;
        std::vector<std::unique_ptr<FakeHost>> m_hosts;
        std::vector<std::unique_ptr<TestNode>> m_nodes;
        int m_sent = 0;
        std::map<int, int> m_statuses; // Number of answers by status; 0: none.
    };

    class CrashingRequestsOfASmallService : public CrashingRequests,
                                            public testing::WithParamInterface<FakeHost::CrashMode> { };

    std::string crashModeName(const testing::TestParamInfo<FakeHost::CrashMode>& mode)
    {
        constexpr const char* names[] = { "Refused", "Silent", "BackAtOnce", "BackAsAnother" };
        return names[static_cast<size_t>(mode.param)];
    }

}

// Guards against a request that ends each server it runs on, and whose caller sends it again to any node.
TEST_F(CrashingRequests, AreStoppedOnAllNodes)
{
    addHosts(8, true);
    startNodes(3);
    ASSERT_TRUE(eventually([&] { return areAllServing("/again/x"); }));
    std::list<CallerThread> harmless;
    for (const auto& node : m_nodes)
        harmless.emplace_back(node->callers(), "/once/x", headers(), Milliseconds(30));
    send("/again/x", "crash", 7s);
    for (const std::string& violation : violations())
        ADD_FAILURE() << violation;
    int sent = 0;
    int served = 0;
    for (const CallerThread& caller : harmless) {
        sent += caller.sent();
        served += caller.served();
    }
    EXPECT_GT(served, sent * 9 / 10) << "requests with other contents are served";
}

// Guards against a request that goes on ending the servers of a small service in ways that do not look like an end: the
// connection stays open without a word, or the next process listens at once, or has another id.
TEST_P(CrashingRequestsOfASmallService, AreStoppedHoweverServersEnd)
{
    addHosts(3, true);
    for (auto& host : m_hosts)
        host->crashMode = GetParam();
    startNodes(3);
    ASSERT_TRUE(eventually([&] { return areAllServing("/again/x"); }));
    {
        std::list<CallerThread> callers; // Several, as a silent server keeps its caller waiting.
        for (const auto& node : m_nodes) {
            callers.emplace_back(node->callers(), "/once/x", headers(), Milliseconds(30));
            for (int i = 0; i < 3; ++i)
                callers.emplace_back(node->callers(), "/again/x", headers(), Milliseconds(60), "crash");
        }
        std::this_thread::sleep_for(GetParam() == FakeHost::CrashMode::Silent ? 14s : 8s);
    }
    for (const std::string& violation : violations())
        ADD_FAILURE() << violation;
    EXPECT_TRUE(eventually([&] { return areAllServing("/again/x"); })) << "requests with other contents are served";
}

INSTANTIATE_TEST_SUITE_P(CrashModes, CrashingRequestsOfASmallService,
    testing::Values(FakeHost::CrashMode::Refused, FakeHost::CrashMode::Silent, FakeHost::CrashMode::BackAtOnce,
        FakeHost::CrashMode::BackAsAnother),
    crashModeName);

// The same for a stream, which breaks after its head was sent.
TEST_F(CrashingRequests, AreStoppedAfterTheirStreamsBroke)
{
    constexpr int hosts = 16;
    addHosts(hosts, false);
    startNodes(2);
    ASSERT_TRUE(eventually([&] { return openHeads() == hosts / 2 && areAllServing("/story/x"); }));
    send("/story/x", "crash", 8s);
    EXPECT_GT(m_statuses[502] + m_statuses[0], 0) << "some attempts ran";
    for (const std::string& violation : violations())
        ADD_FAILURE() << violation;
}

// Guards against a stream that has neither a length nor chunks, and whose server ends between two events, being taken
// for a whole answer: it would clear the request that ended the server.
TEST_F(CrashingRequests, AreStoppedThoughTheirAnswersLookWhole)
{
    constexpr int hosts = 16;
    addHosts(hosts, false);
    startNodes(2);
    ASSERT_TRUE(eventually([&] { return openHeads() == hosts / 2 && areAllServing("/story/x"); }));
    for (auto& host : m_hosts)
        host->marksNoEnds = true;
    send("/story/x", "crash", 8s);
    for (const std::string& violation : violations())
        ADD_FAILURE() << violation;
    EXPECT_EQ(m_statuses[200], 0) << "a broken answer was passed on as whole";
}

class CrashingPromptPart : public CrashingRequests, public testing::WithParamInterface<FakeHost::CrashMode> { };

// Guards against requests that are all different, but share a part of their prompts which ends each server that answers
// them, and against sound requests of the same caller being refused for the parts that they share with these.
TEST_P(CrashingPromptPart, IsStoppedAndOthersAreServed)
{
    constexpr int hosts = 20;
    addHosts(hosts, false);
    for (auto& host : m_hosts)
        host->crashMode = GetParam();
    startNodes(3);
    ASSERT_TRUE(eventually([&] { return openHeads() == hosts / 2 && areAllServing("/story/x"); }));
    auto soundHeaders = headers();
    soundHeaders.emplace("Prompt-Prefix", "cafe01:40,beef02:12,77:9");
    std::list<CallerThread> sound;
    for (const auto& node : m_nodes)
        sound.emplace_back(node->callers(), "/story/x", soundHeaders, Milliseconds(100));
    auto total = [&](int (CallerThread::*count)() const) {
        return std::accumulate(sound.begin(), sound.end(), 0,
            [&](int sum, const CallerThread& caller) { return sum + (caller.*count)(); });
    };
    std::thread crashing([&] { sendCrashingPart(GetParam() == FakeHost::CrashMode::Silent ? 18s : 13s); });
    // The bound on refusals holds from six seconds after the fifth end on.
    std::this_thread::sleep_for(GetParam() == FakeHost::CrashMode::Silent ? 12s : 9s);
    int sent = total(&CallerThread::sent);
    int served = total(&CallerThread::served);
    crashing.join();
    sent = total(&CallerThread::sent) - sent;
    served = total(&CallerThread::served) - served;
    for (const std::string& violation : violations())
        ADD_FAILURE() << violation;
    EXPECT_GT(sent, 20);
    EXPECT_GE(2 * served, sent) << "sound requests with the same first part";
}

INSTANTIATE_TEST_SUITE_P(CrashModes, CrashingPromptPart,
    testing::Values(FakeHost::CrashMode::Refused, FakeHost::CrashMode::Silent, FakeHost::CrashMode::BackAtOnce,
        FakeHost::CrashMode::BackAsAnother),
    crashModeName);

} // namespace Kumquatpick
