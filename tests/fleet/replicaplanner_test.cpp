#include "fleet/replicaplanner.h"

#include "fleet/largeworld.h"
#include "fleet/plannerworld.h"
#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    PlannerWorld worldWithSmallModel() { return PlannerWorld({ makeModel("small", 2) }); }

    // Hosts a and b serve as a replica; `spare` is free, so either of them could join a new replica with it.
    std::unique_ptr<PlannerWorld> worldWithServingPair()
    {
        auto world = std::make_unique<PlannerWorld>(std::vector<ModelSpec> { makeModel("small", 2) });
        world->addHost("a", "d1");
        world->addHost("b", "d1");
        world->run(Milliseconds(1000));
        world->addHost("spare", "d1");
        return world;
    }

    std::string headOf(const PlannerWorld& world) { return world.openReplicas().at(0).head->id; }
    std::string memberOf(const PlannerWorld& world) { return headOf(world) == "a" ? "b" : "a"; }

}

TEST(ReplicaPlanner, FormsAndOpensReplicasInsideDomains)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    for (int i = 0; i < 10; ++i)
        world.addHost("host-" + std::to_string(i), i < 5 ? "d1" : "d2");
    world.run(Milliseconds(2000));
    EXPECT_EQ(world.openReplicas().size(), 3u)
        << "one replica of four hosts, and two replicas of two in the other domain";
    for (const ReplicaView& replica : world.openReplicas()) {
        for (const Host* member : replica.members)
            EXPECT_EQ(member->status.domain, replica.head->status.domain);
    }
}

// The list adds some 40 hosts a second. The first plan of 162 hosts starts once all hosts of nine domains are listed.
TEST(ReplicaPlanner, WaitsForHostsThatAppearOneByOne)
{
    PlannerWorld world({ makeModel("large", 8), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 10.1 }, { "small", 40.5 } };
    for (int i = 0; i < 162; ++i) {
        world.addHost("host-" + std::to_string(i), "domain-" + std::to_string(i % 9));
        if (i % 4 == 3)
            world.run(Milliseconds(100));
    }
    world.run(Milliseconds(2000));
    auto open = world.openReplicas();
    auto large = std::ranges::count_if(open, [](const ReplicaView& replica) { return replica.model == "large"; });
    EXPECT_GE(large, 9);
    EXPECT_LE(large, 11);
}

// Six domains of ten hosts. Three are assigned to the large model and hold six replicas of it. The seventh of the 7.5
// wanted replicas is formed where the small model has enough.
TEST(ReplicaPlanner, FormsReplicasOutsideAssignedDomainsWhenMoreAreWanted)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 7.5 }, { "small", 15 } };
    for (int i = 0; i < 60; ++i)
        world.addHost("host-" + std::to_string(i), "domain-" + std::to_string(i % 6));
    world.run(Milliseconds(2000));
    auto open = world.openReplicas();
    auto large = std::ranges::count_if(open, [](const ReplicaView& replica) { return replica.model == "large"; });
    EXPECT_EQ(large, 7);
    EXPECT_EQ(open.size(), 23u);
}

TEST(ReplicaPlanner, OpensOnlyOnceEveryMemberIsReady)
{
    PlannerWorld world = worldWithSmallModel();
    world.addHost("a", "d1");
    world.addHost("b", "d1");
    world.handleOrder = [&](const HostOrder& order) {
        return order.kind == OrderKind::Join && order.hostId == "b" ? OrderResult::Lost : world.applyOrder(order);
    };
    world.run(Milliseconds(3000));
    EXPECT_TRUE(world.ordersTo("a", OrderKind::Open).empty());
    EXPECT_TRUE(world.ordersTo("b", OrderKind::Open).empty());
    EXPECT_GT(world.ordersTo("b", OrderKind::Join).size(), 1u) << "a join without an answer is repeated";
}

// The list may be stale, so a listed host that held a model before is not joined on the list's word alone.
TEST(ReplicaPlanner, JoinsOnlyHostsThatHaveReported)
{
    PlannerWorld world = worldWithSmallModel();
    world.addHost("a", "d1");
    world.addHost("b", "d1");
    Host used = *world.table.find("b");
    used.status.stagedModels = { "small" };
    world.table.applyListEntry(used, world.now);
    world.nonReportingHosts.insert("b");
    world.run(Milliseconds(2000));
    EXPECT_TRUE(world.ordersTo("a", OrderKind::Join).empty());
    EXPECT_TRUE(world.ordersTo("b", OrderKind::Join).empty()) << "the list may be stale";
    world.nonReportingHosts.clear();
    world.run(Milliseconds(500));
    EXPECT_FALSE(world.ordersTo("a", OrderKind::Join).empty());
}

