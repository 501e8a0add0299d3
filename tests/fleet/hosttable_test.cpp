#include "fleet/hosttable.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

    HostStatus memberOf(uint64_t epoch, MemberState state, std::optional<uint64_t> orders = {})
    {
        HostStatus status;
        status.ordersAccepted = orders;
        status.domain = "d1";
        status.membership = Membership { "replica-" + std::to_string(epoch), epoch, 0, state };
        return status;
    }

    Host hostWith(HostStatus status)
    {
        Host host;
        host.id = "a";
        host.service = "writers";
        host.status = std::move(status);
        return host;
    }

    uint64_t epochOfA(const HostTable& table) { return table.find("a")->status.membership->epoch; }

}

// The list is delayed: an entry that arrives just after a report is older than the report.
TEST(HostTable, KeepsAReportUntilTheListCatchesUp)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    table.applyReport("a", memberOf(2, MemberState::Joining, 3), start + Milliseconds(100));
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start + Milliseconds(400));
    EXPECT_EQ(epochOfA(table), 2u);
}

TEST(HostTable, UsesTheListOnceItHadTimeToCatchUp)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    table.applyReport("a", memberOf(2, MemberState::Joining, 3), start + Milliseconds(100));
    table.applyListEntry(hostWith(memberOf(2, MemberState::Ready)), start + Milliseconds(1600));
    EXPECT_EQ(table.find("a")->status.membership->state, MemberState::Ready);
}

// Epochs only grow within an incarnation, whatever the delay of the list.
TEST(HostTable, NeverGoesBackToAnEarlierEpoch)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    table.applyReport("a", memberOf(2, MemberState::Joining, 3), start + Milliseconds(100));
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start + Milliseconds(5000));
    table.expireReports(start + Milliseconds(9000));
    EXPECT_EQ(epochOfA(table), 2u);
}

TEST(HostTable, ReturnsToTheListWhenReportsStop)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    table.applyReport("a", memberOf(2, MemberState::Joining, 3), start + Milliseconds(100));
    table.applyListEntry(hostWith(memberOf(3, MemberState::Joining)), start + Milliseconds(900));
    EXPECT_EQ(epochOfA(table), 2u);
    table.expireReports(start + Milliseconds(2700));
    EXPECT_EQ(epochOfA(table), 3u);
}

// The list took over in between, so only the order count shows that the report is outdated.
TEST(HostTable, IgnoresADelayedReportAfterTheListTookOver)
{
    HostTable table;
    table.applyListEntry(hostWith({}), start);
    table.applyReport("a", memberOf(2, MemberState::Open, 4), start + Milliseconds(100));
    table.applyListEntry(hostWith(memberOf(2, MemberState::Open)), start + Milliseconds(3000));
    ASSERT_FALSE(table.find("a")->status.ordersAccepted);
    EXPECT_EQ(table.ordersAccepted("a"), 4u);
    HostStatus delayed;
    delayed.ordersAccepted = 3;
    table.applyReport("a", delayed, start + Milliseconds(3100));
    ASSERT_TRUE(table.find("a")->status.membership);
    EXPECT_EQ(epochOfA(table), 2u);
}

// A host can join its last model again without loading, even if it runs none now.
TEST(HostTable, KeepsTheLastModelOfAHost)
{
    HostTable table;
    HostStatus member = memberOf(1, MemberState::Ready);
    member.model = "large";
    table.applyListEntry(hostWith(member), start);
    table.applyReport("a", HostStatus { 4, {}, {}, {}, {}, {} }, start + Milliseconds(100));
    EXPECT_FALSE(table.find("a")->status.membership);
    EXPECT_EQ(table.find("a")->status.lastModel, "large");
    table.applyListEntry(hostWith({}), start + Milliseconds(3000));
    EXPECT_EQ(table.find("a")->status.lastModel, "large");
    table.removeListEntry("a");
    table.applyListEntry(hostWith({}), start + Milliseconds(4000));
    EXPECT_EQ(table.find("a")->status.lastModel, "") << "an unlisted entry may hide a restart";
}

TEST(HostTable, IgnoresALateReport)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    table.applyReport("a", memberOf(3, MemberState::Joining, 5), start + Milliseconds(100));
    table.applyReport("a", memberOf(2, MemberState::Open, 4), start + Milliseconds(200));
    table.applyReport("a", memberOf(2, MemberState::Open, 6), start + Milliseconds(50));
    EXPECT_EQ(epochOfA(table), 3u);
}

