#include "base/brokenanswers.h"
#include "base/strictanswer.h"
#include "caller/rawcaller.h"
#include "platform/answeringserver.h"
#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/fakepeer.h"
#include "platform/linkedcodec.h"
#include "platform/testnode.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

// Answers with broken heads to calls that a node without links to the servers passes on to another node.

namespace Kumquatpick {

namespace {

    constexpr const char* identity = "Attempt-Id: {id}\r\nResponse-Seal: seal\r\n";
    constexpr int maxAttempts = 2; // Of the example's routes.

    // Statuses that promise that the request has not run.
    bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    // Servers that all answer alike.
    class AnsweringServers {
    public:
        explicit AnsweringServers(size_t count)
        {
            for (size_t i = 0; i < count; ++i)
                m_servers.push_back(
                    std::make_unique<AnsweringServer>("Attempt-Id", plainAnswerOf(identity).text(), false));
        }

        const Address& address(size_t index) const { return m_servers[index]->address(); }

        void setAnswer(const std::string& answer)
        {
            for (auto& server : m_servers)
                server->setAnswer(answer, false);
        }

        int requests(const std::string& id)
        {
            int total = 0;
            for (auto& server : m_servers)
                total += server->requests(id);
            return total;
        }

    private:
        std::vector<std::unique_ptr<AnsweringServer>> m_servers;
    };

    class BrokenRelays : public testing::Test {
    protected:
        static constexpr size_t servers = 3; // One that fails alone casts no doubt on a node's links.

        BrokenRelays()
            : m_servers(servers)
        {
            auto config = exampleConfig(1, { "key-1" });
            config["routes"].push_back(exampleRoute("/flow/", "streaming", "desk"));
            m_store.put("keyed.op", "config", config.dump());
            for (size_t i = 0; i < servers; ++i) {
                nlohmann::json entry { { "service", "desk" }, { "address", m_servers.address(i).toString() },
                    { "zone", "z1" }, { "version", "v1" }, { "capacity", 80 }, { "state", "ready" }, { "sequence", 1 },
                    { "warmupLeftMs", 0 } };
                m_store.put("keyed.servers", fmt::format("desk-{}", i), entry.dump());
            }
        }

        StrictAnswer call(const char* path, const std::string& id)
        {
            RawCaller caller(m_cutNode->callers().port);
            caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\nKey: key-1\r\n"
                                    "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
                path, id));
            return readStrictly(caller.readUntil(isStrictlyOver));
        }

        std::string nextId() { return fmt::format("call-{}", ++m_calls); }

        // Cuts the node off from its servers and waits until another one answers its calls.
        void cutOff(AnsweringServers& answering)
        {
            m_links.setMode(FakeLinks::Mode::Reset);
            ASSERT_TRUE(eventually([&] {
                std::string id = nextId();
                return call("/again/x", id).status == 200 && answering.requests(id) == 1;
            }));
        }

        void check(AnsweringServers& answering, const BrokenAnswer& broken, const char* path)
        {
            SCOPED_TRACE(fmt::format("{} {}", path, broken.what));
            bool mayRepeat = std::string_view(path) != "/once/x";
            answering.setAnswer(broken.bytes);
            bool isReached = eventually([&] {
                std::string id = nextId();
                StrictAnswer answer = call(path, id);
                EXPECT_EQ(answer.problem, "");
                EXPECT_FALSE(answer.fields.contains("response-seal"));
                EXPECT_GE(answer.status, 500);
                int runs = answering.requests(id);
                EXPECT_LE(runs, mayRepeat ? maxAttempts : 1);
                bool hasRun = runs > 0;
                EXPECT_FALSE(hasRun && promisesNotRun(answer.status)) << answer.status;
                return hasRun;
            });
            EXPECT_TRUE(isReached);
        }

        // One kind of each so many in the lists of kinds.
        void checkKinds(AnsweringServers& answering, size_t step)
        {
            for (const char* path : { "/once/x", "/again/x", "/flow/x" }) {
                SoundAnswer sound
                    = std::string_view(path) == "/flow/x" ? streamAnswerOf(identity) : plainAnswerOf(identity);
                for (const auto& kinds : { answersWithBrokenStatus(sound), answersWithBrokenFields(sound),
                         answersWithBrokenLength(identity), answersThatEndInTheirHead(sound) }) {
                    for (size_t i = 0; i < kinds.size(); i += step)
                        check(answering, kinds[i], path);
                }
            }
        }

        FakeStore m_store;
        FakeLinks m_links;
        LinkedCodec m_codec { m_links };
        AnsweringServers m_servers;
        std::unique_ptr<TestNode> m_cutNode;
        int m_calls = 0;
    };

}

// A server answers the node that reaches it with a broken head.
TEST_F(BrokenRelays, OfServersReachNoCaller)
{
    TestNode reaching("node-0", m_store.address());
    m_cutNode = std::make_unique<TestNode>("node-1", m_store.address(), reaching.peers().toString(), &m_codec);
    ASSERT_TRUE(eventually([&] { return call("/again/x", nextId()).status == 200; }));
    cutOff(m_servers);
    checkKinds(m_servers, 40); // The node that reaches them avoids them for a while after each.
}

// The other node itself answers with a broken head.
TEST_F(BrokenRelays, OfNodesReachNoCaller)
{
    AnsweringServers otherNode(1);
    FakePeer peer(otherNode.address(0));
    m_cutNode = std::make_unique<TestNode>("node-1", m_store.address(), peer.address().toString(), &m_codec);
    ASSERT_TRUE(eventually([&] { return call("/again/x", nextId()).status == 200; }));
    cutOff(otherNode);
    checkKinds(otherNode, 2);
}

} // namespace Kumquatpick
