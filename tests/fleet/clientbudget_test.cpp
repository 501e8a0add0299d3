#include "fleet/clientbudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t kibibyte = 1024;
    constexpr MonotonicTime start {};

    ClientBudget::Id addWith(ClientBudget& budget, size_t bytes, ClientStage stage, MonotonicTime at)
    {
        ClientBudget::Id id = budget.add(at);
        budget.setStage(id, stage, at);
        budget.setBytes(id, bytes);
        return id;
    }

}

TEST(ClientBudget, EndsTheOneThatHoldsMostForLongest)
{
    ClientBudget budget({ 1000 * kibibyte, 100 });
    addWith(budget, 100 * kibibyte, ClientStage::Receiving, start + 9s); // 100 KiB for a second.
    auto slow = addWith(budget, 60 * kibibyte, ClientStage::Receiving, start); // 60 KiB for ten.
    addWith(budget, 8 * kibibyte, ClientStage::Idle, start - 20s); // 8 KiB for thirty.
    EXPECT_EQ(budget.endForBytes(start + 10s), slow);
}

TEST(ClientBudget, DoesNotEndTheNewcomer)
{
    ClientBudget budget({ 1000 * kibibyte, 3 });
    const std::vector<ClientBudget::Id> held { addWith(budget, 300 * kibibyte, ClientStage::Receiving, start),
        addWith(budget, 300 * kibibyte, ClientStage::Receiving, start + 1s),
        addWith(budget, 300 * kibibyte, ClientStage::Receiving, start + 2s) };
    auto newcomer = addWith(budget, 10 * kibibyte, ClientStage::Receiving, start + 5s);
    EXPECT_FALSE(budget.willFit(200 * kibibyte));
    EXPECT_EQ(budget.endForBytes(start + 5s), held[0]);
    EXPECT_TRUE(budget.willFit(200 * kibibyte));
    EXPECT_FALSE(budget.fits(200 * kibibyte)) << "it still holds what it has";
    budget.remove(held[0]);
    EXPECT_TRUE(budget.fits(200 * kibibyte));
    EXPECT_NE(budget.endForBytes(start + 5s), newcomer);
}

// The crowd holds as much as the budget has, and callers come and go: the crowd goes first, whatever the order in which
// they came.
TEST(ClientBudget, LetsOrdinaryCallersThroughACrowd)
{
    constexpr size_t crowdBytes = 500 * kibibyte;
    constexpr size_t callerBytes = 40 * kibibyte;
    ClientBudget budget({ 4000 * kibibyte, 1000 });
    std::set<ClientBudget::Id> crowd;
    MonotonicTime now = start;
    for (int i = 0; i < 200; ++i, now += 50ms) {
        auto caller = addWith(budget, 0, ClientStage::Receiving, now);
        auto hog = addWith(budget, 0, ClientStage::Receiving, now);
        crowd.insert(hog);
        for (auto [id, bytes] : { std::pair(hog, crowdBytes), std::pair(caller, callerBytes) }) {
            while (!budget.fits(bytes)) {
                auto ended = budget.endForBytes(now);
                ASSERT_TRUE(ended && crowd.contains(*ended)) << "a caller was ended at " << i;
                budget.remove(*ended);
                crowd.erase(*ended);
            }
            if (id == caller || crowd.contains(id))
                budget.setBytes(id, bytes);
        }
        now += 10ms;
        budget.remove(caller);
    }
}

TEST(ClientBudget, SparesRunningRequestsUnlessTheyHoldFarMore)
{
    ClientBudget budget({ 1000 * kibibyte, 100 });
    auto running = addWith(budget, 40 * kibibyte, ClientStage::Running, start);
    auto receiving = addWith(budget, 10 * kibibyte, ClientStage::Receiving, start);
    EXPECT_EQ(budget.endForBytes(start + 1s), receiving);
    budget.remove(receiving);
    receiving = addWith(budget, 10 * kibibyte, ClientStage::Receiving, start);
    budget.setBytes(running, 800 * kibibyte);
    EXPECT_EQ(budget.endForBytes(start + 1s), running);
}

