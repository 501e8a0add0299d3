#include "coordination/slotkey.h"
#include "coordination/slotmember.h"
#include "coordination/slotservice.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <malloc.h>
#include <numeric>

// Prints the figures in docs/AT-MOST-ONCE.md. Checks only values that do not depend on the machine.

namespace Kumquatpick {

namespace {

    const WallTime now { Milliseconds(1'800'000'000'000) };

    NodeInfo nodeInfo(size_t index)
    {
        NodeInfo node;
        node.id = { fmt::format("entry-{:03}", index), 1000 + index };
        node.zone = fmt::format("zone{}", index % 3);
        node.peerAddress = { fmt::format("10.0.{}.{}", index / 250, index % 250 + 1), 7200 };
        node.callerAddress = { node.peerAddress.ip, 7100 };
        return node;
    }

    std::string callerKey(size_t index) { return fmt::format("3f2b8c1e-77aa-4d0e-9c55-{:012x}", index); }

    // An owner and a witness whose messages to each other are delivered immediately.
    class MemberPair {
    public:
        MemberPair()
            : m_members { SlotMember(0, nodeInfo(0), {}), SlotMember(0, nodeInfo(1), {}) }
        {
            SlotAssignment assignment;
            assignment.epoch = 1;
            assignment.owner = nodeInfo(0);
            assignment.witness = nodeInfo(1);
            assignment.startsEmpty = true;
            for (SlotMember& member : m_members)
                member.assign(assignment);
        }

        PermitAnswer permit(size_t index)
        {
            PermitRequest request { 0, 1, { callerKey(index), 1, now }, { 7, index }, nodeInfo(2) };
            PermitAnswer answer = PermitAnswer::Undecided;
            SlotActions actions;
            m_members[0].handle(request, now, actions);
            while (!actions.empty()) {
                auto send = std::get<SlotSend>(std::move(actions.back()));
                actions.pop_back();
                if (auto* reply = std::get_if<PermitReply>(&send.message))
                    answer = reply->answer;
                else if (auto* record = std::get_if<RecordRequest>(&send.message))
                    m_members[1].handle(*record, now, actions);
                else
                    m_members[0].handle(std::get<RecordReply>(send.message), now, actions);
            }
            return answer;
        }

        const Journal& journal() const { return m_members[0].journal(); }

    private:
        std::array<SlotMember, 2> m_members;
    };

    // Services that share one slot table, without threads and without waiting.
    class Cluster {
    public:
        explicit Cluster(size_t size)
        {
            auto dropMessage = [](const NodeInfo&, const SlotMessage&) {};
            auto propose = [this](const SlotsProposal& proposal) { m_table.apply(proposal); };
            for (size_t i = 0; i < size; i++) {
                m_live.push_back(nodeInfo(i));
                m_services.push_back(
                    std::make_unique<SlotService>(nodeInfo(i), SlotService::Settings {}, dropMessage, propose));
            }
            tick(0);
            m_time += Milliseconds(3'000);
            tick(0);
            std::vector<uint32_t> slots(slotCount);
            std::iota(slots.begin(), slots.end(), 0U);
            for (auto& service : m_services)
                service->applyAssignments(m_table, slots);
        }

        // Removes the last node from the live nodes. The services no longer see assignments, as if the log were down.
        NodeId removeLastNode()
        {
            NodeId lost = m_live.back().id;
            m_live.pop_back();
            return lost;
        }

        void tick(size_t index) { m_services[index]->tick(m_time, now, m_live, {}); }
        std::string mintKey(size_t index) { return m_services[index]->mintKey(now); }
        size_t liveCount() const { return m_live.size(); }
        void advanceTime(Milliseconds time) { m_time += time; }
        const SlotTable& table() const { return m_table; }

        bool isRefused(std::string_view key, const NodeId& lost) const
        {
            const SlotAssignment& assignment = m_table.assignment(slotOf(key));
            return assignment.owner.id == lost || assignment.witness.id == lost;
        }

    private:
        SlotTable m_table;
        std::vector<NodeInfo> m_live;
        std::vector<std::unique_ptr<SlotService>> m_services;
        MonotonicTime m_time { std::chrono::hours(1) };
    };

} // namespace

// Measures the throughput of permits and the memory per journal entry.
TEST(SlotMeasure, PermitsAndBytes)
{
    constexpr size_t permits = 200'000;
    auto members = std::make_unique<MemberPair>();
    size_t before = mallinfo2().uordblks;
    MonotonicTime start = monotonicNow();
    for (size_t i = 0; i < permits; i++)
        ASSERT_EQ(members->permit(i), PermitAnswer::Granted);
    double seconds = toSeconds(monotonicNow() - start);
    double bytes = static_cast<double>(mallinfo2().uordblks - before) / (2.0 * permits);
    ASSERT_EQ(members->journal().size(), permits);
    fmt::print("{:.0f} permits per second and core, including the witness's work; {:.0f} bytes per journal entry "
               "including the hash table\n",
        permits / seconds, bytes);
    EXPECT_LT(bytes, 300);
}

// Keys that hash to slots of a dead node are refused while the log is down; minted keys must avoid those slots.
TEST(SlotMeasure, ShareRefusedWithOneOfSevenDeadAndTheLogDown)
{
    constexpr size_t keys = 100'000;
    Cluster cluster(7);
    NodeId lost = cluster.removeLastNode();
    size_t refusedHashed = 0;
    for (size_t i = 0; i < keys; i++)
        refusedHashed += cluster.isRefused(callerKey(i), lost);
    size_t refusedMinted = 0;
    for (size_t node = 0; node < cluster.liveCount(); node++) {
        cluster.tick(node);
        for (size_t i = 0; i < keys / cluster.liveCount(); i++) {
            std::string key = cluster.mintKey(node);
            ASSERT_FALSE(key.empty());
            refusedMinted += cluster.isRefused(key, lost);
        }
    }
    double share = static_cast<double>(refusedHashed) / keys;
    fmt::print("refused: {:.1f}% of hashed keys, {} of {} minted keys\n", 100 * share, refusedMinted, keys);
    EXPECT_NEAR(share, 2.0 / 7.0, 0.02);
    EXPECT_EQ(refusedMinted, 0U);
}

// Measures a tick in a large deployment, and checks that slots are spread evenly over its nodes.
TEST(SlotMeasure, TickAt320Nodes)
{
    Cluster cluster(320);
    std::map<NodeId, int> loads;
    for (uint32_t slot = 0; slot < slotCount; slot++) {
        loads[cluster.table().assignment(slot).owner.id]++;
        loads[cluster.table().assignment(slot).witness.id]++;
    }
    auto byLoad = [](const auto& left, const auto& right) { return left.second < right.second; };
    auto [least, most] = std::minmax_element(loads.begin(), loads.end(), byLoad);
    constexpr int ticks = 200;
    MonotonicTime start = monotonicNow();
    for (int i = 0; i < ticks; i++) {
        cluster.advanceTime(Milliseconds(100));
        cluster.tick(1);
    }
    fmt::print("tick at 320 nodes: {:.0f} us; {} to {} slots per node\n",
        1e6 * toSeconds(monotonicNow() - start) / ticks, least->second, most->second);
    EXPECT_EQ(loads.size(), 320U);
    EXPECT_LE(most->second - least->second, 2);
}

} // namespace Kumquatpick
