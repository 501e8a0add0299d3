#include "base/random.h"
#include "suspicion/suspicionstate.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };
    constexpr uint64_t crashingRequest = 99;

    std::vector<SuspicionCount> sorted(std::vector<SuspicionCount> counts)
    {
        std::sort(counts.begin(), counts.end(), [](const auto& left, const auto& right) {
            return std::pair(left.fingerprint, left.observer) < std::pair(right.fingerprint, right.observer);
        });
        return counts;
    }

    bool isEqual(const SuspicionCount& left, const SuspicionCount& right)
    {
        return left.fingerprint == right.fingerprint && left.observer == right.observer && left.deaths == right.deaths
            && left.clearedDeaths == right.clearedDeaths;
    }

} // namespace

// A request is stopped after three server deaths, whatever other requests run beside it or end between its runs.
RC_GTEST_PROP(Suspicion, StopsAfterThreeDeathsForAnyInterleaving, ())
{
    SuspicionState state(1);
    uint32_t deaths = 0;
    auto steps = *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 5));
    MonotonicTime now = start;
    std::vector<std::string> runningReplicas;
    for (uint8_t step : steps) {
        now += Milliseconds(100);
        std::string replica = "r" + std::to_string(*rc::gen::inRange(0, 4));
        uint64_t otherRequest = *rc::gen::inRange<uint64_t>(0, 8);
        if (step == 0 && state.verdict(crashingRequest, now) == SuspicionVerdict::Clear) {
            RC_ASSERT(deaths < SuspicionSettings {}.stopAfterDeaths);
            // Before the first death several copies may run at once; after it only one.
            RC_ASSERT(!deaths || runningReplicas.empty());
            state.dispatched(crashingRequest, replica, now);
            runningReplicas.push_back(replica);
        } else if (step == 1 && state.verdict(otherRequest, now) == SuspicionVerdict::Clear) {
            state.dispatched(otherRequest, replica, now);
        } else if (step == 2) {
            state.finished(otherRequest, replica, now);
        } else if (!runningReplicas.empty()) {
            std::string dead = runningReplicas.back();
            state.replicaDied(dead, now);
            std::erase(runningReplicas, dead);
            ++deaths;
            RC_ASSERT(state.deaths(crashingRequest, now) >= std::min(deaths, SuspicionSettings {}.stopAfterDeaths));
        }
    }
    if (deaths >= SuspicionSettings {}.stopAfterDeaths)
        RC_ASSERT(state.verdict(crashingRequest, now) == SuspicionVerdict::Stopped);
}

// Gossip may arrive in any order, repeated and in parts; the resulting counts must be the same.
RC_GTEST_PROP(Suspicion, MergeIsCommutativeAndIdempotent,
    (const std::vector<std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>>& raw))
{
    std::vector<SuspicionCount> counts;
    counts.reserve(raw.size());
    for (auto [fingerprint, observer, deaths, clearedDeaths] : raw)
        counts.push_back({ fingerprint % 4U, 2U + observer % 3U, deaths % 5U, clearedDeaths % 5U });
    SuspicionState inOrder(1);
    inOrder.merge(counts, start);
    auto shuffled = counts;
    Random random(*rc::gen::arbitrary<uint64_t>());
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    SuspicionState other(1);
    other.merge(counts, start);
    other.merge(shuffled, start);
    for (uint64_t fingerprint = 0; fingerprint < 4; ++fingerprint)
        RC_ASSERT(inOrder.deaths(fingerprint, start) == other.deaths(fingerprint, start));
    auto left = sorted(inOrder.counts());
    auto right = sorted(other.counts());
    RC_ASSERT(std::equal(left.begin(), left.end(), right.begin(), right.end(), isEqual));
}

TEST(Suspicion, DeathsObservedByDifferentNodesAddUp)
{
    SuspicionState first(1);
    SuspicionState second(2);
    SuspicionState fresh(3);
    first.dispatched(crashingRequest, "a", start);
    first.replicaDied("a", start);
    second.dispatched(crashingRequest, "b", start);
    second.replicaDied("b", start);
    second.merge(first.counts(), start);
    second.dispatched(crashingRequest, "c", start);
    second.replicaDied("c", start);
    EXPECT_EQ(second.verdict(crashingRequest, start), SuspicionVerdict::Stopped);
    EXPECT_GT(second.retryAfter(crashingRequest, start), Milliseconds(0));
    // A node that starts later gets all counts from the second node, even if the first has left.
    fresh.merge(second.counts(), start);
    EXPECT_EQ(fresh.verdict(crashingRequest, start), SuspicionVerdict::Stopped);
    // After an hour one run is allowed; a death during that run stops the request again.
    auto later = start + SuspicionSettings {}.stopDuration;
    EXPECT_EQ(fresh.verdict(crashingRequest, later), SuspicionVerdict::Clear);
    fresh.dispatched(crashingRequest, "d", later);
    EXPECT_EQ(fresh.verdict(crashingRequest, later), SuspicionVerdict::AlreadyRunning);
    fresh.replicaDied("d", later);
    EXPECT_EQ(fresh.verdict(crashingRequest, later), SuspicionVerdict::Stopped);
}

