#include "process/clientcrowd.h"
#include "process/deployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <thread>

// The same crowds as against a node of the platform, against the daemon's address for callers.

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t kibibyte = 1024;
    constexpr size_t mebibyte = 1024 * kibibyte;
    constexpr size_t bodyBytes = 4 * mebibyte;
    constexpr uint64_t hostMegabytes = 160;
    constexpr uint64_t hostBytes = hostMegabytes * 1'000'000;
    constexpr size_t hostDescriptors = 768;

    std::string headOf(const std::string& framing)
    {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: desk.example\r\nIdempotency-Key: crowd\r\n" + framing
            + "\r\n\r\n";
    }

    const std::string chunked = "Transfer-Encoding: chunked";
    const std::string piece(64 * kibibyte, 'x');

    class CrowdAtDaemon : public testing::Test {
    protected:
        CrowdAtDaemon()
            : m_fleet(settings())
        {
        }

        static FleetSettings settings()
        {
            FleetSettings result;
            result.nodes = 1;
            result.plainHosts = 2;
            result.nodeFlags = { "--caller-threads", "64", "--max-body-bytes", std::to_string(bodyBytes) };
            result.nodeVariables = { fmt::format("KUMQUATPICK_MEMORY_MB={}", hostMegabytes),
                fmt::format("KUMQUATPICK_MAX_DESCRIPTORS={}", hostDescriptors) };
            return result;
        }

        void SetUp() override { ASSERT_TRUE(bringUp(m_fleet, {})); }

        void withstand(size_t clients, const CrowdScript& script)
        {
            ClientCrowd crowd(m_fleet.address("n1").port, clients, script);
            crowd.sendAll([&] { watchDaemon(); });
            for (uint64_t peak = 0; m_peakBytes > peak;) {
                peak = m_peakBytes;
                std::this_thread::sleep_for(1s);
                watchDaemon();
            }
            EXPECT_TRUE(waitUntil([&] { return answersChat(m_fleet, "n1"); }, processLimit)) << "a caller is answered";
            watchDaemon();
            std::cout << fmt::format("peak memory {} MB, {} descriptors, {} connections left\n",
                m_peakBytes / 1'000'000, m_mostDescriptors, crowd.openConnections());
            EXPECT_TRUE(m_fleet.process("n1").isRunning());
            EXPECT_LT(m_peakBytes, hostBytes);
            EXPECT_LT(m_mostDescriptors, hostDescriptors);
        }

        void watchDaemon()
        {
            m_peakBytes = std::max(m_peakBytes, m_fleet.process("n1").peakResidentBytes());
            m_mostDescriptors = std::max(m_mostDescriptors, m_fleet.process("n1").openDescriptors());
        }

        Fleet m_fleet;
        uint64_t m_peakBytes = 0;
        size_t m_mostDescriptors = 0;
    };

}

TEST_F(CrowdAtDaemon, SendsTrailersWithoutEnd)
{
    withstand(8,
        { headOf(chunked) + "1\r\nx\r\n0\r\n", "Trailer-Field: " + std::string(kibibyte, 't') + "\r\n", 48 * kibibyte,
            {} });
}

TEST_F(CrowdAtDaemon, SendsChunkExtensionsWithoutEnd)
{
    withstand(8, { headOf(chunked) + "5;x=", std::string(kibibyte, 'e'), 48 * kibibyte, {} });
}

TEST_F(CrowdAtDaemon, SendsBodiesFarOverTheLimit)
{
    withstand(24, { headOf(fmt::format("Content-Length: {}", 1024 * mebibyte)), piece, 512, {} });
}

TEST_F(CrowdAtDaemon, StopsBodiesOfAnnouncedLengthShort)
{
    withstand(60, { headOf(fmt::format("Content-Length: {}", bodyBytes)), piece, bodyBytes / piece.size() - 1, {} });
}

TEST_F(CrowdAtDaemon, StopsBodiesInLargeChunksShort)
{
    withstand(60, { headOf(chunked), "10000\r\n" + piece + "\r\n", bodyBytes / piece.size() - 1, "1\r\n" });
}

TEST_F(CrowdAtDaemon, StaysIdle) { withstand(900, {}); }

} // namespace Kumquatpick
