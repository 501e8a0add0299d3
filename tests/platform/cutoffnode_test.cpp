#include "platform/callerthread.h"
#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/linkedcodec.h"
#include "platform/platformfakes.h"
#include "platform/testnode.h"

#include <gtest/gtest.h>
#include <list>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    // Two nodes that reach all backend servers, and one that can be partitioned from them. Callers, the store and the
    // other nodes reach it all the while.
    class OneCutOffNode : public testing::Test {
    protected:
        static constexpr int modelHosts = 12;

        OneCutOffNode()
        {
            m_store.put("keyed.op", "config", exampleConfig(1, { "key-1" }).dump());
            for (int i = 0; i < modelHosts + 3; ++i) {
                bool isPlain = i >= modelHosts;
                m_hosts.push_back(std::make_unique<FakeHost>(m_store,
                    FakeHost::Options {
                        "host-" + std::to_string(i), isPlain ? "desk" : "writers", "domain-1", isPlain }));
            }
            m_nodes.push_back(std::make_unique<TestNode>("node-0", m_store.address()));
            std::string seed = m_nodes.front()->peers().toString();
            m_nodes.push_back(std::make_unique<TestNode>("node-1", m_store.address(), seed));
            m_nodes.push_back(std::make_unique<TestNode>("node-2", m_store.address(), seed, &m_codec));
        }

        static httplib::Headers headers()
        {
            return { { "Host", "desk.example" }, { "Key", "key-1" }, { "Deadline-Ms", "4000" }, { "Model-Id", "pair" },
                { "Token-Count", "10,20" } };
        }

        bool isServing(const TestNode& node)
        {
            for (const char* path : { "/again/x", "/story/x" }) {
                httplib::Client client("127.0.0.1", node.callers().port);
                auto all = headers();
                all.emplace("Attempt-Id", "ready-" + std::to_string(++m_calls));
                auto answer = client.Post(path, all, "hello", "text/plain");
                if (!answer || answer->status != 200)
                    return false;
            }
            return true;
        }

        bool areAllServing()
        {
            return std::ranges::all_of(m_nodes, [&](const auto& node) { return isServing(*node); });
        }

        // Callers of each kind of request at one node.
        struct Callers {
            explicit Callers(const TestNode& node)
            {
                for (const char* path : { "/again/x", "/once/x", "/story/x" }) {
                    threads.emplace_back(node.callers(), path, headers(), Milliseconds(20));
                    threads.emplace_back(node.callers(), path, headers(), Milliseconds(20));
                }
            }
            int sent() const { return sum(&CallerThread::sent); }
            int served() const { return sum(&CallerThread::served); }

            std::list<CallerThread> threads;

        private:
            int sum(int (CallerThread::*count)() const) const
            {
                int total = 0;
                for (const CallerThread& thread : threads)
                    total += (thread.*count)();
                return total;
            }
        };

        int joins()
        {
            int total = 0;
            for (auto& host : m_hosts)
                total += host->joins;
            return total;
        }

        FakeLinks m_links;
        LinkedCodec m_codec { m_links };
        FakeStore m_store;
        std::vector<std::unique_ptr<FakeHost>> m_hosts;
        std::vector<std::unique_ptr<TestNode>> m_nodes;
        int m_calls = 0;
    };

    class CutOffNode : public OneCutOffNode, public testing::WithParamInterface<FakeLinks::Mode> { };

    std::string modeName(const testing::TestParamInfo<FakeLinks::Mode>& mode)
    {
        constexpr const char* names[] = { "Open", "Hanging", "Reset", "RefusingNew" };
        return names[static_cast<size_t>(mode.param)];
    }

}

// Guards against callers of a node that is partitioned from all backend servers being served far worse than the others,
// and against such a node's view of the servers being taken for theirs.
TEST_P(CutOffNode, ServesItsCallersAsTheOthersDo)
{
    ASSERT_TRUE(eventually([&] { return areAllServing(); }));
    int joinsBefore = joins();
    Callers atCutNode(*m_nodes[2]);
    Callers atOther(*m_nodes[0]);
    ASSERT_TRUE(eventually([&] { return atCutNode.served() > 30 && atOther.served() > 30; }));
    m_links.setMode(GetParam());
    std::this_thread::sleep_for(500ms);
    int servedAtOther = atOther.served();
    std::this_thread::sleep_for(2500ms);
    // The bound holds from three seconds after the cut on.
    int sent = atCutNode.sent();
    int served = atCutNode.served();
    int otherSent = atOther.sent();
    int otherServed = atOther.served();
    std::this_thread::sleep_for(3s);
    sent = atCutNode.sent() - sent;
    served = atCutNode.served() - served;
    int duringBound = atOther.sent() - otherSent;
    int servedDuringBound = atOther.served() - otherServed;
    EXPECT_GT(sent, 60);
    EXPECT_GE(served + 12, sent) << "at the node that is cut off; the last calls have no answer yet";
    EXPECT_GE(servedDuringBound + 12, duringBound) << "at another node";
    EXPECT_GT(otherServed, servedAtOther) << "at another node in the first seconds";
    EXPECT_EQ(joins(), joinsBefore) << "no replica was formed anew";
    m_links.setMode(FakeLinks::Mode::Open);
    EXPECT_TRUE(eventually([&] { return isServing(*m_nodes[2]); })) << "after the cut";
}

// Guards against a call that two nodes try, each as often as its route allows.
TEST_F(OneCutOffNode, RunsNoCallOnMoreServersThanItsRouteAllows)
{
    constexpr int maxAttempts = 2; // Of the example's routes.
    ASSERT_TRUE(eventually([&] { return areAllServing(); }));
    m_links.setMode(FakeLinks::Mode::Reset);
    ASSERT_TRUE(eventually([&] { return isServing(*m_nodes[2]); }));
    for (auto& host : m_hosts)
        host->failsRequests = true;
    httplib::Client client("127.0.0.1", m_nodes[2]->callers().port);
    auto all = headers();
    all.emplace("Attempt-Id", "failing");
    auto answer = client.Post("/again/x", all, "hello", "text/plain");
    EXPECT_TRUE(answer && answer->status == 500);
    int runs = 0;
    for (auto& host : m_hosts)
        runs += host->runsById()["failing"];
    EXPECT_GE(runs, 1);
    EXPECT_LE(runs, maxAttempts);
}

INSTANTIATE_TEST_SUITE_P(CutModes, CutOffNode,
    testing::Values(FakeLinks::Mode::Hanging, FakeLinks::Mode::Reset, FakeLinks::Mode::RefusingNew), modeName);

} // namespace Kumquatpick
