#include "fleet/ordercounts.h"

#include <gtest/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

    class OrderCountsTest : public testing::Test {
    protected:
        OrderCountsTest()
        {
            Host host;
            host.id = "a";
            hosts.applyListEntry(host, start);
        }

        void report(uint64_t orders, MonotonicTime at, std::optional<Membership> membership = {})
        {
            HostStatus status;
            status.ordersAccepted = orders;
            status.membership = std::move(membership);
            hosts.applyReport("a", status, at);
        }

        void runOrder(OrderKind kind, OrderResult result, MonotonicTime at, uint64_t epoch = 5)
        {
            HostOrder order;
            order.kind = kind;
            order.hostId = "a";
            order.replica = "replica";
            order.epoch = epoch;
            counts.beginOrder(order, hosts);
            counts.endOrder(order, result, at);
        }

        HostTable hosts;
        OrderCounts counts;
    };

}

// The count is the condition of the next join, so a host that accepted an unknown order refuses it.
TEST_F(OrderCountsTest, AssumesNoOrdersForABlankHost) { EXPECT_EQ(counts.currentCount(hosts, "a"), 0u); }

TEST_F(OrderCountsTest, HasNoCountBeforeAReport)
{
    Host used;
    used.id = "a";
    used.status.stagedModels = { "large" };
    hosts.applyListEntry(used, start);
    EXPECT_FALSE(counts.currentCount(hosts, "a"));
    runOrder(OrderKind::Join, OrderResult::Accepted, start + Milliseconds(10));
    EXPECT_FALSE(counts.currentCount(hosts, "a"));
    report(7, start + Milliseconds(20));
    EXPECT_EQ(counts.currentCount(hosts, "a"), 7u);
}

// Reports lag by about 200 ms; without this count, each move of a host would wait for one.
TEST_F(OrderCountsTest, CountsOrdersThatTheHostStarted)
{
    report(1, start);
    runOrder(OrderKind::Stage, OrderResult::Accepted, start + Milliseconds(10));
    runOrder(OrderKind::Join, OrderResult::Accepted, start + Milliseconds(20));
    runOrder(OrderKind::Join, OrderResult::Holds, start + Milliseconds(30));
    EXPECT_EQ(counts.currentCount(hosts, "a"), 3u);
    report(1, start + Milliseconds(25));
    EXPECT_EQ(counts.currentCount(hosts, "a"), 3u) << "the report is older than the last order's end";
    report(4, start + Milliseconds(40));
    EXPECT_EQ(counts.currentCount(hosts, "a"), 4u) << "the host accepted an order from another sender";
}

// A leave is answered the same way whether or not the host was a member, but only a member counts it. Wrong counts
// left a pool of staged hosts idle for ten seconds, because each round of joins failed at the hosts concerned.
TEST_F(OrderCountsTest, CountsALeaveOnlyOfAMember)
{
    report(1, start);
    runOrder(OrderKind::Leave, OrderResult::Holds, start + Milliseconds(10));
    EXPECT_EQ(counts.currentCount(hosts, "a"), 1u) << "the host reported no membership";
    runOrder(OrderKind::Join, OrderResult::Accepted, start + Milliseconds(20));
    runOrder(OrderKind::Leave, OrderResult::Holds, start + Milliseconds(30));
    EXPECT_EQ(counts.currentCount(hosts, "a"), 3u) << "the host accepted the join, although no report shows it yet";
    runOrder(OrderKind::Leave, OrderResult::Holds, start + Milliseconds(40));
    EXPECT_FALSE(counts.currentCount(hosts, "a")) << "without a report or a join, the membership is unknown";
    report(3, start + Milliseconds(50), Membership { "replica", 6, 0, MemberState::Ready });
    runOrder(OrderKind::Leave, OrderResult::Holds, start + Milliseconds(60), 6);
    EXPECT_EQ(counts.currentCount(hosts, "a"), 4u);
}

TEST_F(OrderCountsTest, WaitsForAReportAfterAnOrderWithoutAClearAnswer)
{
    MonotonicTime at = start;
    uint64_t orders = 1;
    for (OrderResult result : { OrderResult::Lost, OrderResult::Unfit, OrderResult::Fenced }) {
        report(orders, at += Milliseconds(100));
        runOrder(OrderKind::Join, result, at + Milliseconds(10));
        EXPECT_FALSE(counts.currentCount(hosts, "a")) << name(result);
        report(orders, at + Milliseconds(5));
        EXPECT_FALSE(counts.currentCount(hosts, "a")) << name(result) << ", an older report";
        report(++orders, at + Milliseconds(20));
        EXPECT_EQ(counts.currentCount(hosts, "a"), orders) << name(result);
    }
}

} // namespace Kumquatpick