// Guards against counting the death of one server once per node when several nodes run the same request on it.
TEST(Suspicion, OneDeathObservedByManyNodesCountsOnce)
{
    std::vector<SuspicionState> nodes { SuspicionState(1), SuspicionState(2), SuspicionState(3), SuspicionState(4) };
    for (int i = 0; i < 2; ++i) {
        MonotonicTime now = start + std::chrono::minutes(i);
        for (SuspicionState& node : nodes) {
            if (&node != &nodes[1] || i == 0)
                node.dispatched(7, "a", now);
            // Reported by a broken stream and again by the probes.
            node.replicaDied("a", now);
            node.replicaDied("a", now + Milliseconds(300));
        }
        for (SuspicionState& node : nodes) {
            for (const SuspicionState& other : nodes)
                node.merge(other.counts(), now);
            EXPECT_EQ(node.deaths(7, now), uint32_t(i + 1));
        }
    }
    // Deaths without ids are added up, because duplicates among them cannot be detected.
    std::vector<SuspicionCount> unnamed { { 8, 5, 1 }, { 8, 6, 2 } };
    nodes[0].merge(unnamed, start);
    EXPECT_EQ(nodes[0].deaths(8, start), 3U);
}

TEST(Suspicion, AnInconclusiveEndNeitherCountsNorClears)
{
    SuspicionState state(1);
    state.dispatched(7, "a", start);
    state.replicaDied("a", start);
    state.dispatched(7, "b", start);
    EXPECT_EQ(state.verdict(7, start), SuspicionVerdict::AlreadyRunning);
    state.withdrawn(7, "b");
    state.replicaDied("b", start);
    EXPECT_EQ(state.verdict(7, start), SuspicionVerdict::Clear);
    EXPECT_EQ(state.deaths(7, start), 1U);
}

TEST(Suspicion, ANormalEndClearsTheRequestOnAllNodes)
{
    SuspicionState here(1);
    SuspicionState there(2);
    for (auto replica : { "a", "b" }) {
        here.dispatched(7, replica, start);
        here.replicaDied(replica, start);
    }
    there.merge(here.counts(), start);
    EXPECT_EQ(there.deaths(7, start), 2U);
    here.dispatched(7, "c", start);
    here.finished(7, "c", start);
    EXPECT_EQ(here.deaths(7, start), 0U);
    there.merge(here.counts(), start);
    EXPECT_EQ(there.deaths(7, start), 0U);
}

TEST(Suspicion, SuspectsAvoidEachOthersReplicas)
{
    SuspicionState state(1);
    state.dispatched(1, "a", start);
    state.dispatched(2, "a", start);
    state.dispatched(3, "b", start);
    state.replicaDied("a", start);
    EXPECT_TRUE(state.replicasToAvoid(2, start).empty());
    state.dispatched(1, "b", start);
    EXPECT_EQ(state.replicasToAvoid(2, start), std::vector<std::string> { "b" });
    EXPECT_TRUE(state.replicasToAvoid(3, start).empty());
}

TEST(Suspicion, MemoryIsBoundedAndStoppedRequestsAreKept)
{
    SuspicionState state(1);
    std::vector<SuspicionCount> stopped { { crashingRequest, 2, SuspicionSettings {}.stopAfterDeaths } };
    state.merge(stopped, start);
    for (uint64_t fingerprint = 1000; fingerprint < 1000 + 2 * SuspicionState::maxSuspects; ++fingerprint) {
        std::vector<SuspicionCount> singleDeath { { fingerprint, 2, 1 } };
        state.merge(singleDeath, start + Milliseconds(fingerprint));
    }
    EXPECT_LE(state.suspects(), SuspicionState::maxSuspects);
    EXPECT_EQ(state.verdict(crashingRequest, start + Milliseconds(20000)), SuspicionVerdict::Stopped);
    EXPECT_LE(state.counts().size(), SuspicionState::maxGossipCounts);
}

