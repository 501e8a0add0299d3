#include "coordination/slotservice.h"

#include "coordination/slotkey.h"

#include <condition_variable>
#include <deque>
#include <gtest/gtest.h>
#include <mutex>
#include <numeric>
#include <set>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds testTimeout { 30'000 };

    SlotService::Settings fastSettings()
    {
        SlotService::Settings settings;
        settings.resendInterval = Milliseconds(10);
        settings.maxWait = Milliseconds(20'000);
        settings.partnerTimeout = Milliseconds(30);
        settings.noWitnessDelay = Milliseconds(60);
        settings.reproposeInterval = Milliseconds(40);
        settings.maxClockSkew = Milliseconds(200);
        return settings;
    }

    // Nodes with real threads that exchange messages through in-memory inboxes. A slot table replaces the log.
    class Cluster {
    public:
        explicit Cluster(size_t size, SlotService::Settings settings = fastSettings())
            : m_settings(settings)
        {
            for (size_t i = 0; i < size; i++)
                add("n" + std::to_string(i), "zone" + std::to_string(i % 3));
            for (size_t i = 0; i < size; i++)
                startThread(i);
        }

        ~Cluster()
        {
            for (auto& node : m_nodes)
                stopThread(*node);
        }

        SlotService& operator[](size_t index) { return *m_nodes[index]->service; }
        const NodeInfo& info(size_t index) const { return m_nodes[index]->info; }

        size_t start(const std::string& name, const std::string& zone)
        {
            size_t index = add(name, zone);
            startThread(index);
            return index;
        }

        // Starts a new incarnation of a node, with the same name and no state.
        size_t restart(size_t index)
        {
            kill(index);
            return start(m_nodes[index]->info.id.name, m_nodes[index]->info.zone);
        }

        void kill(size_t index)
        {
            {
                std::lock_guard lock(m_mutex);
                m_nodes[index]->isLive = false;
            }
            stopThread(*m_nodes[index]);
        }

        // Marks this incarnation as proven gone.
        void markProvenGone(size_t index)
        {
            std::lock_guard lock(m_mutex);
            m_gone.push_back(m_nodes[index]->info.id);
        }

        // The node keeps running, but is no longer listed as live, so that no slot is assigned to it.
        void markStopping(size_t index)
        {
            std::lock_guard lock(m_mutex);
            m_nodes[index]->isLive = false;
        }

        // Drops all messages between two nodes; both stay listed as live.
        void cutLink(size_t left, size_t right)
        {
            std::lock_guard lock(m_mutex);
            m_cutLink = { m_nodes[left]->info.id, m_nodes[right]->info.id };
        }

        void setLogReachable(bool reachable)
        {
            std::lock_guard lock(m_mutex);
            m_isLogReachable = reachable;
        }

        size_t proposals()
        {
            std::lock_guard lock(m_mutex);
            return m_proposals;
        }

        SlotAssignment assignment(uint32_t slot)
        {
            std::lock_guard lock(m_mutex);
            return m_table.assignment(slot);
        }

        std::vector<NodeInfo> live()
        {
            std::lock_guard lock(m_mutex);
            return liveNodes();
        }

        size_t indexOf(const NodeId& id)
        {
            for (size_t i = 0; i < m_nodes.size(); i++) {
                if (m_nodes[i]->info.id == id)
                    return i;
            }
            return m_nodes.size();
        }

        // Checks the predicate after each event in the cluster until it holds or the test times out.
        template <typename Predicate>::testing::AssertionResult eventually(Predicate&& holds)
        {
            MonotonicTime end = monotonicNow() + testTimeout;
            std::unique_lock lock(m_mutex);
            while (monotonicNow() < end) {
                lock.unlock();
                if (holds())
                    return ::testing::AssertionSuccess();
                lock.lock();
                m_changed.wait_for(lock, Milliseconds(20));
            }
            return ::testing::AssertionFailure() << "condition did not hold within 30 s";
        }

        ::testing::AssertionResult allAssigned()
        {
            return eventually([&] {
                std::lock_guard lock(m_mutex);
                for (uint32_t slot = 0; slot < slotCount; slot++) {
                    if (!m_table.assignment(slot).epoch)
                        return false;
                }
                return true;
            });
        }

    private:
        struct Node {
            NodeInfo info;
            std::unique_ptr<SlotService> service;
            std::deque<std::function<void()>> inbox;
            std::condition_variable inboxChanged;
            bool isStopping = false;
            bool isLive = true;
            std::thread thread;
        };

        size_t add(const std::string& name, const std::string& zone)
        {
            auto node = std::make_unique<Node>();
            node->info.id = { name, ++m_lastIncarnation };
            node->info.zone = zone;
            auto send = [this, from = node->info.id](const NodeInfo& to, const SlotMessage& message) {
                if (!isCut(from, to.id))
                    post(to.id, message);
            };
            auto propose = [this](const SlotsProposal& proposal) { appendProposal(proposal); };
            node->service = std::make_unique<SlotService>(node->info, m_settings, send, propose);
            std::lock_guard lock(m_mutex);
            node->inbox.push_back(assignmentUpdate(*node, allSlots()));
            m_nodes.push_back(std::move(node));
            return m_nodes.size() - 1;
        }

        void startThread(size_t index)
        {
            Node* node = m_nodes[index].get();
            node->thread = std::thread([this, node] { runNode(*node); });
        }

        static std::vector<uint32_t> allSlots()
        {
            std::vector<uint32_t> slots(slotCount);
            std::iota(slots.begin(), slots.end(), 0U);
            return slots;
        }

        void stopThread(Node& node)
        {
            {
                std::lock_guard lock(m_mutex);
                node.isStopping = true;
            }
            node.inboxChanged.notify_all();
            if (node.thread.joinable())
                node.thread.join();
        }

        void runNode(Node& node)
        {
            std::unique_lock lock(m_mutex);
            while (!node.isStopping) {
                node.inboxChanged.wait_for(
                    lock, Milliseconds(5), [&] { return node.isStopping || !node.inbox.empty(); });
                std::deque<std::function<void()>> work;
                work.swap(node.inbox);
                std::vector<NodeInfo> live = liveNodes();
                std::vector<NodeId> gone = m_gone;
                lock.unlock();
                for (auto& step : work)
                    step();
                node.service->tick(monotonicNow(), wallNow(), live, gone);
                lock.lock();
                m_changed.notify_all();
            }
        }

        std::vector<NodeInfo> liveNodes() const
        {
            std::vector<NodeInfo> live;
            for (const auto& node : m_nodes) {
                if (node->isLive)
                    live.push_back(node->info);
            }
            return live;
        }

        bool isCut(const NodeId& from, const NodeId& to)
        {
            std::lock_guard lock(m_mutex);
            return m_cutLink == std::pair(from, to) || m_cutLink == std::pair(to, from);
        }

        void post(const NodeId& to, const SlotMessage& message)
        {
            std::lock_guard lock(m_mutex);
            for (auto& node : m_nodes) {
                if (node->info.id != to || node->isStopping)
                    continue;
                node->inbox.emplace_back([service = node->service.get(), message] { service->deliver(message); });
                node->inboxChanged.notify_all();
            }
        }

        void appendProposal(const SlotsProposal& proposal)
        {
            std::lock_guard lock(m_mutex);
            if (!m_isLogReachable)
                return;
            m_proposals++;
            auto changed = m_table.apply(proposal);
            for (auto& node : m_nodes) {
                node->inbox.push_back(assignmentUpdate(*node, changed));
                node->inboxChanged.notify_all();
            }
        }

        std::function<void()> assignmentUpdate(const Node& node, std::vector<uint32_t> slots) const
        {
            auto table = std::make_shared<const SlotTable>(m_table);
            return [service = node.service.get(), table, slots = std::move(slots)] {
                service->applyAssignments(*table, slots);
            };
        }

        const SlotService::Settings m_settings;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<std::unique_ptr<Node>> m_nodes;
        std::vector<NodeId> m_gone;
        std::pair<NodeId, NodeId> m_cutLink;
        SlotTable m_table;
        bool m_isLogReachable = true;
        size_t m_proposals = 0;
        uint64_t m_lastIncarnation = 100;
    };

    RequestKey requestFor(std::string key, uint32_t attempt = 1)
    {
        RequestKey request;
        request.key = std::move(key);
        request.attempt = attempt;
        request.issuedAt = wallNow();
        return request;
    }

    MonotonicTime testDeadline() { return monotonicNow() + testTimeout; }

    ArrivalId arrival(uint64_t serial) { return { 1, serial }; }

    // Waits until a permit request from that node is granted in the slot. The service's own time-out may be short.
    ::testing::AssertionResult isEventuallyGranted(Cluster& cluster, size_t node, uint32_t slot)
    {
        uint32_t serial = 0;
        return cluster.eventually([&] {
            MintedKey key { slot, wallNow(), 99, ++serial };
            ArrivalId arrival { 2, serial };
            return cluster[node].permit(requestFor(key.toString()), arrival, testDeadline()).answer
                == PermitAnswer::Granted;
        });
    }

} // namespace

