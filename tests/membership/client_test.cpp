#include "membership/client.h"

#include "membership/fakeserver.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    std::string backendJson(const std::string& host, const std::string& state = "live", const std::string& more = "")
    {
        return fmt::format(R"({{"host":"{}","role":"backend","address":"10.0.0.1:80","zone":"howrah","domain":"d1",)"
                           R"("incarnation":"00000000000000ff","state":"{}"{}}})",
            host, state, more);
    }

    const std::string entryJson
        = R"({"host":"e1","role":"entry","address":"10.0.0.7:7100","peer_address":"10.0.0.7:7200",)"
          R"("zone":"siliguri","incarnation":"0000000000000001","state":"leaving"})";

    std::string listJson(int revision, const std::string& hosts)
    {
        return fmt::format(R"({{"revision":{},"hosts":[{}]}})", revision, hosts);
    }

    // Collects the lists that a client passes to its listener.
    class ReceivedLists {
    public:
        MembershipClient::Listener listener()
        {
            return [this](const MembershipSnapshot& snapshot) {
                std::lock_guard lock(m_mutex);
                m_lists.push_back(snapshot);
                m_changed.notify_all();
            };
        }

        MembershipSnapshot waitForCount(size_t count)
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [&] { return m_lists.size() >= count; });
            EXPECT_EQ(m_lists.size(), count);
            return m_lists.back();
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<MembershipSnapshot> m_lists;
    };

    // Waits until the client has read a list that it requested after the given time.
    void waitForRead(const MembershipClient& client, MonotonicTime after)
    {
        while (!client.snapshot() || client.snapshot()->readAt <= after)
            std::this_thread::yield();
    }

}

TEST(Membership, ReadsBackendsAndEntries)
{
    auto text = listJson(4,
        backendJson("h1") + "," + backendJson("desk1", "draining", R"(,"service":"results-desk")") + "," + entryJson
            + R"(,{"host":"x","role":"printer"})");
    auto settled = settle([&] { return parseMembership(text, {}); });
    ASSERT_EQ(settled.index(), 0U);
    const auto& snapshot = std::get<0>(settled);
    EXPECT_EQ(snapshot.revision, 4U);
    ASSERT_EQ(snapshot.backends.size(), 2U);
    EXPECT_EQ(snapshot.backends[0], (ListedHost { "h1", { "10.0.0.1", 80 }, "howrah", "d1", "", 255, false }));
    EXPECT_EQ(snapshot.backends[1].service, "results-desk");
    EXPECT_TRUE(snapshot.backends[1].leaving);
    ASSERT_EQ(snapshot.entries.size(), 1U);
    EXPECT_EQ(
        snapshot.entries[0].node, (NodeInfo { { "e1", 1 }, "siliguri", { "10.0.0.7", 7200 }, { "10.0.0.7", 7100 } }));
    EXPECT_TRUE(snapshot.entries[0].leaving);
}

// If an unreadable host were skipped, it would count as dead and its accelerators would be given to another replica.
TEST(Membership, PartlyUnreadableListIsRejected)
{
    std::string noState = backendJson("h2");
    noState.replace(noState.find(R"("state")"), 7, R"("stat")");
    std::string badAddress = backendJson("h2");
    badAddress.replace(badAddress.find("10.0.0.1:80"), 11, "host.example");
    for (const std::string& text :
        { std::string("{"), listJson(1, backendJson("h1") + "," + noState),
            listJson(1, backendJson("h1") + "," + badAddress), listJson(1, backendJson("h1") + "," + backendJson("h1")),
            std::string(R"({"revision":1})"), listJson(1, backendJson("h1") + ",7") }) {
        auto settled = settle([&] { return parseMembership(text, {}); });
        ASSERT_EQ(settled.index(), 1U) << text;
        EXPECT_EQ(std::get<1>(settled).code, ErrorCode::Malformed);
    }
}

RC_GTEST_PROP(Membership, TruncatedListIsRejected, ())
{
    std::string text = listJson(1, backendJson("h1") + "," + entryJson);
    auto length = *rc::gen::inRange<size_t>(0, text.size());
    RC_ASSERT(settle([&] { return parseMembership(text.substr(0, length), {}); }).index() == 1U);
}

TEST(Membership, NotifiesOnlyOfChanges)
{
    FakeServer server;
    server.answer(200, listJson(1, backendJson("h1")));
    ReceivedLists received;
    TimerService timer;
    MembershipClient client(timer, { server.address(), 5ms, 10s }, received.listener());
    EXPECT_EQ(received.waitForCount(1).backends.size(), 1U);
    server.answer(200, listJson(2, backendJson("h1"))); // Same hosts, new revision: no notification.
    waitForRead(client, monotonicNow());
    server.answer(200, listJson(3, backendJson("h1", "leaving")));
    EXPECT_TRUE(received.waitForCount(2).backends.at(0).leaving);
    server.answer(200, listJson(4, ""));
    EXPECT_TRUE(received.waitForCount(3).backends.empty());
}

TEST(Membership, OutageKeepsTheLastListAndItsAge)
{
    FakeServer server;
    server.answer(200, listJson(1, backendJson("h1")));
    ReceivedLists received;
    TimerService timer;
    MembershipClient client(timer, { server.address(), 5ms, 10s }, received.listener());
    EXPECT_EQ(client.age(monotonicNow()).has_value(), client.snapshot() != nullptr);
    received.waitForCount(1);
    for (const std::string& bad : { std::string(""), listJson(9, backendJson("h1") + ",{}") }) {
        server.answer(200, bad);
        size_t reads = server.reads();
        while (server.reads() < reads + 3)
            std::this_thread::yield();
        ASSERT_TRUE(client.snapshot());
        EXPECT_EQ(client.snapshot()->revision, 1U);
    }
    server.stop();
    auto readAt = client.snapshot()->readAt;
    EXPECT_EQ(client.age(readAt + 5s), 5s);
    EXPECT_EQ(client.snapshot()->backends.size(), 1U);
}

} // namespace Kumquatpick
