#include "node/clusterview.h"
#include "node/gossip.h"
#include "node/simulation.h"

#include "node/generators.h"

#include <algorithm>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>

namespace Kumquatpick {

namespace {

    NodeInfo node(size_t name, uint64_t incarnation, const std::string& zone = "howrah")
    {
        return { { "n" + std::to_string(name), incarnation }, zone, { "10.0.0.1", static_cast<uint16_t>(name + 1) },
            { "10.0.0.1", 80 } };
    }

    // A digest of one of a few nodes. Its content is determined by incarnation and sequence, except that usage may be
    // missing, as it is in digests that come from another availability zone.
    NodeDigest anyDigestOfFewNodes()
    {
        auto name = *rc::gen::inRange<size_t>(1, 4);
        uint64_t incarnation = name * 10 + *rc::gen::inRange<uint64_t>(0, 3);
        NodeDigest digest;
        digest.node = node(name, incarnation, name == 3 ? "siliguri" : "howrah");
        digest.sequence = *rc::gen::inRange<uint64_t>(1, 5);
        digest.configVersion = digest.sequence * 100;
        digest.streams = digest.sequence * 7;
        if (*rc::gen::arbitrary<bool>()) {
            digest.usageSequence = digest.sequence;
            digest.usage.push_back({ "s", "t", static_cast<uint32_t>(digest.sequence), 0 });
        }
        return digest;
    }

    auto contents(const DigestTable& table)
    {
        std::vector<decltype(fields(NodeDigest {}))> all;
        table.forEach([&](const NodeDigest& digest) { all.push_back(fields(digest)); });
        return all;
    }

    void exchange(Gossip& one, Gossip& other)
    {
        GossipMessage message = one.openingMessage();
        for (int leg = 0; leg < 3 && !message.empty(); ++leg)
            message = one.answer(other.answer(message));
    }

    OwnReport reportOf(Offset config, uint32_t running)
    {
        OwnReport report;
        report.configVersion = config;
        report.usage.push_back({ "writers", "coaches", running, 1 });
        return report;
    }