// For an unchanged heartbeat, nothing is recomputed, neither here nor at nodes that read the list from this one.
TEST(HostTable, KeepsItsVersionForAnUnchangedEntry)
{
    HostTable table;
    EXPECT_TRUE(table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start));
    uint64_t version = table.version();
    EXPECT_FALSE(table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start + Milliseconds(1200)));
    EXPECT_EQ(table.version(), version);
    EXPECT_TRUE(table.applyListEntry(hostWith(memberOf(1, MemberState::Closing)), start + Milliseconds(2400)));
    EXPECT_GT(table.version(), version);
}

// An unchanged entry is not sent again while the list is still being read.
TEST(HostTable, ReturnsToAnEntryThatWasNotRepeated)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(3, MemberState::Open)), start);
    table.applyReport("a", memberOf(3, MemberState::Broken, 3), start + Milliseconds(100));
    table.expireReports(start + Milliseconds(2700));
    EXPECT_EQ(table.find("a")->status.membership->state, MemberState::Broken) << "the list was not read since";
    table.setListReadAt(start + Milliseconds(2800));
    table.expireReports(start + Milliseconds(2800));
    EXPECT_EQ(table.find("a")->status.membership->state, MemberState::Open);
}

// A member that lost its connection to the store still serves. A head gets no more requests, because its removal from
// the list may mean that it is draining.
TEST(HostTable, CountsAnUnlistedMember)
{
    HostTable table;
    Host head = hostWith(memberOf(1, MemberState::Open));
    Host member = hostWith(memberOf(1, MemberState::Ready));
    member.id = "b";
    member.address = { "10.0.0.2", 1 };
    member.status.membership->rank = 1;
    table.applyListEntry(head, start);
    table.applyListEntry(member, start);
    table.removeListEntry("b");
    EXPECT_EQ(table.find("b"), nullptr);
    ASSERT_EQ(table.replicas().size(), 1u);
    EXPECT_TRUE(table.replicas()[0].isComplete(2));
    table.applyReport("b", memberOf(2, MemberState::Joining, 5), start + Milliseconds(100));
    EXPECT_FALSE(table.replicas()[0].isComplete(2)) << "it joined another replica";
    table.applyListEntry(member, start + Milliseconds(200));
    table.removeListEntry("b");
    table.expireReports(start + Milliseconds(16'000));
    EXPECT_FALSE(table.replicas()[0].isComplete(2)) << "it was gone for long";
    table.removeListEntry("a");
    EXPECT_TRUE(table.replicas().empty());
}

// The entry of the earlier incarnation is removed only some seconds after the host has restarted.
TEST(HostTable, DropsTheEarlierIncarnationAtAnAddress)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    Host later = hostWith({});
    later.id = "a-again";
    table.applyListEntry(later, start + Milliseconds(100));
    EXPECT_EQ(table.find("a"), nullptr);
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start + Milliseconds(200));
    EXPECT_EQ(table.find("a"), nullptr) << "a late heartbeat";
    table.removeListEntry("a");
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start + Milliseconds(9000));
    EXPECT_NE(table.find("a-again"), nullptr);
    EXPECT_NE(table.find("a-again"), nullptr);
}

// The later incarnation has no earlier state, and late messages of the earlier one have no effect.
TEST(HostTable, DistinguishesIncarnationsOfOneName)
{
    HostTable table;
    Host earlier = hostWith(memberOf(1, MemberState::Open));
    earlier.id = incarnationId("a", 1000);
    earlier.status.model = "large";
    table.applyListEntry(earlier, start);
    table.applyReport(earlier.id, memberOf(1, MemberState::Open, 9), start + Milliseconds(100));
    Host later = hostWith({});
    later.id = incarnationId("a", 2000);
    table.applyListEntry(later, start + Milliseconds(200));
    EXPECT_EQ(table.find(earlier.id), nullptr);
    ASSERT_EQ(table.findByName("a"), table.find(later.id));
    EXPECT_EQ(table.find(later.id)->status.lastModel, "");
    EXPECT_FALSE(table.ordersAccepted(later.id));

    table.applyListEntry(earlier, start + Milliseconds(300));
    table.applyReport(earlier.id, memberOf(1, MemberState::Open, 10), start + Milliseconds(400));
    Host untold = hostWith(memberOf(1, MemberState::Open));
    table.applyListEntry(untold, start + Milliseconds(500));
    EXPECT_EQ(table.hosts().size(), 1u);
    EXPECT_FALSE(table.findByName("a")->status.membership);
    table.removeListEntry(later.id);
    table.applyListEntry(earlier, start + Milliseconds(600));
    EXPECT_TRUE(table.hosts().empty()) << "an earlier start, also after the later one has gone";
}