// The first assignment must fit into few log records and place each pair in two availability zones.
TEST(SlotService, FirstAssignmentIsFewRecordsSpreadOverZones)
{
    SlotService::Settings settings = fastSettings();
    settings.reproposeInterval = testTimeout;
    Cluster cluster(3, settings);
    ASSERT_TRUE(cluster.allAssigned());
    EXPECT_EQ(cluster.proposals(), slotCount / 256);
    std::map<NodeId, int> owned;
    for (uint32_t slot = 0; slot < slotCount; slot++) {
        SlotAssignment assignment = cluster.assignment(slot);
        EXPECT_NE(assignment.owner.zone, assignment.witness.zone);
        owned[assignment.owner.id]++;
    }
    for (const auto& [id, count] : owned)
        EXPECT_GT(count, static_cast<int>(slotCount) / 6) << id.name;
}

// Of two concurrent permit requests for one key, exactly one must be granted.
TEST(SlotService, OfTwoArrivalsOfOneKeyOneIsGranted)
{
    Cluster cluster(3);
    ASSERT_TRUE(cluster.allAssigned());
    for (uint64_t round = 0; round < 50; round++) {
        RequestKey request = requestFor("race-" + std::to_string(round));
        PermitOutcome outcomes[2];
        std::thread first([&] { outcomes[0] = cluster[0].permit(request, arrival(2 * round), testDeadline()); });
        std::thread second([&] { outcomes[1] = cluster[1].permit(request, arrival(2 * round + 1), testDeadline()); });
        first.join();
        second.join();
        std::multiset<PermitAnswer> answers { outcomes[0].answer, outcomes[1].answer };
        EXPECT_EQ(answers, (std::multiset { PermitAnswer::Granted, PermitAnswer::HeldByOther }));
        size_t loser = outcomes[0].answer == PermitAnswer::Granted ? 1 : 0;
        EXPECT_EQ(outcomes[loser].entry.holderNode.id, cluster.info(1 - loser).id);
    }
}

