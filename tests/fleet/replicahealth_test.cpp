#include "fleet/replicahealth.h"

#include "fleet/cutworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr CutWorld::Sizes largeDomains { 12, 6, 2, 27 };
    constexpr CutWorld::Sizes smallDomains { 8, 2, 3, 18 };

    // One host in four. Heads answer other nodes, because requests reach them.
    void cutQuarter(CutWorld& world, Milliseconds duration, HostContact ofMembers)
    {
        size_t i = 0;
        for (const auto& [key, members] : world.members()) {
            for (const std::string& id : members) {
                if (i++ % 4 == 0)
                    world.cut(id, duration, id == members.front() ? HostContact::Unreachable : ofMembers);
            }
        }
    }

    // A replica of two hosts, of which the member is unlisted and silent.
    ReplicaEvidence evidenceOfSilentMember()
    {
        ReplicaEvidence evidence;
        evidence.now = start;
        evidence.firstSeenAt = start - std::chrono::minutes(1);
        evidence.wasComplete = true;
        evidence.inFlight = 3;
        evidence.progressValidity = Milliseconds(1500);
        evidence.hosts = { { "head", HostContact::Reachable, true, true, false },
            { "member", HostContact::Unreachable, false, false, false } };
        return evidence;
    }

    ReplicaHealth suspectSince(MonotonicTime since)
    {
        ReplicaHealth health;
        health.state = HealthState::InDoubt;
        health.suspects = { { "member", since } };
        return health;
    }

    // The time until the head is told to leave, after the given event.
    template <typename Event> Milliseconds timeUntilHeadLeaves(CutWorld& world, const std::string& head, Event&& event)
    {
        event();
        MonotonicTime begun = world.now;
        while (world.ordersTo(head, OrderKind::Leave).empty() && world.now - begun < std::chrono::seconds(30))
            world.run(Milliseconds(100));
        return std::chrono::ceil<Milliseconds>(world.now - begun);
    }

}