// A host that is listed without any model is joined without polling it, on condition that it has accepted no order. A
// host that has accepted one refuses, and is joined only after it has reported.
TEST(ReplicaPlanner, JoinsBlankHostOnlyIfItAcceptedNoOrder)
{
    PlannerWorld world = worldWithSmallModel();
    world.addHost("a", "d1");
    world.addHost("b", "d1");
    world.ordersAccepted["b"] = 3;
    world.nonReportingHosts = { "a", "b" };
    world.run(Milliseconds(2000));
    auto joins = world.ordersTo("b", OrderKind::Join);
    ASSERT_EQ(joins.size(), 1u);
    EXPECT_EQ(joins[0].expectedOrderCount, 0u);
    EXPECT_FALSE(world.table.find("b")->status.membership) << "the host refused the join";
    world.nonReportingHosts.clear();
    world.run(Milliseconds(1000));
    EXPECT_EQ(world.openReplicas().size(), 1u);
}

// A store answered with data that was seconds old: its list showed the head of an open replica as it was before it
// joined. As the host had accepted no order since its last report, the condition of a join held.
TEST(ReplicaPlanner, IgnoresStaleListEntryThatShowsHostAsFree)
{
    auto world = worldWithServingPair();
    world->orders.clear();
    world->nonReportingHosts = { "a", "b" };
    world->run(Milliseconds(2000));
    for (const char* id : { "a", "b" }) {
        Host old = *world->table.find(id);
        old.status.ordersAccepted.reset();
        old.status.membership.reset();
        world->table.applyListEntry(old, world->now);
    }
    world->run(Milliseconds(3000));
    EXPECT_TRUE(world->ordersTo("a", OrderKind::Join).empty());
    EXPECT_TRUE(world->ordersTo("b", OrderKind::Join).empty());
}

