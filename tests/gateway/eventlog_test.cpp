#include "gateway/eventlog.h"

#include <array>
#include <chrono>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    class EventLogTest : public testing::Test {
    protected:
        EventLogTest()
        {
            EXPECT_EQ(::pipe(m_pipe.data()), 0);
            // Only the read end is non-blocking: the write end blocks, as standard output does.
            ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        }
        ~EventLogTest() override
        {
            ::close(m_pipe[0]);
            ::close(m_pipe[1]);
        }

        std::vector<nlohmann::json> readLines(EventLog& log)
        {
            std::string text;
            std::array<char, 65536> bytes {};
            for (bool isDry = false; !isDry;) {
                ssize_t count = ::read(m_pipe[0], bytes.data(), bytes.size());
                isDry = count <= 0;
                if (!isDry)
                    text.append(bytes.data(), static_cast<size_t>(count));
                log.flush();
            }
            std::vector<nlohmann::json> lines;
            std::istringstream stream(text);
            for (std::string line; std::getline(stream, line);)
                lines.push_back(nlohmann::json::parse(line));
            return lines;
        }

        std::array<int, 2> m_pipe {};
    };

}

TEST_F(EventLogTest, WritesOneLinePerEvent)
{
    EventLog log(m_pipe[1], "node-1");
    log.write("request", { { "id", "a1" } });
    log.write("request", { { "id", "not \xff text" } });
    log.flush();
    auto lines = readLines(log);
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0]["id"], "a1");
    EXPECT_EQ(lines[0]["node"], "node-1");
    EXPECT_EQ(lines[0]["event"], "request");
}

// If the reader of the log stops, writing must not block requests, and the number of dropped lines must be logged
// later.
TEST_F(EventLogTest, NeverBlocksOnReaderAndCountsDroppedLines)
{
    constexpr int events = 20'000;
    EventLog log(m_pipe[1], "node-1");
    auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < events; ++i)
        log.write("request", { { "id", i }, { "reason", "a text of some length, as refusals have" } });
    auto took = std::chrono::steady_clock::now() - begun;
    EXPECT_LT(took, std::chrono::seconds(2)) << "at most 0.1 ms per line";

    size_t written = readLines(log).size();
    log.write("request", { { "id", events } });
    log.flush();
    auto rest = readLines(log);
    ASSERT_GE(rest.size(), 2u);
    EXPECT_EQ(rest[0]["event"], "lines_dropped");
    EXPECT_EQ(rest[0]["lines"].get<size_t>() + written, static_cast<size_t>(events));
    EXPECT_EQ(rest.back()["id"], events);
}

TEST_F(EventLogTest, LimitsRoutineLinesPerSecond)
{
    EventLog log(m_pipe[1], "node-1");
    for (int i = 0; i < 1000; ++i)
        log.writeRoutine("request", { { "id", i } });
    log.flush();
    size_t written = readLines(log).size();
    EXPECT_LT(written, 200u);
    EXPECT_GT(written, 0u);
}

} // namespace Kumquatpick