// A voided attempt must never be granted, while the next attempt may be; only the holder can void a grant.
TEST(SlotService, VoidedAttemptIsNeverGranted)
{
    Cluster cluster(3);
    ASSERT_TRUE(cluster.allAssigned());
    PermitOutcome refused = cluster[0].makeVoid(requestFor("refused"), arrival(1), testDeadline());
    EXPECT_EQ(refused.answer, PermitAnswer::Voided);
    EXPECT_EQ(cluster[1].permit(requestFor("refused"), arrival(2), testDeadline()).answer, PermitAnswer::Voided);
    EXPECT_EQ(cluster[2].permit(requestFor("refused", 2), arrival(3), testDeadline()).answer, PermitAnswer::Granted);
    PermitOutcome late = cluster[1].makeVoid(requestFor("refused", 2), arrival(4), testDeadline());
    EXPECT_EQ(late.answer, PermitAnswer::HeldByOther);
    PermitOutcome own = cluster[2].makeVoid(requestFor("refused", 2), arrival(3), testDeadline());
    EXPECT_EQ(own.answer, PermitAnswer::Voided);
}

// If the owner crashes, the witness replaces it, and the new epoch must still contain the grant.
TEST(SlotService, NewEpochKeepsGrantWhenOwnerCrashes)
{
    Cluster cluster(4);
    ASSERT_TRUE(cluster.allAssigned());
    RequestKey request = requestFor("kept");
    uint32_t slot = slotOf(request.key);
    SlotAssignment before = cluster.assignment(slot);
    size_t owner = cluster.indexOf(before.owner.id);
    size_t witness = cluster.indexOf(before.witness.id);
    ASSERT_EQ(cluster[witness].permit(request, arrival(1), testDeadline()).answer, PermitAnswer::Granted);
    cluster.kill(owner);
    PermitOutcome outcome = cluster[witness].permit(request, arrival(2), testDeadline());
    EXPECT_EQ(outcome.answer, PermitAnswer::HeldByOther);
    EXPECT_EQ(outcome.entry.grantedTo, arrival(1));
    ASSERT_TRUE(cluster.eventually([&] { return cluster.assignment(slot).epoch == 2; }));
    EXPECT_EQ(cluster.assignment(slot).owner.id, before.witness.id);
    EXPECT_EQ(
        cluster[witness].permit(requestFor("kept", 2), arrival(3), testDeadline()).answer, PermitAnswer::HeldByOther);
    EXPECT_EQ(cluster[witness].permit(requestFor("new"), arrival(4), testDeadline()).answer, PermitAnswer::Granted);
}