    constexpr Milliseconds testTimeout { 20000 };

}

RC_GTEST_PROP(DigestTable, MergeIsCommutativeAndIdempotent, ())
{
    std::vector<NodeDigest> digests(*rc::gen::inRange<size_t>(0, 12));
    for (NodeDigest& digest : digests)
        digest = anyDigestOfFewNodes();
    std::vector<NodeDigest> other = digests;
    if (!digests.empty())
        other.push_back(digests[*rc::gen::inRange<size_t>(0, digests.size())]);
    Random random(*rc::gen::arbitrary<uint64_t>());
    std::ranges::shuffle(other, random);
    DigestTable one(node(0, 1));
    DigestTable two(node(0, 1));
    for (const NodeDigest& digest : digests)
        one.merge(digest);
    for (const NodeDigest& digest : other)
        two.merge(digest);
    RC_ASSERT(contents(one) == contents(two));
    for (const NodeDigest& digest : digests)
        RC_ASSERT(!one.merge(digest));
}

RC_GTEST_PROP(DigestTable, StaleDigestsAreRejected, ())
{
    DigestTable table(node(0, 1));
    NodeDigest last = anyDigestOfFewNodes();
    table.merge(last);
    uint64_t incarnation = last.node.id.incarnation;
    bool permanently = *rc::gen::arbitrary<bool>();
    table.forget(incarnation, permanently);
    for (int i = 0; i < 10; ++i) {
        NodeDigest late = anyDigestOfFewNodes();
        table.merge(late);
        const NodeDigest* back = table.find(incarnation);
        RC_ASSERT((!back || (!permanently && back->sequence > last.sequence)));
        // Only the newest incarnation of a name is in the table.
        RC_ASSERT((!table.find(late.node.id.incarnation)
            || table.newestIncarnation(late.node.id.name) == late.node.id.incarnation));
    }
}

TEST(Gossip, ExchangeSynchronizesBothTables)
{
    MonotonicTime now {};
    Gossip one(node(1, 11, "howrah"));
    Gossip two(node(2, 12, "siliguri"));
    Gossip three(node(3, 13, "siliguri"));
    one.report(reportOf(5, 3), now);
    two.report(reportOf(6, 4), now);
    three.report(reportOf(6, 8), now);
    exchange(two, three);
    exchange(one, two);
    EXPECT_EQ(one.table().size(), 3u);
    EXPECT_EQ(two.table().size(), 3u);
    EXPECT_EQ(one.table().find(13)->configVersion, 6u);
    // A second exchange, without changes in between, ends with the first reply.
    EXPECT_TRUE(two.answer(one.openingMessage()).empty());
}

TEST(Gossip, OtherZonesReceiveOnlySummedUsage)
{
    MonotonicTime now {};
    Gossip outside(node(1, 11, "howrah"));
    Gossip reporter(node(2, 12, "siliguri"));
    Gossip peer(node(3, 13, "siliguri"));
    peer.report(reportOf(1, 8), now);
    exchange(reporter, peer);
    reporter.report(reportOf(1, 4), now);
    exchange(outside, reporter);
    ASSERT_EQ(outside.otherNodesUsage().size(), 1u);
    EXPECT_EQ(outside.otherNodesUsage()[0].running, 12u);
    EXPECT_TRUE(outside.table().find(13)->usage.empty());
    EXPECT_EQ(reporter.otherNodesUsage()[0].running, 8u);
}

TEST(Gossip, DetectsNewerIncarnationOfOwnName)
{
    Gossip old(node(1, 11));
    Gossip restarted(node(1, 12));
    exchange(restarted, old);
    EXPECT_TRUE(old.table().isReplaced());
    EXPECT_FALSE(restarted.table().isReplaced());
}

TEST(ListedNodes, AbsentNodeIsGoneOnlyAfterGraceAcrossUpdates)
{
    MonotonicTime start {};
    ListedNodes listed(Milliseconds(1000));
    NodeId id { "n1", 5 };
    EXPECT_FALSE(listed.isProvenGone(id));
    listed.update({}, start);
    EXPECT_FALSE(listed.isProvenGone(id));
    EXPECT_FALSE(listed.isProvenGone(id)); // There was no update since, and time without updates does not count.
    listed.update({}, start + Milliseconds(1000));
    EXPECT_TRUE(listed.isProvenGone(id));
    std::vector<NodeInfo> back { node(1, 5) };
    listed.update(back, start + Milliseconds(2000));
    EXPECT_FALSE(listed.isProvenGone(id));
    EXPECT_TRUE(listed.isProvenGone({ "n1", 4 }));
}

RC_GTEST_PROP(Detector, DeclaresDeadNodesAndKeepsLiveOnes, ())
{
    SimulationOptions options;
    options.nodes = *rc::gen::inRange<size_t>(3, 10);
    options.zones = *rc::gen::inRange<size_t>(1, 4);
    options.loss = *rc::gen::element(0.0, 0.02, 0.05);
    options.delayed = *rc::gen::element(0.0, 0.02);
    options.seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    options.teams = 1;
    MembershipSimulation simulation(options);
    simulation.run(Milliseconds(15000));
    auto paused = *rc::gen::inRange<size_t>(1, options.nodes);
    simulation.pause(paused, Milliseconds(*rc::gen::inRange(0, 20000)));
    simulation.kill(0);
    simulation.run(Milliseconds(90000));
    for (size_t observer = 1; observer < options.nodes; ++observer) {
        RC_ASSERT(simulation.liveness(observer, 0) == Liveness::Dead);
        for (size_t target = 1; target < options.nodes; ++target)
            RC_ASSERT(simulation.liveness(observer, target) < Liveness::Dead);
    }
    for (const SimulatedVerdict& verdict : simulation.verdicts())
        RC_ASSERT((verdict.targetDied || verdict.target == paused));
}

// After a pause of its own process, a node must not suspect the nodes whose answers it missed during the pause.
TEST(Detector, ResumedNodeSuspectsNoOtherNode)
{
    SimulationOptions options;
    options.nodes = 8;
    MembershipSimulation simulation(options);
    simulation.run(Milliseconds(15000));
    simulation.pause(3, Milliseconds(30000));
    simulation.run(Milliseconds(60000));
    for (const SimulatedVerdict& verdict : simulation.verdicts())
        EXPECT_EQ(verdict.target, 3u);
    EXPECT_EQ(simulation.falseSuspicions(), 0u);
}

TEST(Detector, SingleObserverCannotDeclareNodeDead)
{
    DigestTable table(node(1, 11));
    Detector detector(node(1, 11));
    NodeDigest target;
    target.node = node(2, 12);
    target.sequence = 1;
    NodeDigest observer;
    observer.node = node(3, 13);
    observer.sequence = 1;
    observer.suspects.push_back({ 12, 1 });
    table.merge(target);
    table.merge(observer);
    MonotonicTime now {};
    auto tickFor = [&](int seconds) {
        for (int i = 0; i < seconds; ++i)
            detector.tick(table, now += std::chrono::seconds(1));
    };
    tickFor(60);
    EXPECT_EQ(detector.liveness(12), Liveness::Suspect);
    // A second observer suspects the node, and the suspicion time has passed.
    NodeDigest second;
    second.node = node(4, 14);
    second.sequence = 1;
    second.suspects.push_back({ 12, 1 });
    table.merge(second);
    tickFor(1);
    EXPECT_EQ(detector.liveness(12), Liveness::Dead);
    // A digest with a higher sequence than the suspicion's refutes the verdict.
    table.forget(12, false);
    tickFor(1);
    EXPECT_EQ(detector.liveness(12), Liveness::Dead);
    target.sequence = 2;
    table.merge(target);
    tickFor(1);
    EXPECT_EQ(detector.liveness(12), Liveness::Alive);
}

TEST(Detector, NewerIncarnationAtAddressProvesOldOneGone)
{
    DigestTable table(node(1, 11));
    Detector detector(node(1, 11));
    NodeDigest target;
    target.node = node(2, 12);
    target.sequence = 1;
    table.merge(target);
    MonotonicTime now {};
    detector.tick(table, now);
    ProbeResult result;
    result.targetIncarnation = 12;
    result.startedAt = now;
    result.answeredBy = NodeId { "n2", 20 };
    detector.recordProbe(table, result, now);
    EXPECT_EQ(detector.liveness(12), Liveness::Gone);
    EXPECT_EQ(detector.takeLost(), std::vector<uint64_t> { 12 });
}

// Three nodes with real transports on loopback. They discover each other through seeds, spread a configuration and
// detect that one node has stopped.
TEST(ClusterView, NodesDiscoverEachOtherSpreadConfigAndDetectLoss)
{
    struct TestNode {
        std::mutex mutex;
        std::condition_variable changed;
        AcceptedText text;
        std::optional<NodeId> lost;
        std::unique_ptr<ClusterView> view;
        std::unique_ptr<NodeTransport> transport;
    };
    ClusterView::Settings settings;
    settings.gossip.period = Milliseconds(10);
    settings.detector.probePeriod = Milliseconds(20);
    settings.detector.probeTimeout = Milliseconds(200);
    settings.detector.suspicionTime = Milliseconds(100);
    std::vector<std::unique_ptr<TestNode>> members;
    std::vector<NodeInfo> seeds;
    for (size_t i = 0; i < 3; ++i) {
        members.push_back(std::make_unique<TestNode>());
        TestNode& member = *members.back();
        ClusterHooks hooks;
        hooks.ownReport = [&member] {
            std::lock_guard lock(member.mutex);
            return reportOf(member.text.version, 2);
        };
        hooks.adoptConfig = [&member](const AcceptedText& text) {
            std::lock_guard lock(member.mutex);
            member.text = text;
            member.changed.notify_all();
        };
        hooks.nodeLost = [&member](const NodeId& id, Liveness) {
            std::lock_guard lock(member.mutex);
            member.lost = id;
            member.changed.notify_all();
        };
        member.view = std::make_unique<ClusterView>(hooks, settings, i + 1);
        PeerHandlers handlers;
        handlers.exchangeDigests = [&member](const GossipMessage& message) { return member.view->answer(message); };
        handlers.acceptedText = [&member] {
            std::lock_guard lock(member.mutex);
            return member.text;
        };
        NodeInfo self = node(i, 100 + i, i == 0 ? "howrah" : "siliguri");
        self.peerAddress = { "127.0.0.1", 0 };
        member.transport = std::move(NodeTransport::start(self, handlers).value());
        seeds.push_back(member.transport->self());
        seeds.back().id.incarnation = 0;
    }
    for (auto& member : members) {
        member->view->start(*member->transport);
        member->view->setListedNodes(seeds);
    }
    {
        std::lock_guard lock(members[0]->mutex);
        members[0]->text = { 42, "services" };
    }
    members[0]->view->requestGossipRound();
    for (size_t i = 1; i < 3; ++i) {
        std::unique_lock lock(members[i]->mutex);
        EXPECT_TRUE(members[i]->changed.wait_for(lock, testTimeout, [&] { return members[i]->text.version == 42; }));
    }
    NodeId stopped = members[2]->transport->self().id;
    members[2]->view->stop();
    members[2]->transport.reset();
    for (size_t i = 0; i < 2; ++i) {
        std::unique_lock lock(members[i]->mutex);
        EXPECT_TRUE(members[i]->changed.wait_for(lock, testTimeout, [&] { return members[i]->lost == stopped; }));
        EXPECT_NE(members[i]->view->liveness(stopped), Liveness::Alive);
    }
    for (auto& member : members)
        member->view->stop();
}

} // namespace Kumquatpick