// Guards against one entry of another writer, with a start time in the future, keeping a live host off the list for
// good.
TEST(HostTable, ReturnsToAHostThatOutlastsAnEntryWithAnOddStartTime)
{
    HostTable table;
    Host real = hostWith({});
    real.id = incarnationId("a", 1000);
    table.applyListEntry(real, start);
    Host odd = real;
    odd.id = incarnationId("a", uint64_t(1) << 53);
    odd.address.port = 9;
    table.applyListEntry(odd, start + Milliseconds(100));
    MonotonicTime at = start;
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(table.applyListEntry(real, at += Milliseconds(1200))) << "nodes that read here count as well";
    EXPECT_NE(table.find(real.id), nullptr);
    EXPECT_EQ(table.find(odd.id), nullptr);
}

// The same for one with the address of a live host.
TEST(HostTable, ReturnsToAHostThatOutlastsAnEntryWithItsAddress)
{
    HostTable table;
    Host real = hostWith({});
    table.applyListEntry(real, start);
    Host odd = real;
    odd.id = "odd";
    table.applyListEntry(odd, start + Milliseconds(100));
    MonotonicTime at = start;
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(table.applyListEntry(real, at += Milliseconds(1200)));
    EXPECT_NE(table.find("a"), nullptr);
    EXPECT_EQ(table.find("odd"), nullptr);
    table.applyListEntry(odd, at + Milliseconds(10)); // A listing repeats it.
    EXPECT_NE(table.find("a"), nullptr);
}

// A restarted host that is alive writes between late heartbeats of its earlier incarnation.
TEST(HostTable, KeepsALaterIncarnationThatGoesOnWriting)
{
    HostTable table;
    Host earlier = hostWith({});
    earlier.id = incarnationId("a", 1000);
    Host later = hostWith({});
    later.id = incarnationId("a", 2000);
    MonotonicTime at = start;
    for (int i = 0; i < 20; ++i) {
        table.applyListEntry(later, at += Milliseconds(1000));
        table.applyListEntry(earlier, at += Milliseconds(1000));
        EXPECT_EQ(table.findByName("a"), table.find(later.id));
        EXPECT_TRUE(table.applyListEntry(later, at + Milliseconds(10))) << "overrules the other at further nodes";
    }
}

TEST(HostTable, GroupsTheMembersOfAReplica)
{
    HostTable table;
    Host head = hostWith(memberOf(1, MemberState::Open));
    Host member = hostWith(memberOf(1, MemberState::Ready));
    member.id = "b";
    member.address.port = 2;
    member.status.membership->rank = 1;
    table.applyListEntry(head, start);
    table.applyListEntry(member, start);
    auto replicas = table.replicas();
    ASSERT_EQ(replicas.size(), 1u);
    EXPECT_EQ(replicas[0].head->id, "a");
    EXPECT_EQ(replicas[0].members.size(), 2u);
    table.removeListEntry("a");
    EXPECT_EQ(table.replicas()[0].head, nullptr);
}

// Guards against a fault in which a host that reported draining was used again when its entry arrived without the flag.
TEST(HostTable, KeepsAHostDrainingWhateverItsEntrySays)
{
    HostTable table;
    table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start);
    uint64_t before = table.version();
    EXPECT_TRUE(table.markDraining("a"));
    EXPECT_FALSE(table.markDraining("a")) << "it was known";
    EXPECT_TRUE(table.find("a")->draining);
    EXPECT_GT(table.version(), before) << "views of the table are rebuilt";
    before = table.version();
    EXPECT_FALSE(table.applyListEntry(hostWith(memberOf(1, MemberState::Open)), start + Milliseconds(1200)));
    EXPECT_TRUE(table.find("a")->draining);
    EXPECT_EQ(table.version(), before);
    table.removeListEntry("a");
    table.applyListEntry(hostWith(memberOf(2, MemberState::Open)), start + Milliseconds(3000));
    EXPECT_TRUE(table.find("a")->draining) << "the same process";
    Host next = hostWith(memberOf(3, MemberState::Open));
    next.id = incarnationId("a", 1000);
    table.applyListEntry(next, start + Milliseconds(9000));
    EXPECT_FALSE(table.findByName("a")->draining) << "a restarted process has not said so";
}

