#include "caller/testnode.h"
#include "coordination/slotservice.h"

#include <set>

namespace Kumquatpick {

namespace {

    // The slot services of two nodes. Messages arrive without delay, and the log accepts every proposal.
    class SlotPair {
    public:
        SlotPair()
        {
            for (uint64_t incarnation : { 1, 2 }) {
                NodeInfo info;
                info.id = { "node" + std::to_string(incarnation), incarnation };
                info.zone = incarnation == 1 ? "howrah" : "siliguri";
                m_infos.push_back(info);
            }
            for (size_t i = 0; i < 2; ++i) {
                m_services[i] = std::make_unique<SlotService>(
                    m_infos[i], settings(),
                    [this](const NodeInfo& to, const SlotMessage& message) { send(to, message); },
                    [this](const SlotsProposal& proposal) { m_proposals.push_back(proposal); });
            }
            // Ticks both until every slot is assigned.
            MonotonicTime now = monotonicNow();
            while (!allAssigned()) {
                now += Milliseconds(500);
                for (auto& service : m_services)
                    service->tick(now, wallNow(), m_infos, {});
                applyProposals();
            }
        }

        SlotService& operator[](size_t index) { return *m_services[index]; }
        const NodeInfo& info(size_t index) const { return m_infos[index]; }
        // All messages to or from this service are dropped from now on.
        void isolate(size_t index) { m_isIsolated[index] = true; }

    private:
        static SlotService::Settings settings()
        {
            SlotService::Settings settings;
            settings.maxWait = Milliseconds(50);
            return settings;
        }

        void send(const NodeInfo& to, const SlotMessage& message)
        {
            if (m_isIsolated[0] || m_isIsolated[1])
                return;
            m_services[to.id.incarnation - 1]->deliver(message);
        }

        bool allAssigned() const
        {
            for (uint32_t slot = 0; slot < slotCount; ++slot) {
                if (m_table.assignment(slot).epoch == 0)
                    return false;
            }
            return true;
        }

        void applyProposals()
        {
            auto proposals = std::move(m_proposals);
            m_proposals.clear();
            for (const auto& proposal : proposals) {
                auto changed = m_table.apply(proposal);
                for (auto& service : m_services)
                    service->applyAssignments(m_table, changed);
            }
        }

        std::vector<NodeInfo> m_infos;
        std::array<std::unique_ptr<SlotService>, 2> m_services;
        std::array<std::atomic<bool>, 2> m_isIsolated {};
        std::vector<SlotsProposal> m_proposals;
        SlotTable m_table;
    };

    // A node that requests its permits from a real slot service.
    class SlotNode : public TestNode {
    public:
        SlotNode(SlotPair& pair, size_t index, FakeBackend& engine)
            : TestNode(index + 1)
        {
            self = pair.info(index);
            permit = [&pair, index](const RequestKey& key, ArrivalId arrival, MonotonicTime deadline) {
                return pair[index].permit(key, arrival, deadline);
            };
            makeVoid = [&pair, index](const RequestKey& key, ArrivalId arrival, MonotonicTime deadline) {
                return pair[index].makeVoid(key, arrival, deadline);
            };
            start({ &engine });
        }
    };

}

TEST(Slots, OneKeyAtTwoNodesAtOnceRunsOnce)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{\"appeal\":\"answered\"}"));
    SlotPair pair;
    SlotNode first(pair, 0, engine);
    SlotNode second(pair, 1, engine);
    first.peers[2] = second.server.get();
    second.peers[1] = first.server.get();
    constexpr size_t keys = 20;
    for (size_t i = 0; i < keys; ++i) {
        std::string key = "appeal" + std::to_string(i);
        std::vector<std::thread> callers;
        std::mutex mutex;
        std::set<std::string> bodies;
        for (TestNode* node : { static_cast<TestNode*>(&first), static_cast<TestNode*>(&second) }) {
            callers.emplace_back([&, node] {
                httplib::Result result = node->chat(TestNode::headers(key));
                while (outcomeAndType(result).starts_with("undecided/"))
                    result = node->chat(TestNode::headers(key));
                std::lock_guard lock(mutex);
                bodies.insert(outcomeAndType(result) + " " + result->body);
            });
        }
        for (auto& caller : callers)
            caller.join();
        EXPECT_EQ(bodies, (std::set<std::string> { "answered {\"appeal\":\"answered\"}" }));
        EXPECT_EQ(engine.requestCount(), i + 1);
    }
}

TEST(Slots, AttemptRefusedAtOneNodeNeverRunsAtAnother)
{
    FakeBackend engine;
    engine.setBehaviour(plainAnswer("{}"));
    SlotPair pair;
    SlotNode first(pair, 0, engine);
    SlotNode second(pair, 1, engine);
    first.isReady = false;
    EXPECT_EQ(outcomeAndType(first.chat(TestNode::headers("key"))), "not-run/not_ready");
    auto late = second.chat(TestNode::headers("key"));
    EXPECT_EQ(outcomeAndType(late), "not-run/voided");
    EXPECT_EQ(errorOf(late->body).at("next_attempt"), 2);
    EXPECT_EQ(engine.requestCount(), 0U);
    EXPECT_EQ(outcomeAndType(second.chat(TestNode::headers("key", 2))), "answered");
}

TEST(Slots, IsolatedNodeReportsUndecided)
{
    FakeBackend engine;
    SlotPair pair;
    SlotNode first(pair, 0, engine);
    pair.isolate(1);
    EXPECT_EQ(outcomeAndType(first.chat(TestNode::headers("key"))), "undecided/undecided");
    first.isReady = false;
    EXPECT_EQ(outcomeAndType(first.chat(TestNode::headers("other"))), "undecided/not_ready");
    EXPECT_EQ(engine.requestCount(), 0U);
}

} // namespace Kumquatpick
