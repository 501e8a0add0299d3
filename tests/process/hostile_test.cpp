#include "caller/rawcaller.h"
#include "process/deployment.h"

#include <array>
#include <iostream>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr int callers = 4;
    constexpr int requestsEach = 2'500;

    void sendGarbage(uint16_t port, uint64_t seed)
    {
        Random random(seed);
        for (int i = 0; i < requestsEach; ++i) {
            std::string text = randomRequest(random);
            RawCaller caller(port);
            caller.send(text);
            caller.endWriting();
            std::string answer = caller.readAll();
            EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 ")) << text << "\n" << answer;
        }
    }

    void sendGarbageFromAll(uint16_t port, uint64_t seed)
    {
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (uint64_t caller = 0; caller < callers; ++caller)
            threads.emplace_back([=] { sendGarbage(port, seed + caller); });
        for (auto& thread : threads)
            thread.join();
    }

}

// 20,000 in two halves: what the first half made the node hold for good is no growth, what the second adds is.
TEST(HostileCallers, LeaveANodeServingInBoundedMemory)
{
    constexpr uint64_t mebibyte = 1024 * 1024;
    constexpr uint64_t mostGrowth = 32 * mebibyte;
    Fleet fleet({ .nodes = 2, .plainHosts = 2 });
    ASSERT_TRUE(bringUp(fleet, {}));
    uint16_t port = fleet.address("n1").port;
    uint64_t atStart = fleet.process("n1").residentBytes();
    sendGarbageFromAll(port, 1);
    uint64_t halfWay = fleet.process("n1").residentBytes();
    sendGarbageFromAll(port, 1 + callers);
    uint64_t atEnd = fleet.process("n1").residentBytes();
    std::cout << "resident MiB before, after 10000, after 20000 hostile requests: " << atStart / mebibyte << ' '
              << halfWay / mebibyte << ' ' << atEnd / mebibyte << '\n';
    EXPECT_LT(atEnd, halfWay + mostGrowth);
    EXPECT_TRUE(answersChat(fleet, "n1"));
}

} // namespace Kumquatpick