// What a server was doing when it ended is judged by how it left: replaced, gone, or drained before.
TEST(HostTable, TellsHowHostsLeft)
{
    HostTable table;
    Host host = hostWith({});
    host.address = { "10.0.0.1", 80 };
    host.id = "a@1";
    table.applyListEntry(host, start);
    host.id = "a@2"; // Starts again under its name.
    table.applyListEntry(host, start + Milliseconds(100));
    host.id = "b@3"; // Another one at the same address.
    table.applyListEntry(host, start + Milliseconds(200));
    host.draining = true;
    table.applyListEntry(host, start + Milliseconds(300));
    table.removeListEntry("b@3");
    auto gone = table.takeGone();
    ASSERT_EQ(gone.size(), 3u);
    EXPECT_TRUE(gone[0].id == "a@1" && gone[0].isReplaced && !gone[0].wasDraining);
    EXPECT_TRUE(gone[1].id == "a@2" && gone[1].isReplaced && !gone[1].wasDraining);
    EXPECT_TRUE(gone[2].id == "b@3" && !gone[2].isReplaced && gone[2].wasDraining);
    EXPECT_TRUE(table.takeGone().empty());
}

// A head whose entry expired may be back; one that removed its entry will end. Neither takes new requests.
TEST(HostTable, TellsExpiredFromWithdrawnHeads)
{
    for (bool isExpired : { true, false }) {
        HostTable table;
        table.setHeartbeat(Milliseconds(1200));
        Host head = hostWith(memberOf(1, MemberState::Open));
        Host member = hostWith(memberOf(1, MemberState::Ready));
        member.id = "b";
        member.address = { "10.0.0.2", 1 };
        member.status.membership->rank = 1;
        table.applyListEntry(member, start);
        table.applyListEntry(head, start);
        if (!isExpired)
            table.applyListEntry(head, start + Milliseconds(3000));
        table.setListReadAt(start + Milliseconds(3700));
        table.removeListEntry(head.id);
        ASSERT_EQ(table.replicas().size(), 1u);
        ReplicaView view = table.replicas()[0];
        EXPECT_EQ(view.head, nullptr);
        ASSERT_NE(view.unlistedHead, nullptr);
        EXPECT_EQ(view.isHeadWithdrawn, !isExpired);
        EXPECT_TRUE(view.isComplete(2));
        table.applyReport(head.id, memberOf(1, MemberState::Ready, 5), start + Milliseconds(4000));
        EXPECT_EQ(table.replicas()[0].unlistedHead, nullptr) << "it reports that it serves no more";
    }
}

// Guards against one replica made of the hosts of two services: controllers of earlier versions numbered the replicas
// of each service alike.
TEST(HostTable, KeepsReplicasOfTwoServicesApart)
{
    HostTable table;
    int hosts = 0;
    for (const char* service : { "writers", "writers-new", "writers", "writers-new" }) {
        Host host = hostWith(memberOf(1, hosts < 2 ? MemberState::Open : MemberState::Ready));
        host.id = "host-" + std::to_string(hosts);
        host.address = { "10.0.0.1", static_cast<uint16_t>(1000 + hosts) };
        host.service = service;
        host.status.membership->rank = hosts < 2 ? 0 : 1;
        table.applyListEntry(host, start);
        ++hosts;
    }
    auto expectApart = [&table](size_t listed, size_t unlisted) {
        auto replicas = table.replicas();
        ASSERT_EQ(replicas.size(), 2u);
        for (const ReplicaView& replica : replicas) {
            ASSERT_TRUE(replica.head);
            EXPECT_EQ(replica.head->service, replica.service);
            EXPECT_EQ(replica.members.size(), replica.service == "writers" ? listed : 2u);
            EXPECT_EQ(replica.recentlyUnlisted.size(), replica.service == "writers" ? unlisted : 0u);
        }
    };
    expectApart(2, 0);
    table.removeListEntry("host-2");
    expectApart(1, 1);
}

} // namespace Kumquatpick
