#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/gatewayprocess.h"
#include "platform/platformfakes.h"
#include "process/clientcrowd.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <iostream>
#include <list>

// Crowds of clients that keep to no limit, against a node as a process. Whatever they send, the process goes on, stays
// within the memory and the descriptors of its host, and answers a caller while the crowd's connections are still open.

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t kibibyte = 1024;
    constexpr size_t mebibyte = 1024 * kibibyte;
    constexpr size_t maxHeaderBytes = 16 * kibibyte;
    constexpr size_t maxBodyBytes = 4 * mebibyte;
    // Of the smallest host that runs a node.
    constexpr uint64_t hostMegabytes = 160;
    constexpr uint64_t hostBytes = hostMegabytes * 1'000'000;
    constexpr size_t hostDescriptors = 768;
    constexpr auto answerWithin = 30s;

    std::string headOf(std::string_view framing, std::string_view path = "/again/x")
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\nKey: key-1\r\n"
                           "Deadline-Ms: 4000\r\n{}\r\n\r\n",
            path, framing);
    }

    const std::string chunked = "Transfer-Encoding: chunked";

    std::string lengthOf(size_t bytes) { return fmt::format("Content-Length: {}", bytes); }

    std::string chunkOf(size_t bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x')); }

    // A body in chunks that stops just short of its end.
    CrowdScript unfinishedChunks(size_t bodyBytes, size_t chunkBytes)
    {
        return { headOf(chunked), chunkOf(chunkBytes), bodyBytes / chunkBytes - 1, "1\r\n" };
    }

    // The same in chunks of a few bytes, many of which are sent at once.
    CrowdScript unfinishedSmallChunks(size_t bodyBytes, size_t chunkBytes)
    {
        constexpr size_t chunksAtOnce = 4096;
        std::string chunks;
        for (size_t i = 0; i < chunksAtOnce; ++i)
            chunks += chunkOf(chunkBytes);
        return { headOf(chunked), std::move(chunks), bodyBytes / (chunksAtOnce * chunkBytes) - 1, "1\r\n" };
    }

    CrowdScript unfinishedBody(size_t bodyBytes)
    {
        constexpr size_t pieceBytes = 64 * kibibyte;
        return { headOf(lengthOf(bodyBytes)), std::string(pieceBytes, 'x'), bodyBytes / pieceBytes - 1,
            std::string(pieceBytes - 1, 'x') };
    }

    CrowdScript trailersWithoutEnd(size_t bytes)
    {
        const std::string line = "Trailer-Field: " + std::string(kibibyte, 't') + "\r\n";
        return { headOf(chunked) + chunkOf(kibibyte) + "0\r\n", line, bytes / line.size(), {} };
    }

    class CrowdAtNode : public testing::Test {
    protected:
        CrowdAtNode()
        {
            auto config = exampleConfig(1, { "key-1" });
            config["limits"] = { { "maxHeaderBytes", maxHeaderBytes }, { "maxBodyBytes", maxBodyBytes },
                { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15'000 } };
            m_store.put("keyed.op", "config", config.dump());
            for (int i = 0; i < servers; ++i)
                m_hosts.emplace_back(
                    m_store, FakeHost::Options { fmt::format("plain-{}", i), "desk", "domain-1", true });
            m_node = std::make_unique<GatewayProcess>(GatewayProcess::Options { .name = "node-1",
                .store = m_store.address(),
                .logFiles = m_folder.file("node-1"),
                .variables = { fmt::format("KUMQUATPICK_MEMORY_MB={}", hostMegabytes),
                    fmt::format("KUMQUATPICK_MAX_DESCRIPTORS={}", hostDescriptors) } });
        }

        void SetUp() override
        {
            ASSERT_TRUE(eventually([&] { return answersCaller(); }, answerWithin));
        }

        // Lets the crowd send all that it has, and checks what has to hold then.
        void withstand(uint16_t port, std::vector<CrowdScript> scripts)
        {
            ClientCrowd crowd(port, std::move(scripts));
            crowd.sendAll([&] { watchNode(); });
            awaitSteadyMemory();
            for (FakeHost& host : m_hosts)
                host.answerDelay = 0;
            EXPECT_TRUE(eventually([&] { return answersCaller(); }, answerWithin)) << "a caller gets an answer";
            EXPECT_TRUE(eventually([&] { return answersEntries(); }, answerWithin)) << "so does one without addresses";
            EXPECT_TRUE(eventually([&] { return isReady(); }, answerWithin)) << "and the platform";
            watchNode();
            std::cout << fmt::format("peak memory {} MB, {} descriptors, {} connections left\n",
                m_peakBytes / 1'000'000, m_mostDescriptors, crowd.openConnections());
            EXPECT_TRUE(m_node->process().isRunning());
            EXPECT_LT(m_peakBytes, hostBytes);
            EXPECT_LT(m_mostDescriptors, hostDescriptors);
        }
        void withstand(uint16_t port, size_t clients, const CrowdScript& script)
        {
            withstand(port, std::vector<CrowdScript>(clients, script));
        }
        void withstandCallers(size_t clients, const CrowdScript& script)
        {
            withstand(m_node->callers().port, clients, script);
        }

        void watchNode()
        {
            m_peakBytes = std::max(m_peakBytes, m_node->process().peakResidentBytes());
            m_mostDescriptors = std::max(m_mostDescriptors, m_node->process().openDescriptors());
        }

        // The node may still be reading what the crowd has sent.
        void awaitSteadyMemory()
        {
            constexpr auto steadyFor = 1s;
            uint64_t peak = 0;
            auto until = std::chrono::steady_clock::now() + answerWithin;
            while (m_peakBytes > peak && std::chrono::steady_clock::now() < until) {
                peak = m_peakBytes;
                std::this_thread::sleep_for(steadyFor);
                watchNode();
            }
        }

        bool answersCaller()
        {
            httplib::Client client("127.0.0.1", m_node->callers().port);
            client.set_read_timeout(10s);
            auto answer = client.Post("/again/x",
                { { "Host", "desk.example" }, { "Attempt-Id", fmt::format("call-{}", ++m_calls) }, { "Key", "key-1" },
                    { "Deadline-Ms", "4000" } },
                "hello", "text/plain");
            return answer && answer->status == 200 && answer->body.starts_with("hello by ");
        }

        bool answersEntries()
        {
            httplib::Client client("127.0.0.1", m_node->entries().port);
            auto answer = client.Get("/resolve?name=desk.example");
            return answer && answer->status == 200;
        }

        bool isReady()
        {
            httplib::Client client("127.0.0.1", m_node->readiness().port);
            auto answer = client.Get("/readyz");
            return answer && answer->status == 200;
        }

        static constexpr int servers = 10;

        TemporaryFolder m_folder;
        FakeStore m_store;
        std::list<FakeHost> m_hosts;
        std::unique_ptr<GatewayProcess> m_node;
        uint64_t m_peakBytes = 0;
        size_t m_mostDescriptors = 0;
        int m_calls = 0;
    };

}

TEST_F(CrowdAtNode, SendsTrailersWithoutEnd) { withstandCallers(8, trailersWithoutEnd(48 * mebibyte)); }

TEST_F(CrowdAtNode, SendsChunkExtensionsWithoutEnd)
{
    withstandCallers(8, { headOf(chunked) + "5;x=", std::string(kibibyte, 'e'), 48 * kibibyte, {} });
}

TEST_F(CrowdAtNode, SendsBodiesFarOverTheLimit)
{
    const std::string piece(64 * kibibyte, 'x');
    std::vector<CrowdScript> scripts;
    for (int i = 0; i < 8; ++i) {
        scripts.push_back({ headOf(lengthOf(1024 * mebibyte)), piece, 512, {} });
        scripts.push_back({ headOf(chunked) + "40000000\r\n", piece, 512, {} });
        scripts.push_back({ headOf(chunked), chunkOf(64 * kibibyte), 512, {} });
    }
    withstand(m_node->callers().port, std::move(scripts));
}

TEST_F(CrowdAtNode, StopsBodiesOfAnnouncedLengthShort) { withstandCallers(60, unfinishedBody(maxBodyBytes)); }

TEST_F(CrowdAtNode, StopsBodiesInLargeChunksShort)
{
    withstandCallers(60, unfinishedChunks(maxBodyBytes, 256 * kibibyte));
}

TEST_F(CrowdAtNode, StopsBodiesInSmallChunksShort) { withstandCallers(60, unfinishedSmallChunks(maxBodyBytes, 8)); }

// Each connection sends a whole head, of which each field is small, and no body.
TEST_F(CrowdAtNode, SendsHeadsOfManyFields)
{
    std::string fields;
    while (fields.size() + 512 < maxHeaderBytes)
        fields += "a:\r\n";
    withstandCallers(650, { headOf(fields + lengthOf(kibibyte)), {}, 0, {} });
}

TEST_F(CrowdAtNode, StaysIdle) { withstandCallers(900, {}); }

TEST_F(CrowdAtNode, StopsHeadsShort)
{
    withstandCallers(900, { "POST /again/x HTTP/1.1\r\n", "Field: value\r\n", 200, {} });
}

// The server returns each body.
TEST_F(CrowdAtNode, LeavesAnswersUnread)
{
    withstandCallers(50, { headOf(lengthOf(maxBodyBytes)), std::string(64 * kibibyte, 'x'), 64, {} });
}

TEST_F(CrowdAtNode, WaitsForSlowServersWithWholeBodies)
{
    for (FakeHost& host : m_hosts)
        host.answerDelay = 3000;
    withstandCallers(50, { headOf(lengthOf(maxBodyBytes)), std::string(64 * kibibyte, 'x'), 64, {} });
}

// Unread answers fill the connection, so that a refusal cannot be written any more.
TEST_F(CrowdAtNode, LeavesRefusalsUnread)
{
    const std::string unknownPath = headOf(lengthOf(0), "/nowhere/x");
    std::string requests;
    for (int i = 0; i < 200; ++i)
        requests += unknownPath;
    withstandCallers(900, { {}, requests, 40, {} });
}

TEST_F(CrowdAtNode, AsksForModelsThatDoNotExist)
{
    constexpr size_t clients = 12;
    constexpr size_t requests = 1200;
    std::vector<CrowdScript> scripts;
    for (size_t client = 0; client < clients; ++client) {
        std::string text;
        for (size_t i = 0; i < requests; ++i)
            text += headOf(fmt::format("Model-Id: {}-{}-{}\r\nToken-Count: 10,20\r\nContent-Length: 0", client, i,
                               std::string(maxHeaderBytes - kibibyte, 'm')),
                "/story/x");
        scripts.push_back({ std::move(text), {}, 0, {} });
    }
    withstand(m_node->callers().port, std::move(scripts));
}

TEST_F(CrowdAtNode, SendsBodiesToWhereAddressesAreAsked)
{
    withstand(m_node->entries().port, 24, unfinishedBody(12 * mebibyte));
}

TEST_F(CrowdAtNode, SendsTrailersToWhereAddressesAreAsked)
{
    withstand(m_node->entries().port, 8, trailersWithoutEnd(48 * mebibyte));
}

TEST_F(CrowdAtNode, StaysIdleWhereAddressesAreAsked) { withstand(m_node->entries().port, 900, {}); }

TEST_F(CrowdAtNode, SendsBodiesToTheReadinessCheck)
{
    withstand(m_node->readiness().port, 24, unfinishedBody(12 * mebibyte));
}

TEST_F(CrowdAtNode, StaysIdleAtTheReadinessCheck) { withstand(m_node->readiness().port, 900, {}); }

TEST_F(CrowdAtNode, SendsBodiesToThePeerAddress) { withstand(m_node->peers().port, 24, unfinishedBody(12 * mebibyte)); }

TEST_F(CrowdAtNode, SendsTrailersToThePeerAddress)
{
    withstand(m_node->peers().port, 8, trailersWithoutEnd(48 * mebibyte));
}

TEST_F(CrowdAtNode, StaysIdleAtThePeerAddress) { withstand(m_node->peers().port, 900, {}); }

} // namespace Kumquatpick