// If both members crash, the slot must be reset only if both are proven gone, and earlier keys must expire.
TEST(SlotService, SlotIsResetOnlyOnProofThatBothMembersAreGone)
{
    SlotService::Settings settings = fastSettings();
    settings.maxWait = Milliseconds(200);
    Cluster cluster(4, settings);
    ASSERT_TRUE(cluster.allAssigned());
    RequestKey request = requestFor("lost");
    uint32_t slot = slotOf(request.key);
    SlotAssignment before = cluster.assignment(slot);
    size_t owner = cluster.indexOf(before.owner.id);
    size_t witness = cluster.indexOf(before.witness.id);
    size_t other = 0;
    while (other == owner || other == witness)
        other++;
    ASSERT_TRUE(isEventuallyGranted(cluster, other, slot));
    ASSERT_EQ(cluster[other].permit(request, arrival(1), testDeadline()).answer, PermitAnswer::Granted);
    cluster.kill(owner);
    cluster.kill(witness);
    EXPECT_EQ(cluster[other].permit(request, arrival(2), testDeadline()).answer, PermitAnswer::Undecided);
    cluster.markProvenGone(owner);
    EXPECT_EQ(cluster[other].permit(request, arrival(3), testDeadline()).answer, PermitAnswer::Undecided);
    EXPECT_EQ(cluster.assignment(slot).epoch, 1U);
    cluster.markProvenGone(witness);
    ASSERT_TRUE(cluster.eventually([&] { return cluster.assignment(slot).epoch == 2; }));
    uint64_t serial = 3;
    ASSERT_TRUE(cluster.eventually([&] {
        return cluster[other].permit(request, arrival(++serial), testDeadline()).answer == PermitAnswer::Expired;
    }));
    EXPECT_EQ(cluster[other].makeVoid(request, arrival(++serial), testDeadline()).answer, PermitAnswer::Expired);
}