// 760 hosts in 40 domains of 19. Loads continue while the controller changes twice. Replicas that two earlier
// controllers started to form are completed, and none of their hosts loads again.
TEST(ReplicaPlanner, CompletesFormationsOfEarlierControllers)
{
    LargeWorld world;
    world.run(Milliseconds(1500));
    world.replaceController();
    world.run(Milliseconds(900));
    world.replaceController();
    world.run(Milliseconds(20'000));
    EXPECT_EQ(world.joiningHosts(), 0u) << "every formation is completed or dissolved";
    EXPECT_GE(world.openHosts(), 600u);
    EXPECT_EQ(world.leavesOfMembers, 0) << "no member was ordered to leave";
    EXPECT_LE(world.largestJoinBatch, 96u + 8u) << "a node can send no more joins in 100 ms";
}

// Hosts of a formation for which an earlier controller had not sent all joins are freed within three seconds.
TEST(ReplicaPlanner, DissolvesIncompleteFormationOfEarlierController)
{
    PlannerWorld world({ makeModel("large", 4) });
    for (const char* id : { "a", "b", "c", "d" })
        world.addHost(id, "d1");
    world.handleOrder
        = [&](const HostOrder& order) { return order.hostId == "d" ? OrderResult::Lost : world.applyOrder(order); };
    world.run(Milliseconds(1000));
    ASSERT_TRUE(world.table.find("a")->status.membership);
    std::string earlier = world.table.find("a")->status.membership->replica;
    world.handleOrder = [&](const HostOrder& order) { return world.applyOrder(order); };
    world.startTerm(8);
    world.run(Milliseconds(3000));
    ASSERT_EQ(world.openReplicas().size(), 1u);
    EXPECT_NE(world.openReplicas()[0].name, earlier);
}

// The host refuses the first join as it accepted another order before, late or from another controller.
TEST(ReplicaPlanner, RetriesRefusedJoinWithReportedOrderCount)
{
    PlannerWorld world = worldWithSmallModel();
    world.addHost("a", "d1");
    world.addHost("b", "d1");
    world.handleOrder = [&](const HostOrder& order) {
        if (order.kind == OrderKind::Join && order.hostId == "b" && world.ordersTo("b", OrderKind::Join).size() == 1)
            ++world.ordersAccepted["b"];
        return world.applyOrder(order);
    };
    world.run(Milliseconds(2000));
    auto joins = world.ordersTo("b", OrderKind::Join);
    ASSERT_EQ(joins.size(), 2u);
    EXPECT_EQ(joins[0].expectedOrderCount, 0u);
    EXPECT_EQ(joins[1].expectedOrderCount, 1u) << "the count that the host reports after the refusal";
    EXPECT_EQ(joins[0].epoch, joins[1].epoch) << "the other members need not load again";
    EXPECT_EQ(world.openReplicas().size(), 1u);
}

// The second join is refused because the host has accepted the first one, whose answer was lost.
TEST(ReplicaPlanner, KeepsFormationWhenAnswerToFirstJoinIsLost)
{
    PlannerWorld world = worldWithSmallModel();
    world.addHost("a", "d1");
    world.addHost("b", "d1");
    world.nonReportingHosts.insert("b");
    world.table.applyReport("b", HostStatus { 0, {}, {}, {}, {}, "d1" }, world.now);
    world.handleOrder = [&](const HostOrder& order) {
        OrderResult result = world.applyOrder(order);
        bool isFirst = order.kind == OrderKind::Join && world.ordersTo(order.hostId, OrderKind::Join).size() == 1;
        return isFirst && order.hostId == "b" ? OrderResult::Lost : result;
    };
    world.run(Milliseconds(3000));
    EXPECT_EQ(world.openReplicas().size(), 1u);
    EXPECT_EQ(world.ordersTo("a", OrderKind::Join).size(), 1u) << "the same replica";
}

TEST(ReplicaPlanner, OrdersHeadToLeaveBeforeMembersJoinElsewhere)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    world->stalledHeads.insert(head);
    world->contacts[member] = HostContact::Unreachable;
    world->orders.clear();
    world->run(Milliseconds(500));
    ASSERT_FALSE(world->orders.empty());
    EXPECT_EQ(world->orders.front().kind, OrderKind::Leave);
    EXPECT_EQ(world->orders.front().hostId, head);
    world->run(Milliseconds(1000));
    EXPECT_FALSE(world->ordersTo(head, OrderKind::Join).empty())
        << "the remaining host joins a replica with the spare host";
}

// A restarted head has no membership and its order count starts at zero. The other members are free at once.
TEST(ReplicaPlanner, ReformsReplicaAfterHeadRestart)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    Host again = *world->table.find(head);
    again.id = incarnationId(head, 5000);
    again.status = {};
    again.status.domain = world->table.find(member)->status.domain;
    again.status.stagedModels = world->table.find(head)->status.stagedModels;
    world->table.applyListEntry(again, world->now);
    world->contacts[head] = HostContact::Ended;
    world->orders.clear();
    world->run(Milliseconds(2500));
    auto joins = world->ordersTo(again.id, OrderKind::Join);
    ASSERT_FALSE(joins.empty());
    EXPECT_EQ(joins.front().expectedOrderCount, 0u);
    ASSERT_FALSE(world->openReplicas().empty());
    EXPECT_TRUE(world->ordersTo(head, OrderKind::Join).empty());
}

// A draining head stops listening, then finishes its requests: its members are not free before it has ended.
TEST(ReplicaPlanner, KeepsMembersUntilDrainingHeadHasEnded)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    Host draining = *world->table.find(head);
    draining.draining = true;
    world->table.applyListEntry(draining, world->now);
    world->contacts[head] = HostContact::Refused;
    world->stalledHeads.insert(head);
    world->orders.clear();
    world->run(Milliseconds(5000));
    EXPECT_TRUE(world->ordersTo(member, OrderKind::Join).empty());
    world->table.removeListEntry(head);
    world->run(Milliseconds(2000));
    EXPECT_FALSE(world->ordersTo(member, OrderKind::Join).empty())
        << "the list entry is removed when the head has ended";
}

TEST(ReplicaPlanner, FreesMembersOfCrashedHead)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    world->contacts[head] = HostContact::Refused;
    world->orders.clear();
    world->run(Milliseconds(500));
    EXPECT_TRUE(world->ordersTo(member, OrderKind::Join).empty()) << "a leave notice may be in flight";
    world->run(Milliseconds(1500));
    EXPECT_FALSE(world->ordersTo(member, OrderKind::Join).empty());
}