// Losing the store for six seconds took every fourth host out of the list; the replicas of silent ones were dissolved
// although their streams went on.
TEST(ReplicaHealth, CutFromStoreWithProgressTakesNothingApart)
{
    for (const CutWorld::Sizes& sizes : { largeDomains, smallDomains }) {
        for (HostContact contact : { HostContact::Unreachable, HostContact::UnreachableByAll }) {
            CutWorld world(sizes);
            ASSERT_GE(world.members().size(), 4u);
            cutQuarter(world, Milliseconds(6000), contact);
            world.run(Milliseconds(12'000));
            EXPECT_TRUE(world.wholeTakenApart().empty())
                << world.wholeTakenApart().size() << " of " << world.members().size() << " by " << name(contact);
            EXPECT_EQ(world.openReplicas().size(), world.members().size());
        }
    }
}

// The same for replicas that have no requests, whose silent members other nodes still reach.
TEST(ReplicaHealth, CutFromStoreWithoutTrafficTakesNothingApart)
{
    for (const CutWorld::Sizes& sizes : { largeDomains, smallDomains }) {
        CutWorld world(sizes);
        world.hasTraffic = false;
        cutQuarter(world, Milliseconds(6000), HostContact::Unreachable);
        world.run(Milliseconds(12'000));
        EXPECT_TRUE(world.wholeTakenApart().empty()) << world.wholeTakenApart().size();
        EXPECT_FALSE(world.orders.size() > 0) << "nothing is opened, closed or loaded either";
    }
}

TEST(ReplicaHealth, ControllerThatIsCutOffTakesNothingApart)
{
    for (HostContact contact : { HostContact::Unreachable, HostContact::UnreachableByAll, HostContact::Refused }) {
        CutWorld world(largeDomains);
        world.isObserverCutOff = true;
        world.hasTraffic = false;
        cutQuarter(world, Milliseconds(6000), contact);
        auto contactsOfCut = world.contacts;
        for (const auto& [id, host] : world.table.hosts())
            world.contacts.try_emplace(id, contact);
        world.run(Milliseconds(5500));
        world.isObserverCutOff = false;
        world.contacts = contactsOfCut;
        for (auto& [id, ofCut] : world.contacts)
            ofCut = HostContact::Unknown;
        world.run(Milliseconds(4000));
        EXPECT_TRUE(world.wholeTakenApart().empty()) << world.wholeTakenApart().size() << " by " << name(contact);
    }
}

// A new controller knows only what the list shows it, in which the hosts that lost the store are missing.
TEST(ReplicaHealth, NewControllerDuringCutTakesNothingApart)
{
    CutWorld world(smallDomains);
    cutQuarter(world, Milliseconds(6000), HostContact::Unreachable);
    world.run(Milliseconds(4500));
    world.startTerm(8);
    world.run(Milliseconds(8000));
    EXPECT_TRUE(world.wholeTakenApart().empty()) << world.wholeTakenApart().size();
}

// A stalled head with a dead member is dissolved with the first plan after both are known, listed or not.
TEST(ReplicaHealth, DeadMemberOfStalledHeadIsReplacedAtOnce)
{
    CutWorld world(largeDomains);
    const auto& members = world.members().begin()->second;
    EXPECT_LE(timeUntilHeadLeaves(world, members.front(), [&] { world.kill(members.back()); }), Milliseconds(800))
        << "the stall is known after 500 ms";
}

TEST(ReplicaHealth, EndedHeadIsReplacedAtOnce)
{
    for (HostContact contact : { HostContact::Ended, HostContact::Refused }) {
        CutWorld world(largeDomains);
        const auto& members = world.members().begin()->second;
        world.kill(members.front(), contact);
        world.run(Milliseconds(300));
        ReplicaPlanner::Summary summary
            = world.planner.summary({ world.now, world.table, world.service, world.wantedReplicas,
                [](std::string_view) { return HostContact::Unknown; }, [](std::string_view) { return false; } });
        EXPECT_EQ(summary.health[HealthState::Broken], 1u) << name(contact);
        world.run(Milliseconds(600)); // After which a head that refuses without notice has ended.
        bool areMembersFree
            = contact == HostContact::Ended || !world.ordersTo(members.back(), OrderKind::Leave).empty();
        EXPECT_TRUE(areMembersFree);
    }
}

// Idle replicas show no stall, so a dead member is told by what other nodes reach.
TEST(ReplicaHealth, DeadMemberOfIdleHeadIsReplacedOnceUnlisted)
{
    CutWorld world(smallDomains);
    world.hasTraffic = false;
    const auto& members = world.members().begin()->second;
    EXPECT_LE(timeUntilHeadLeaves(world, members.front(), [&] { world.kill(members.back()); }), Milliseconds(4000))
        << "it is unlisted after 3600 ms";
}

// An unlisted head whose entry does not return within the usual length of a partition is replaced.
TEST(ReplicaHealth, HeadThatStaysUnlistedIsReplaced)
{
    CutWorld world(smallDomains);
    const auto& [key, members] = *world.members().begin();
    world.cut(members.front(), std::chrono::minutes(2), HostContact::Unreachable);
    world.run(Milliseconds(15'000));
    EXPECT_TRUE(world.wholeTakenApart().empty()) << "its entry may return";
    world.run(Milliseconds(5000));
    std::vector<ReplicaPlanner::HealthChange> changes = world.planner.takeHealthChanges();
    EXPECT_TRUE(std::ranges::any_of(
        changes, [](const auto& change) { return change.health.reason == HealthReason::HeadUnlisted; }));
    world.contacts[members.front()] = HostContact::UnreachableByAll;
    world.run(Milliseconds(2000));
    EXPECT_FALSE(world.ordersTo(members.back(), OrderKind::Leave).empty());
}

TEST(ReplicaHealth, OnlyProgressAfterTheSuspicionProvesThatNoneIsMissing)
{
    ReplicaEvidence evidence = evidenceOfSilentMember();
    evidence.progressAt = start - Milliseconds(300);
    EXPECT_EQ(assessHealth(evidence, suspectSince(start - Milliseconds(200))).state, HealthState::InDoubt);
    EXPECT_EQ(assessHealth(evidence, suspectSince(start - Milliseconds(400))).state, HealthState::Whole);
    EXPECT_EQ(assessHealth(evidence, suspectSince(start - Milliseconds(400))).reason, HealthReason::Progress);
    evidence.progressAt = start - Milliseconds(1600);
    EXPECT_EQ(assessHealth(evidence, suspectSince(start - Milliseconds(2000))).state, HealthState::Broken)
        << "the progress has ended although requests are in flight";
}

TEST(ReplicaHealth, AStallOutweighsEarlierProgress)
{
    ReplicaEvidence evidence = evidenceOfSilentMember();
    evidence.progressAt = start - Milliseconds(300);
    evidence.isStalled = true;
    EXPECT_EQ(assessHealth(evidence, suspectSince(start - Milliseconds(400))).state, HealthState::Broken);
}

// Hosts that return from a cut were last found silent during it.
TEST(ReplicaHealth, ASilenceIsConfirmedBeforeItCounts)
{
    ReplicaEvidence evidence = evidenceOfSilentMember();
    evidence.inFlight = 0;
    evidence.hosts[1].contact = HostContact::UnreachableByAll;
    EXPECT_EQ(assessHealth(evidence, {}).state, HealthState::InDoubt);
    EXPECT_EQ(assessHealth(evidence, suspectSince(start - Milliseconds(700))).state, HealthState::Broken);
}

TEST(ReplicaHealth, KeepsTheBeginningOfADoubt)
{
    ReplicaEvidence evidence = evidenceOfSilentMember();
    evidence.inFlight = 0;
    ReplicaHealth health = assessHealth(evidence, {});
    EXPECT_EQ(health.state, HealthState::InDoubt);
    EXPECT_EQ(health.hostId, "member");
    evidence.now += Milliseconds(700);
    EXPECT_EQ(assessHealth(evidence, health).suspectSince(), start);
    evidence.hosts[1].isListed = true;
    evidence.hosts[1].contact = HostContact::Reachable;
    EXPECT_EQ(assessHealth(evidence, health).suspectSince(), std::nullopt);
    EXPECT_EQ(assessHealth(evidence, health).state, HealthState::Whole);
}

TEST(ReplicaHealth, ValidityOfProgressFollowsTheEngine)
{
    CutWorld world(smallDomains);
    const ModelSpec& model = world.service.models.front();
    Milliseconds usual = progressValidity(world.service, model);
    world.service.timing.stepMs *= 10;
    EXPECT_GT(progressValidity(world.service, model), usual + Milliseconds(500));
    world.service.timing = {};
    world.service.capacity = 0;
    EXPECT_GT(progressValidity(world.service, model), Milliseconds(0)) << "the reports of other nodes are delayed";
}

// Cuts, deaths and changes of the controller in any order: no host joins a second replica while its head may serve, and
// no replica that has all of its hosts is dissolved.
RC_GTEST_PROP(ReplicaHealth, NeverTakesApartWhatIsWhole, ())
{
    CutWorld world(*rc::gen::element(largeDomains, smallDomains));
    std::vector<std::string> hosts;
    for (const auto& [key, members] : world.members())
        hosts.insert(hosts.end(), members.begin(), members.end());
    int events = *rc::gen::inRange(1, 25);
    uint64_t fencing = 8;
    for (int i = 0; i < events; ++i) {
        const std::string& host = hosts[*rc::gen::inRange<size_t>(0, hosts.size())];
        int kind = *rc::gen::weightedElement<int>({ { 6, 0 }, { 2, 1 }, { 1, 2 } });
        if (kind == 0)
            world.cut(host, Milliseconds(*rc::gen::inRange(500, 9000)), HostContact::Unreachable);
        else if (kind == 1)
            world.kill(host);
        else
            world.startTerm(fencing++);
        world.run(Milliseconds(*rc::gen::inRange(100, 2000)));
    }
    world.run(Milliseconds(10'000));
    RC_ASSERT(world.joinedTwice().empty());
    RC_ASSERT(world.wholeTakenApart().empty());
}

} // namespace Kumquatpick