TEST(ClientBudget, EndsNoRunningRequestForAnotherConnection)
{
    ClientBudget budget({ 1000 * kibibyte, 3 });
    addWith(budget, 500 * kibibyte, ClientStage::Running, start);
    auto older = addWith(budget, kibibyte, ClientStage::Idle, start + 1s);
    auto newer = addWith(budget, kibibyte, ClientStage::Idle, start + 2s);
    EXPECT_FALSE(budget.fitsConnection());
    EXPECT_EQ(budget.endForConnection(start + 3s), older);
    budget.releaseDescriptor(older);
    EXPECT_TRUE(budget.fitsConnection()) << "its descriptor is free before its memory is";
    EXPECT_EQ(budget.endForConnection(start + 3s), newer);
    EXPECT_EQ(budget.endForConnection(start + 3s), std::nullopt);
}

TEST(ClientBudget, EndsAConnectionOnceAndAgainWhileItCloses)
{
    ClientBudget budget({ 100 * kibibyte, 1 });
    auto id = addWith(budget, 90 * kibibyte, ClientStage::Receiving, start);
    EXPECT_EQ(budget.endForBytes(start + 1s), id);
    EXPECT_EQ(budget.endForBytes(start + 1s), std::nullopt);
    EXPECT_EQ(budget.endForConnection(start + 1s), std::nullopt);
    budget.setBytes(id, kibibyte);
    budget.setStage(id, ClientStage::Closing, start + 1s);
    EXPECT_EQ(budget.endForConnection(start + 1s), id) << "the refused client that still lingers";
}

// Whoever has made room gets it before those that ask later.
TEST(ClientBudget, ReleasesRoomInTheOrderInWhichItWasTaken)
{
    ClientBudget budget({ 100 * kibibyte, 10 });
    auto first = addWith(budget, 60 * kibibyte, ClientStage::Receiving, start);
    auto second = addWith(budget, 40 * kibibyte, ClientStage::Receiving, start);
    auto early = addWith(budget, 0, ClientStage::Receiving, start + 1s);
    auto late = addWith(budget, 0, ClientStage::Receiving, start + 1s);
    EXPECT_EQ(budget.endForBytes(start + 2s), first);
    budget.setBytes(early, 60 * kibibyte);
    uint64_t earlyPoint = budget.releasePoint();
    EXPECT_FALSE(budget.willFit(kibibyte)) << "the room of the first one is taken";
    EXPECT_EQ(budget.endForBytes(start + 2s), second);
    budget.setBytes(late, 40 * kibibyte);
    uint64_t latePoint = budget.releasePoint();
    EXPECT_FALSE(budget.hasReleased(earlyPoint));
    budget.remove(first);
    EXPECT_TRUE(budget.hasReleased(earlyPoint));
    EXPECT_FALSE(budget.hasReleased(latePoint));
    budget.remove(second);
    EXPECT_TRUE(budget.hasReleased(latePoint));
}

RC_GTEST_PROP(ClientBudgetProperties, CountsWhatItsConnectionsHold, ())
{
    ClientBudget budget({ 1000 * kibibyte, 16 });
    std::map<ClientBudget::Id, size_t> expected;
    MonotonicTime now = start;
    const auto steps = *rc::gen::container<std::vector<std::pair<uint8_t, uint32_t>>>(
        rc::gen::pair(rc::gen::inRange<uint8_t>(0, 5), rc::gen::inRange<uint32_t>(0, 1'000'000)));
    for (auto [what, value] : steps) {
        now += 1ms;
        auto some = expected.empty() ? expected.end() : std::next(expected.begin(), value % expected.size());
        if (what == 0 || some == expected.end()) {
            expected[budget.add(now)] = 0;
        } else if (what == 1) {
            budget.setBytes(some->first, value);
            some->second = value;
        } else if (what == 2) {
            budget.setStage(some->first, static_cast<ClientStage>(value % 5), now);
        } else if (what == 3) {
            budget.remove(some->first);
            expected.erase(some);
        } else if (auto ended = budget.endForBytes(now)) {
            RC_ASSERT(expected.contains(*ended));
        }
        size_t total = 0;
        for (const auto& [id, bytes] : expected)
            total += bytes;
        RC_ASSERT(budget.bytes() == total);
        RC_ASSERT(budget.connections() == expected.size());
        RC_ASSERT(budget.willFit(0) || total > budget.limits().bytes);
    }
    for (const auto& [id, bytes] : expected)
        budget.remove(id);
    RC_ASSERT(budget.bytes() == 0u);
    RC_ASSERT(budget.willFit(budget.limits().bytes));
}

} // namespace Kumquatpick
