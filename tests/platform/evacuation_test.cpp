#include "platform/callerthread.h"
#include "platform/eventually.h"
#include "platform/exampleconfig.h"
#include "platform/platformfakes.h"
#include "platform/testnode.h"

#include <future>
#include <gtest/gtest.h>
#include <list>

namespace Kumquatpick {

namespace {

    // A store and backend servers of both kinds in two zones.
    class EvacuationTest : public testing::Test {
    protected:
        static constexpr const char* zone = "z2"; // The one that is evacuated.

        void SetUp() override
        {
            m_store.put("keyed.op", "config", exampleConfig(1, { "key-1" }).dump());
            for (int i = 0; i < 2; ++i) {
                for (const char* each : { "z1", zone }) {
                    std::string name = std::to_string(i) + each;
                    m_hosts[each].push_back(std::make_unique<FakeHost>(
                        m_store, FakeHost::Options { "model-" + name, "writers", each, false, 24, each }));
                    m_hosts[each].push_back(std::make_unique<FakeHost>(
                        m_store, FakeHost::Options { "plain-" + name, "desk", each, true, 24, each }));
                }
            }
            start("node-1");
            ASSERT_TRUE(eventually([&] { return openHeads() == 2; }));
            ASSERT_TRUE(eventually([&] { return runs(zone) > 0 || !serves(m_nodes.front(), 4); }));
        }

        TestNode& start(const std::string& name, const std::optional<Address>& store = {})
        {
            std::string seeds = m_nodes.empty() ? std::string() : m_nodes.front().peers().toString();
            return m_nodes.emplace_back(name, store.value_or(m_store.address()), seeds);
        }

        size_t openHeads() const
        {
            size_t open = 0;
            for (const auto& [each, hosts] : m_hosts) {
                for (const auto& host : hosts)
                    open += host->isOpenHead() ? 1 : 0;
            }
            return open;
        }
        int runs(const std::string& of) const
        {
            int total = 0;
            for (const auto& host : m_hosts.at(of))
                total += host->runs;
            return total;
        }
        httplib::Headers headers()
        {
            return { { "Host", "desk.example" }, { "Attempt-Id", "call-" + std::to_string(++m_calls) },
                { "Key", "key-1" }, { "Deadline-Ms", "4000" }, { "Model-Id", "pair" }, { "Token-Count", "10,20" } };
        }
        httplib::Result call(const TestNode& node, const std::string& path, const std::string& body = "hello")
        {
            httplib::Client client("127.0.0.1", node.callers().port);
            return client.Post(path, headers(), body, "text/plain");
        }
        // Whether the node answers all of some calls to both services.
        bool serves(const TestNode& node, int calls = 12)
        {
            int failed = 0;
            for (int i = 0; i < calls; ++i) {
                // Streams take longer than the others.
                const char* path = i % 4 == 3 ? "/story/x" : (i % 4 == 2 ? "/once/x" : "/again/x");
                auto answer = call(node, path);
                failed += answer && answer->status == 200 ? 0 : 1;
            }
            return failed == 0;
        }
        bool usesZone(const TestNode& node, const std::string& of)
        {
            int before = runs(of);
            serves(node, 8);
            return runs(of) > before;
        }
        void putRecord(const std::string& of, const std::string& value)
        {
            m_store.put("keyed.op", "evacuate/" + of, value);
        }

        FakeStore m_store;
        std::map<std::string, std::vector<std::unique_ptr<FakeHost>>> m_hosts; // By zone.
        std::list<TestNode> m_nodes;
        std::atomic<int> m_calls { 0 };
    };

}

// Guards against an evacuation that is read by nobody: requests went to the zone as before.
TEST_F(EvacuationTest, NothingNewGoesToTheZoneUntilTheRecordIsDeleted)
{
    TestNode& second = start("node-2");
    ASSERT_TRUE(eventually([&] { return usesZone(m_nodes.front(), zone) && usesZone(second, zone); }));
    putRecord(zone, "{}");
    ASSERT_TRUE(eventually(
        [&] { return !usesZone(m_nodes.front(), zone) && !usesZone(second, zone); }, GatewaySettings().evacuateWithin));
    m_store.put("keyed.op", "config", exampleConfig(2, { "key-1" }).dump());
    int before = runs(zone);
    EXPECT_TRUE(serves(m_nodes.front()));
    EXPECT_TRUE(serves(second));
    EXPECT_EQ(runs(zone), before);
    putRecord(zone, "");
    EXPECT_TRUE(eventually([&] { return usesZone(m_nodes.front(), zone) && usesZone(second, zone); }));
}

TEST_F(EvacuationTest, WhatRunsInTheZoneFinishes)
{
    ASSERT_TRUE(eventually([&] { return serves(m_nodes.front(), 4); }));
    constexpr size_t streamCount = 6;
    std::vector<std::future<std::string>> streams;
    streams.reserve(streamCount);
    for (size_t i = 0; i < streamCount; ++i) {
        streams.push_back(std::async(std::launch::async, [this] {
            auto answer = call(m_nodes.front(), "/story/x", std::string(FakeHost::pausePrefix) + "150");
            return answer && answer->status == 200 ? answer->body : std::string("no answer");
        }));
    }
    std::this_thread::sleep_for(Milliseconds(300));
    putRecord(zone, "{}");
    for (auto& stream : streams)
        EXPECT_EQ(stream.get(), FakeHost::completeStream());
    for (const auto& host : m_hosts[zone])
        EXPECT_EQ(host->abortedStreams + host->droppedStreams, 0) << host->id();
}

// Guards against a node that starts during an evacuation and sends to the zone: it lists the newest records, or learns
// of it from another node while the store refuses its calls.
TEST_F(EvacuationTest, HoldsAtNodesThatStartInTheMiddle)
{
    putRecord(zone, "{}");
    ASSERT_TRUE(eventually([&] { return !usesZone(m_nodes.front(), zone); }));
    int before = runs(zone);
    TestNode& listing = start("node-2");
    FakeStoreEndpoint door(m_store);
    door.refusesCalls = true;
    TestNode& informed = start("node-3", door.address());
    EXPECT_TRUE(eventually([&] { return serves(listing, 4) && serves(informed, 4); }));
    EXPECT_EQ(runs(zone), before);
    putRecord(zone, "");
    EXPECT_TRUE(eventually([&] { return usesZone(listing, zone) && usesZone(informed, zone); }))
        << "it also learns that the zone is taken back";
}

// Guards against a request that nobody can read, or for a zone that does not exist, that changes what is in use.
TEST_F(EvacuationTest, IgnoresWhatItCannotRead)
{
    putRecord("z1", "[1,2");
    putRecord("z1", "\xff\xfe");
    putRecord("nowhere", "{}");
    m_store.put("keyed.op", "evacuate/", "{}");
    putRecord(zone, "{}");
    ASSERT_TRUE(eventually([&] { return !usesZone(m_nodes.front(), zone); }));
    EXPECT_TRUE(usesZone(m_nodes.front(), "z1"));
    TestNode& listing = start("node-2");
    EXPECT_TRUE(eventually([&] { return serves(listing, 4); }));
    EXPECT_TRUE(usesZone(listing, "z1"));
    putRecord(zone, "[]");
    ASSERT_TRUE(eventually([&] { return m_store.isFullyRead("keyed.op"); }));
    EXPECT_FALSE(usesZone(m_nodes.front(), zone)) << "a record that cannot be read does not end the evacuation";
}

} // namespace Kumquatpick