// A head that no node reaches may be alive and open behind a partition, and still be so after it heals. A member may
// join another replica only once it has left this one.
TEST(ReplicaPlanner, OrdersMembersToLeaveUnreachableHead)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    world->stalledHeads.insert(head);
    world->contacts[head] = HostContact::UnreachableByAll;
    world->orders.clear();
    world->run(Milliseconds(1500));
    ASSERT_FALSE(world->ordersTo(member, OrderKind::Leave).empty());
    ASSERT_FALSE(world->ordersTo(member, OrderKind::Join).empty());
    auto isForMember = [&](const HostOrder& order) { return order.hostId == member; };
    EXPECT_EQ(std::ranges::find_if(world->orders, isForMember)->kind, OrderKind::Leave);
    EXPECT_TRUE(world->ordersTo(head, OrderKind::Leave).empty()) << "the order would not arrive";
}

TEST(ReplicaPlanner, DoesNotJoinMemberElsewhereBeforeItHasLeft)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    world->stalledHeads.insert(head);
    world->contacts[head] = HostContact::UnreachableByAll;
    world->handleOrder = [&](const HostOrder& order) {
        return order.kind == OrderKind::Leave ? OrderResult::Lost : world->applyOrder(order);
    };
    world->table.removeListEntry(head);
    world->run(Milliseconds(20'000));
    EXPECT_TRUE(world->ordersTo(member, OrderKind::Join).size() == 1) << "only the join of the first replica";
}

// One node does not reach the head but others do, and it continues to serve them.
TEST(ReplicaPlanner, KeepsReplicaWhoseHeadOtherNodesReach)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    world->contacts[head] = HostContact::Unreachable;
    world->orders.clear();
    world->run(Milliseconds(3000));
    EXPECT_TRUE(world->ordersTo(head, OrderKind::Leave).empty());
    EXPECT_TRUE(world->ordersTo(memberOf(*world), OrderKind::Leave).empty());
}

// In a partition from the store alone, one host in nine lost its list entry within a second. Their replicas were
// dissolved although the hosts still answered: 60 of 131 replicas in total.
TEST(ReplicaPlanner, KeepsReplicaWhoseUnlistedMemberStillAnswers)
{
    auto world = worldWithServingPair();
    std::string member = memberOf(*world);
    world->table.removeListEntry(member);
    world->orders.clear();
    world->run(Milliseconds(5000));
    for (const char* id : { "a", "b" }) {
        EXPECT_TRUE(world->ordersTo(id, OrderKind::Leave).empty());
        EXPECT_TRUE(world->ordersTo(id, OrderKind::Close).empty());
    }
    EXPECT_TRUE(world->planner.hostsToPoll().contains(member)) << "the member is still polled";
    std::string head = headOf(*world);
    world->contacts[member] = HostContact::Refused;
    world->closingDuration = Milliseconds(0);
    world->run(Milliseconds(1000));
    EXPECT_FALSE(world->ordersTo(head, OrderKind::Leave).empty()) << "the member has ended and no request runs";
}

TEST(ReplicaPlanner, ClosesReplicaOfDrainingMemberWithoutDissolvingIt)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    Host leaving = *world->table.find(memberOf(*world));
    leaving.draining = true;
    world->table.applyListEntry(leaving, world->now);
    world->orders.clear();
    world->run(Milliseconds(3000));
    EXPECT_EQ(world->ordersTo(head, OrderKind::Close).size(), 1u);
    EXPECT_TRUE(world->ordersTo(head, OrderKind::Leave).empty()) << "the replica still finishes its requests";
}

// A head whose entry was removed without notice still serves for seconds; it was ordered to leave at once, which broke
// its streams.
TEST(ReplicaPlanner, UnlistedHeadFinishesItsRequestsBeforeItLeaves)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    world->inFlight[head] = 3;
    world->table.removeListEntry(head);
    world->orders.clear();
    world->run(Milliseconds(5000));
    EXPECT_FALSE(world->ordersTo(head, OrderKind::Close).empty());
    EXPECT_TRUE(world->ordersTo(head, OrderKind::Leave).empty()) << "its requests still run";
    world->inFlight.clear();
    world->run(Milliseconds(500));
    EXPECT_FALSE(world->ordersTo(head, OrderKind::Leave).empty());
}