// Guards against stopping what many callers send alike: it runs on each server of a domain that fails at once.
TEST(Suspicion, ANormalEndProtectsFromDeathsSoonAfterIt)
{
    SuspicionState state(1, { .harmlessDuration = Milliseconds(10'000), .namesAreUnique = true });
    state.dispatched(7, "a", start);
    state.finished(7, "a", start);
    for (auto replica : { "b", "c", "d" }) {
        state.dispatched(7, replica, start);
        EXPECT_TRUE(state.replicaDied(replica, start + Milliseconds(500)).empty());
    }
    EXPECT_EQ(state.verdict(7, start + Milliseconds(500)), SuspicionVerdict::Clear);
    // What other nodes counted is cleared for them too.
    std::vector<SuspicionCount> elsewhere { { 7, 2, 3, 0, { 21, 22, 23 } } };
    EXPECT_TRUE(state.merge(elsewhere, start + Milliseconds(600)).empty());
    auto changes = state.takeOwnChanges();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].clearedDeaths, 3u);
    // It is no protection for good.
    auto later = start + std::chrono::minutes(1);
    state.dispatched(8, "e", later);
    state.dispatched(7, "e", later);
    EXPECT_EQ(state.replicaDied("e", later).size(), 2u);
}

// Guards against counting the death of one incarnation twice when a connection to it breaks late.
TEST(Suspicion, AnIncarnationDiesOnce)
{
    SuspicionState here(1, { .namesAreUnique = true });
    SuspicionState there(2, { .namesAreUnique = true });
    here.dispatched(7, "a@1", start);
    here.replicaDied("a@1", start);
    EXPECT_TRUE(here.hasDied("a@1"));
    there.dispatched(7, "a@1", start);
    there.replicaDied("a@1", start + std::chrono::minutes(1));
    there.replicaDied("a@1", start + std::chrono::minutes(2));
    there.merge(here.counts(), start + std::chrono::minutes(2));
    EXPECT_EQ(there.deaths(7, start + std::chrono::minutes(2)), 1u);
    there.dispatched(7, "a@2", start + std::chrono::minutes(3));
    there.replicaDied("a@2", start + std::chrono::minutes(3));
    EXPECT_EQ(there.deaths(7, start + std::chrono::minutes(3)), 2u);
}

// Guards against runs that stay counted as running, or count as deaths, because they were sent over a connection to a
// server that had already died.
TEST(Suspicion, WhatWasSentToADeadServerNeverRan)
{
    SuspicionState state(1, { .namesAreUnique = true });
    state.dispatched(7, "a@1", start);
    state.replicaDied("a@1", start);
    state.dispatched(8, "a@1", start);
    state.dispatched(7, "a@1", start);
    EXPECT_TRUE(state.replicaDied("a@1", start).empty());
    EXPECT_EQ(state.deaths(8, start), 0u);
    EXPECT_EQ(state.deaths(7, start), 1u);
    EXPECT_EQ(state.verdict(7, start), SuspicionVerdict::Clear);
}

TEST(Suspicion, OwnChangesAreTakenOnceAndUrgentFromTheSecondDeath)
{
    SuspicionState state(1, { .namesAreUnique = true });
    state.dispatched(7, "a", start);
    state.replicaDied("a", start);
    EXPECT_FALSE(state.hasUrgentChanges());
    EXPECT_EQ(state.takeOwnChanges().size(), 1u);
    EXPECT_TRUE(state.takeOwnChanges().empty());
    state.dispatched(7, "b", start);
    state.replicaDied("b", start);
    EXPECT_TRUE(state.hasUrgentChanges());
    auto changes = state.takeOwnChanges();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].deaths, 2u);
    EXPECT_FALSE(state.hasUrgentChanges());
}

// A peer that reports a million observers fills no memory.
TEST(Suspicion, ObserversOfARequestAreBounded)
{
    SuspicionState state(1);
    std::vector<SuspicionCount> reported;
    for (uint64_t observer = 2; observer < 1000; ++observer)
        reported.push_back({ 7, observer, 1, 0, { observer } });
    EXPECT_EQ(state.merge(reported, start), (std::vector<Suspect> { { SuspectKind::Request, 7 } }));
    EXPECT_EQ(state.deaths(7, start), SuspicionState::maxObservers);
}

} // namespace Kumquatpick