// With the log unreachable and a node dead, slots with two live members must keep granting, and minted keys must be in
// such slots.
TEST(SlotService, SlotsOfLiveMembersWorkDuringLogOutage)
{
    SlotService::Settings settings = fastSettings();
    settings.maxWait = Milliseconds(1'000);
    Cluster cluster(4, settings);
    ASSERT_TRUE(cluster.allAssigned());
    cluster.setLogReachable(false);
    cluster.kill(3);
    NodeId dead = cluster.info(3).id;
    auto hasDeadMember = [&](uint32_t slot) {
        SlotAssignment assignment = cluster.assignment(slot);
        return assignment.owner.id == dead || assignment.witness.id == dead;
    };
    ASSERT_TRUE(cluster.eventually([&] { return !hasDeadMember(slotOf(cluster[0].mintKey(wallNow()))); }));
    uint64_t serial = 0;
    std::string undecidedKey;
    for (int i = 0; i < 20; i++) {
        std::string minted = cluster[0].mintKey(wallNow());
        EXPECT_EQ(
            cluster[1].permit(requestFor(minted), arrival(++serial), testDeadline()).answer, PermitAnswer::Granted)
            << minted;
        std::string hashed = "hashed-" + std::to_string(i);
        bool isRefused = hasDeadMember(slotOf(hashed));
        if (isRefused && !undecidedKey.empty())
            continue;
        PermitAnswer answer = cluster[1].permit(requestFor(hashed), arrival(++serial), testDeadline()).answer;
        EXPECT_EQ(answer, isRefused ? PermitAnswer::Undecided : PermitAnswer::Granted) << hashed;
        if (isRefused)
            undecidedKey = hashed;
    }
    ASSERT_FALSE(undecidedKey.empty());
    // Once the log is reachable again, the attempt that timed out is voided, and the caller's next attempt is granted.
    cluster.setLogReachable(true);
    PermitOutcome retried;
    ASSERT_TRUE(cluster.eventually([&] {
        retried = cluster[2].makeVoid(requestFor(undecidedKey), arrival(++serial), testDeadline());
        return retried.answer != PermitAnswer::Undecided;
    }));
    EXPECT_EQ(retried.answer, PermitAnswer::Voided);
    EXPECT_EQ(cluster[2].permit(requestFor(undecidedKey, 2), arrival(++serial), testDeadline()).answer,
        PermitAnswer::Granted);
}

// Handing slots over before a planned stop must preserve their journals.
TEST(SlotService, PlannedStopHandsEverySlotOverWithItsJournal)
{
    Cluster cluster(4);
    ASSERT_TRUE(cluster.allAssigned());
    for (uint64_t i = 0; i < 100; i++)
        ASSERT_EQ(cluster[1].permit(requestFor("stop-" + std::to_string(i)), arrival(i), testDeadline()).answer,
            PermitAnswer::Granted);
    cluster.markStopping(0);
    ASSERT_TRUE(cluster.eventually([&] { return cluster[0].handOver(cluster.live()); }));
    NodeId stoppedNode = cluster.info(0).id;
    for (uint32_t slot = 0; slot < slotCount; slot++) {
        ASSERT_NE(cluster.assignment(slot).owner.id, stoppedNode);
        ASSERT_NE(cluster.assignment(slot).witness.id, stoppedNode);
    }
    cluster.kill(0);
    for (uint64_t i = 0; i < 100; i++) {
        PermitOutcome outcome
            = cluster[2].permit(requestFor("stop-" + std::to_string(i)), arrival(1000 + i), testDeadline());
        EXPECT_EQ(outcome.answer, PermitAnswer::HeldByOther);
        EXPECT_EQ(outcome.entry.grantedTo, arrival(i));
    }
}

// A witness that is listed as live but acknowledges no records must be replaced.
TEST(SlotService, UnresponsiveWitnessIsReplaced)
{
    Cluster cluster(4);
    ASSERT_TRUE(cluster.allAssigned());
    RequestKey request = requestFor("unheard");
    uint32_t slot = slotOf(request.key);
    SlotAssignment before = cluster.assignment(slot);
    size_t owner = cluster.indexOf(before.owner.id);
    cluster.cutLink(owner, cluster.indexOf(before.witness.id));
    EXPECT_EQ(cluster[owner].permit(request, arrival(1), testDeadline()).answer, PermitAnswer::Granted);
    EXPECT_EQ(cluster.assignment(slot).epoch, 2U);
    EXPECT_NE(cluster.assignment(slot).witness.id, before.witness.id);
}

// A single node grants without a witness. After its restart, keys issued before must expire, because they may have run.
TEST(SlotService, KeysExpireAfterRestartOfASingleNode)
{
    SlotService::Settings settings = fastSettings();
    settings.maxWait = Milliseconds(200);
    Cluster cluster(1, settings);
    ASSERT_TRUE(cluster.allAssigned());
    RequestKey request = requestFor("lone");
    ASSERT_TRUE(isEventuallyGranted(cluster, 0, slotOf(request.key)));
    ASSERT_EQ(cluster[0].permit(request, arrival(1), testDeadline()).answer, PermitAnswer::Granted);
    ASSERT_EQ(cluster[0].permit(request, arrival(2), testDeadline()).answer, PermitAnswer::HeldByOther);
    size_t next = cluster.restart(0);
    EXPECT_EQ(cluster[next].permit(request, arrival(3), testDeadline()).answer, PermitAnswer::Undecided);
    cluster.markProvenGone(0);
    uint64_t serial = 3;
    ASSERT_TRUE(cluster.eventually([&] {
        return cluster[next].permit(request, arrival(++serial), testDeadline()).answer == PermitAnswer::Expired;
    }));
    ASSERT_TRUE(cluster.eventually([&] { return !cluster[next].mintKey(wallNow()).empty(); }));
    ASSERT_TRUE(isEventuallyGranted(cluster, next, slotOf("fresh")));
    EXPECT_EQ(
        cluster[next].permit(requestFor("fresh"), arrival(++serial), testDeadline()).answer, PermitAnswer::Granted);
    // A second node starts and becomes the witness of every slot.
    cluster.start("n1", "zone1");
    ASSERT_TRUE(cluster.eventually([&] { return cluster.assignment(slotOf("fresh")).witness.id.name == "n1"; }));
    ASSERT_TRUE(cluster.eventually([&] {
        return cluster[next].permit(requestFor("fresh"), arrival(++serial), testDeadline()).answer
            == PermitAnswer::HeldByOther;
    }));
}

// A slot must not be reset while one of its members is listed as live, even if both are reported as proven gone.
TEST(SlotService, LiveMembersAreNotReset)
{
    std::vector<NodeInfo> nodes(3);
    for (size_t i = 0; i < nodes.size(); i++)
        nodes[i].id = { "n" + std::to_string(i), 7 + i };
    std::vector<NodeId> gone { nodes[0].id, nodes[1].id };
    SlotTable table;
    size_t resets = 0;
    auto dropMessage = [](const NodeInfo&, const SlotMessage&) {};
    auto propose = [&](const SlotsProposal& proposal) {
        for (const SlotChange& change : proposal.changes)
            resets += change.journalLost;
    };
    SlotService service(nodes[2], fastSettings(), dropMessage, propose);
    SlotAssignment assignment;
    assignment.epoch = 1;
    assignment.owner = nodes[0];
    assignment.witness = nodes[1];
    table.restore(0, assignment);
    service.applyAssignments(table, std::array { 0U });
    MonotonicTime now = monotonicNow();
    auto tickWith = [&](std::span<const NodeInfo> live) {
        for (int i = 0; i < 20; i++)
            service.tick(now += Milliseconds(20), wallNow(), live, gone);
    };
    tickWith(nodes);
    EXPECT_EQ(resets, 0U);
    // A live list without this node itself must not make the node treat itself as the only one.
    tickWith(std::span(nodes).subspan(1, 1));
    EXPECT_EQ(resets, 0U);
    std::vector<NodeInfo> restartedNodes { nodes[2], nodes[2] };
    restartedNodes[0].id = { "n0", 70 };
    tickWith(restartedNodes);
    EXPECT_GT(resets, 0U);
}

} // namespace Kumquatpick