// A member that leaves stops listening before its replica's last request has ended; that was taken for its loss.
TEST(ReplicaPlanner, ClosesReplicaWhoseUnlistedMemberHasStoppedListening)
{
    auto world = worldWithServingPair();
    std::string head = headOf(*world);
    std::string member = memberOf(*world);
    world->table.removeListEntry(member);
    world->contacts[member] = HostContact::Refused;
    world->orders.clear();
    world->run(Milliseconds(3000));
    EXPECT_FALSE(world->ordersTo(head, OrderKind::Close).empty());
    EXPECT_TRUE(world->ordersTo(head, OrderKind::Leave).empty()) << "the replica still finishes its requests";
    world->stalledHeads.insert(head);
    world->run(Milliseconds(500));
    EXPECT_FALSE(world->ordersTo(head, OrderKind::Leave).empty()) << "the member has ended";
}

// Two hosts of a large replica are lost. All hosts hold both models, so a small replica of the domain is dissolved and
// the large one is formed again without a load, which would take 12 to 16 s here.
TEST(ReplicaPlanner, RebuildsReplicaWithoutLoad)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 2 }, { "small", 6 } };
    for (int i = 0; i < 20; ++i)
        world.addHost("host-" + std::to_string(i), i < 10 ? "d1" : "d2");
    world.run(Milliseconds(2000));
    auto replicas = world.openReplicas();
    EXPECT_EQ(std::ranges::count(replicas, std::string("large"), &ReplicaView::model), 2);
    EXPECT_EQ(std::ranges::count(replicas, std::string("small"), &ReplicaView::model), 6) << "no host is idle";
    EXPECT_EQ(world.loadsByJoin, 20);
    EXPECT_EQ(world.loadsByStage, 20) << "each host holds two models before traffic";
    auto large = std::ranges::find(replicas, std::string("large"), &ReplicaView::model);
    ASSERT_NE(large, replicas.end());
    world.isBeforeTraffic = false;
    world.closingDuration = Milliseconds(500);
    world.wantedReplicas = { { "large", 3 }, { "small", 4 } };
    world.loadsByJoin = 0;
    for (const Host* lost : { large->members[1], large->members[2] })
        world.contacts[lost->id] = HostContact::Unreachable;
    world.stalledHeads.insert(large->head->id);
    world.run(Milliseconds(4000));
    EXPECT_EQ(std::ranges::count(world.openReplicas(), std::string("large"), &ReplicaView::model), 2);
    EXPECT_EQ(world.loadsByJoin, 0);
}

// A replica that gave way to another model was ordered to leave while it was still finishing its requests, which broke
// their streams.
TEST(ReplicaPlanner, RetiringReplicaLeavesOnceItsRequestsHaveEnded)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 1 }, { "small", 8 } };
    for (int i = 0; i < 10; ++i)
        world.addHost("host-" + std::to_string(i), "d1");
    world.run(Milliseconds(2000));
    world.isBeforeTraffic = false;
    world.wantedReplicas = { { "large", 6 }, { "small", 1 } };
    world.orders.clear();
    world.run(Milliseconds(4000));
    auto isOf = [](OrderKind kind) { return [kind](const HostOrder& order) { return order.kind == kind; }; };
    ASSERT_TRUE(std::ranges::any_of(world.orders, isOf(OrderKind::Close)));
    EXPECT_TRUE(std::ranges::none_of(world.orders, isOf(OrderKind::Leave))) << "their requests still run";
    std::string closed = std::ranges::find(world.orders, OrderKind::Close, &HostOrder::kind)->hostId;
    EXPECT_TRUE(world.planner.hostsToPoll().contains(closed)) << "so that its hosts are free soon after them";
    world.closingDuration = Milliseconds(0);
    world.run(Milliseconds(3000));
    EXPECT_GE(std::ranges::count(world.openReplicas(), std::string("large"), &ReplicaView::model), 2);
}

// A controller took replicas that it had closed for replicas that an earlier one was forming, and opened them again.
TEST(ReplicaPlanner, RetiringReplicaOfAnEarlierControllerIsNotOpenedAgain)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 1 }, { "small", 8 } };
    for (int i = 0; i < 10; ++i)
        world.addHost("host-" + std::to_string(i), "d1");
    world.run(Milliseconds(2000));
    world.isBeforeTraffic = false;
    world.startTerm(8);
    world.run(Milliseconds(3000));
    world.closingDuration = Milliseconds(1500);
    world.wantedReplicas = { { "large", 6 }, { "small", 1 } };
    world.orders.clear();
    world.run(Milliseconds(6000));
    std::map<std::string, int> closes;
    for (const HostOrder& order : world.orders)
        closes[order.replica] += order.kind == OrderKind::Close ? 1 : 0;
    EXPECT_GE(std::ranges::count(world.openReplicas(), std::string("large"), &ReplicaView::model), 2);
    for (const HostOrder& order : world.orders) {
        bool reopens = order.kind == OrderKind::Open && closes[order.replica] > 0;
        EXPECT_FALSE(reopens) << order.replica;
    }
}

// Three idle hosts hold the large model, whose replicas take four, and no host is added. This state arises when
// replicas lose one member after another. Two of the hosts load the small model and serve again.
TEST(ReplicaPlanner, StrandedIdleHostsLoadAnotherModel)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 5 }, { "small", 5 } };
    for (int i = 0; i < 3; ++i) {
        std::string id = "host-" + std::to_string(i);
        world.addHost(id, "d1");
        HostStatus status = world.table.find(id)->status;
        status.model = "large";
        status.stagedModels = { "large" };
        status.membership = Membership { "replica-0", 1, static_cast<uint32_t>(i + 1), MemberState::Ready };
        status.ordersAccepted = 1;
        world.ordersAccepted[id] = 1;
        world.table.applyReport(id, status, world.now);
        status.membership.reset();
        world.table.applyReport(id, status, world.now += Milliseconds(1));
    }
    world.isBeforeTraffic = false;
    world.run(Milliseconds(3000));
    ASSERT_EQ(world.openReplicas().size(), 1u);
    EXPECT_EQ(world.openReplicas()[0].model, "small");
}

// 40 domains, and demand that moves to the large model: several domains shift replicas at the same time.
TEST(ReplicaPlanner, ShiftsInSeveralDomainsOfALargeFleet)
{
    LargeWorld world;
    world.closingDuration = Milliseconds(500);
    world.wantedReplicas = { { "large", 5 }, { "small", 150 } };
    world.run(Milliseconds(25'000));
    world.isBeforeTraffic = false;
    auto largeReplicas = [&] {
        return std::ranges::count_if(
            world.openReplicas(), [](const ReplicaView& replica) { return replica.model == "large"; });
    };
    auto before = largeReplicas();
    world.wantedReplicas = { { "large", 60 }, { "small", 80 } };
    world.run(Milliseconds(5000));
    EXPECT_GE(largeReplicas() - before, 12) << "one shift at a time makes four or five in this time";
}

// A host that does not report delays its own domain only.
TEST(ReplicaPlanner, FormsInOtherDomainsWhileOneWaitsForAReport)
{
    PlannerWorld world({ makeModel("large", 4) });
    for (int i = 0; i < 12; ++i)
        world.addHost("host-" + std::to_string(i), "domain-" + std::to_string(i % 3));
    for (int i = 0; i < 12; ++i) {
        Host used = *world.table.find("host-" + std::to_string(i));
        used.status.stagedModels = { "large" };
        world.table.applyListEntry(used, world.now);
    }
    world.isBeforeTraffic = false;
    world.nonReportingHosts.insert("host-0"); // In the first domain, so that it is chosen first.
    world.run(Milliseconds(1000));
    EXPECT_EQ(world.openReplicas().size(), 2u);
}

// 19 hosts: two replicas of eight and three spares. A spare host replaces a lost member at once, as it holds the same
// model; the seven remaining hosts never form replicas of four.
TEST(ReplicaPlanner, SpareHostsReplaceLostMembersOfLargeReplica)
{
    PlannerWorld world({ makeModel("large", 8), makeModel("small", 4) });
    world.wantedReplicas = { { "large", 3 }, { "small", 1 } };
    for (int i = 0; i < 19; ++i)
        world.addHost("host-" + std::to_string(i), "d1");
    world.run(Milliseconds(3000));
    world.isBeforeTraffic = false;
    auto largeReplicas = [&] {
        return std::ranges::count_if(
            world.openReplicas(), [](const ReplicaView& replica) { return replica.model == "large"; });
    };
    ASSERT_EQ(largeReplicas(), 2);
    int loads = world.loadsByJoin;
    for (int lost = 0; lost < 3; ++lost) {
        auto replicas = world.openReplicas();
        auto large = std::ranges::find(replicas, "large", &ReplicaView::model);
        std::string member
            = large->members.front() == large->head ? large->members.back()->id : large->members.front()->id;
        world.contacts[member] = HostContact::Refused;
        world.run(Milliseconds(1500));
        world.table.removeListEntry(member);
        world.run(Milliseconds(1500));
        EXPECT_EQ(largeReplicas(), 2) << "after loss " << lost;
    }
    EXPECT_EQ(world.loadsByJoin, loads) << "no load from the weight store";
}

// A replica that waits for the load of one host would keep the others from serving for that time.
TEST(ReplicaPlanner, FormsNoReplicaOfColdHostsDuringTraffic)
{
    PlannerWorld world({ makeModel("large", 4), makeModel("small", 2) });
    world.wantedReplicas = { { "large", 5 }, { "small", 1 } };
    for (int i = 0; i < 3; ++i)
        world.addHost("host-" + std::to_string(i), "d1");
    world.run(Milliseconds(2000));
    world.isBeforeTraffic = false;
    world.addHost("cold", "d1");
    world.handleOrder = [&](const HostOrder& order) {
        return order.kind == OrderKind::Stage ? OrderResult::Accepted : world.applyOrder(order);
    };
    world.run(Milliseconds(3000));
    EXPECT_TRUE(world.ordersTo("cold", OrderKind::Join).empty());
    auto stages = world.ordersTo("cold", OrderKind::Stage);
    ASSERT_EQ(stages.size(), 1u);
    EXPECT_EQ(stages[0].model, "large") << "the other three hosts hold it and need a fourth";
}

// The host is loading for an earlier controller. When it was ordered again in each plan, a host got 93 orders in a day.
TEST(ReplicaPlanner, DelaysRetryAfterRefusedLoad)
{
    PlannerWorld world({ makeModel("small", 2) });
    world.isBeforeTraffic = false;
    world.handleOrder = [&](const HostOrder& order) {
        return order.kind == OrderKind::Stage ? OrderResult::Unfit : world.applyOrder(order);
    };
    world.addHost("busy", "d1");
    world.run(Milliseconds(2500));
    EXPECT_EQ(world.ordersTo("busy", OrderKind::Stage).size(), 1u);
    world.run(Milliseconds(2500));
    EXPECT_EQ(world.ordersTo("busy", OrderKind::Stage).size(), 2u);
}

// Concurrent loads share the weight store's bandwidth: with too many at once, none finishes soon.
TEST(ReplicaPlanner, LimitsConcurrentLoadsFromWeightStore)
{
    PlannerWorld world({ makeModel("small", 2) });
    world.isBeforeTraffic = false;
    world.service.timing.concurrentLoads = 4;
    world.handleOrder = [&](const HostOrder& order) {
        bool isLoad = order.kind == OrderKind::Join || order.kind == OrderKind::Stage;
        return isLoad ? OrderResult::Accepted : world.applyOrder(order);
    };
    for (int i = 0; i < 20; ++i)
        world.addHost("host-" + std::to_string(i), "d1");
    world.run(Milliseconds(5000));
    std::set<std::string> loading;
    for (const HostOrder& order : world.orders) {
        if (order.kind == OrderKind::Join || order.kind == OrderKind::Stage)
            loading.insert(order.hostId);
    }
    EXPECT_EQ(loading.size(), 4u);
}

TEST(ReplicaPlanner, LaterControllersUseHigherEpochs)
{
    PlannerWorld world = worldWithSmallModel();
    world.addHost("a", "d1");
    world.addHost("b", "d1");
    world.run(Milliseconds(1000));
    uint64_t epoch = world.openReplicas().at(0).epoch;
    PlannerWorld later = worldWithSmallModel();
    later.startTerm(8);
    later.addHost("a", "d1");
    later.addHost("b", "d1");
    later.run(Milliseconds(1000));
    EXPECT_GT(later.openReplicas().at(0).epoch, epoch);
}

} // namespace Kumquatpick
