#include "policy/router.h"
#include "policy/servicerouter.h"
#include "policy/subset.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr MonotonicTime start { std::chrono::hours(1) };

    ReplicaSample sample(std::string name, uint32_t running = 0, std::string zone = "z", MonotonicTime at = start)
    {
        return { std::move(name), std::move(zone), 16, running, 0, 0, at };
    }

    RequestShape plain(std::span<const std::string> avoid = {}) { return { "s", "z", {}, avoid }; }

    // Counts how often each replica is chosen in a sequence of requests that each end before the next arrives.
    std::map<std::string, int> choices(
        ServiceRouter& router, const RequestShape& shape, int times, MonotonicTime now, Milliseconds firstToken)
    {
        Random random(7);
        std::map<std::string, int> chosen;
        for (int i = 0; i < times; ++i) {
            std::string replica = router.choose(shape, now, random);
            ++chosen[replica];
            now += firstToken;
            router.firstToken(replica, firstToken, now);
            router.ended(replica, DispatchEnd::Finished, now);
        }
        return chosen;
    }

} // namespace

// After any sequence of events, the chosen replica is serving and not excluded, and no request stays in flight at the
// end.
RC_GTEST_PROP(Router, ChoosesOnlyServingReplicas, (uint32_t seed))
{
    Router router(seed);
    std::vector<std::string> inFlight;
    std::set<std::string> serving;
    MonotonicTime now = start;
    auto steps = *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 6));
    for (uint8_t step : steps) {
        now += Milliseconds(50);
        if (step == 0) {
            serving.clear();
            auto names = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("a", "b", "c"));
            serving.insert(names.begin(), names.end());
            std::vector<ReplicaSample> samples;
            samples.reserve(serving.size());
            for (const std::string& name : serving)
                samples.push_back(sample(name, *rc::gen::inRange(0U, 20U), "z", now - Milliseconds(200)));
            router.setServing("s", samples);
        } else if (step <= 2) {
            std::vector<std::string> avoid { *rc::gen::element<std::string>("a", "b", "none") };
            std::vector<uint64_t> prefixes { 1, *rc::gen::inRange<uint64_t>(2, 5) };
            std::string chosen = router.choose({ "s", "z", prefixes, avoid }, now);
            size_t allowed = serving.size() - serving.count(avoid[0]);
            RC_ASSERT(chosen.empty() == (allowed == 0));
            RC_ASSERT(chosen.empty() || (serving.contains(chosen) && chosen != avoid[0]));
            if (!chosen.empty())
                inFlight.push_back(chosen);
        } else if (step == 3) {
            auto prefix = *rc::gen::inRange<uint64_t>(1, 5);
            bool stored = *rc::gen::arbitrary<bool>();
            router.cacheEvent("s", { *rc::gen::element<std::string>("a", "b", "x"), prefix, stored, !stored });
        } else if (!inFlight.empty()) {
            router.firstToken("s", inFlight.back(), Milliseconds(40), now);
            router.ended("s", inFlight.back(), step == 4 ? DispatchEnd::Finished : DispatchEnd::Failed, now);
            inFlight.pop_back();
        }
    }
    for (const std::string& replica : inFlight)
        router.ended("s", replica, DispatchEnd::CallerGone, now);
    std::vector<ReplicaSample> idle { sample("a", 0, "z", now), sample("b", 0, "z", now) };
    router.setServing("s", idle);
    RC_ASSERT(router.freeStreams("s") == 32U);
}

TEST(Router, OwnDispatchesCorrectALateReport)
{
    ServiceRouter router;
    router.setServing({ sample("a", 4), sample("b", 6) });
    Random random(1);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 10; ++i)
        ++chosen[router.choose(plain(), start + Milliseconds(i), random)];
    // By the report alone, a would always be chosen; the dispatches since then even out the two.
    EXPECT_GE(chosen["b"], 3);
    EXPECT_GE(chosen["a"], 3);
    EXPECT_EQ(router.freeStreams(), 32U - 20U);
}

TEST(Router, AnUnderreportingReplicaIsDetectedByItsFirstTokens)
{
    ServiceRouter router;
    router.setServing({ sample("honest", 8), sample("liar", 0) });
    Random random(1);
    MonotonicTime now = start;
    int late = 0;
    for (int i = 0; i < 200; ++i) {
        std::string chosen = router.choose(plain(), now, random);
        auto seconds = Milliseconds(chosen == "liar" ? 3000 : 300);
        now += seconds;
        router.firstToken(chosen, seconds, now);
        router.ended(chosen, DispatchEnd::Finished, now);
        late += i >= 100 && chosen == "liar";
    }
    EXPECT_LE(late, 5);
}

TEST(Router, FailuresReduceTheWeightAndASuccessRestoresIt)
{
    ServiceRouter router;
    router.setServing({ sample("a"), sample("b"), sample("c") });
    Random random(1);
    MonotonicTime now = start;
    while (router.choose(plain(), now, random) != "a") { }
    double before = router.expectedSeconds("a", now);
    router.ended("a", DispatchEnd::Failed, now);
    EXPECT_GT(router.expectedSeconds("a", now), 3 * before);
    EXPECT_EQ(choices(router, plain(), 20, now, Milliseconds(200)).count("a"), 0U);
    now += std::chrono::minutes(2);
    EXPECT_GT(choices(router, plain(), 60, now, Milliseconds(200))["a"], 5);
}

// The refusal of a full engine counted as a failure, so that under load the best replicas lost weight for being busy.
TEST(Router, ARefusalAsFullCostsNoWeight)
{
    ServiceRouter router;
    router.setServing({ sample("a"), sample("b") });
    Random random(1);
    while (router.choose(plain(), start, random) != "a") { }
    double before = router.expectedSeconds("a", start);
    router.ended("a", DispatchEnd::NotAccepted, start);
    EXPECT_LE(router.expectedSeconds("a", start), before);
}

// A replica that refused a request and asked for a backoff still got the next requests.
TEST(Router, AReplicaThatAskedForABackoffGetsNoRequestsUntilItEnds)
{
    ServiceRouter router;
    router.setServing({ sample("a"), sample("b") });
    Random random(1);
    auto timesChosen = [&](MonotonicTime now) {
        int times = 0;
        for (int i = 0; i < 200; ++i) {
            std::string replica = router.choose(plain(), now, random);
            times += replica == "a" ? 1 : 0;
            router.ended(replica, DispatchEnd::NotAccepted, now);
        }
        return times;
    };
    EXPECT_GT(timesChosen(start), 20);
    router.backoffRequested("a", Milliseconds(3000), start);
    router.backoffRequested("a", Milliseconds(1000), start);
    router.backoffRequested("unknown", Milliseconds(1000), start);
    router.setServing({ sample("a"), sample("b") });
    EXPECT_EQ(timesChosen(start), 0);
    EXPECT_EQ(timesChosen(start + Milliseconds(2999)), 0);
    EXPECT_GT(timesChosen(start + Milliseconds(3000)), 20);
    router.backoffRequested("a", std::chrono::hours(24), start + std::chrono::minutes(1));
    EXPECT_EQ(timesChosen(start + std::chrono::minutes(2)), 0);
    EXPECT_GT(timesChosen(start + std::chrono::minutes(3)), 20) << "a backoff of a day is cut short for each replica";
    std::vector<std::string> others { "b" };
    router.backoffRequested("a", Milliseconds(3000), start + std::chrono::minutes(4));
    EXPECT_EQ(router.choose(plain(others), start + std::chrono::minutes(4), random), "") << "none is chosen";
}

TEST(Router, AStalledReplicaIsAvoidedBeforeItAnswers)
{
    ServiceRouter router;
    router.setServing({ sample("a"), sample("b") });
    Random random(1);
    while (router.choose(plain(), start, random) != "a") { }
    EXPECT_GT(router.expectedSeconds("a", start + std::chrono::seconds(20)), 10 * router.expectedSeconds("b", start));
}

TEST(Router, CachedPrefixesArePreferredUntilTheReplicaIsFullOrEventsAreLost)
{
    std::vector<uint64_t> prefixes { 11, 12, 13 };
    RequestShape shape { "s", "z", prefixes, {} };
    auto chosenWith = [&](uint32_t runningAtC, int gaps) {
        ServiceRouter router;
        router.setServing({ sample("a", 3), sample("b", 3), sample("c", runningAtC), sample("d", 3) });
        router.cacheEvent({ "c", 13, true, false });
        for (int i = 0; i < gaps; ++i)
            router.cacheEvent({ "c", 99, false, true });
        Random random(7);
        return router.choose(shape, start, random);
    };
    EXPECT_EQ(chosenWith(5, 0), "c");
    EXPECT_EQ(chosenWith(5, 1), "c");
    EXPECT_NE(chosenWith(40, 0), "c");
    EXPECT_NE(chosenWith(5, 2), "c");
}

TEST(Router, SameZoneWinsOnlyWithinAMargin)
{
    ServiceRouter router;
    router.setServing({ sample("near", 2, "z"), sample("far", 2, "y") });
    EXPECT_EQ(choices(router, plain(), 20, start, Milliseconds(200))["near"], 20);
    ServiceRouter uneven;
    uneven.setServing({ sample("near", 14, "z"), sample("far", 2, "y") });
    EXPECT_EQ(choices(uneven, plain(), 20, start, Milliseconds(200))["far"], 20);
}

TEST(Router, NoRequestStaysInFlightAfterConcurrentUse)
{
    Router router(3);
    router.setServing("s", { sample("a"), sample("b"), sample("c") });
    auto work = [&router] {
        for (int i = 0; i < 2000; ++i) {
            std::string replica = router.choose({ "s", "z", {}, {} }, start);
            router.firstToken("s", replica, Milliseconds(1), start);
            router.ended("s", replica, DispatchEnd::Finished, start);
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_EQ(router.freeStreams("s"), 48U);
}

TEST(Subset, EachReplicaHasItsWatchersAndLittleMovesWhenANodeLeaves)
{
    std::vector<std::string> nodes;
    std::vector<std::string> replicas;
    nodes.reserve(20);
    replicas.reserve(500);
    for (int i = 0; i < 20; ++i)
        nodes.push_back("n" + std::to_string(i));
    for (int i = 0; i < 500; ++i)
        replicas.push_back("r" + std::to_string(i));
    std::map<std::string, int> watchers;
    std::vector<std::vector<std::string>> before;
    for (const std::string& node : nodes) {
        before.push_back(replicaSubset(node, nodes, replicas, 4));
        for (const std::string& replica : before.back())
            ++watchers[replica];
    }
    EXPECT_EQ(watchers.size(), replicas.size());
    EXPECT_TRUE(std::all_of(watchers.begin(), watchers.end(), [](const auto& entry) { return entry.second == 4; }));
    std::vector<std::string> fewer(nodes.begin(), nodes.end() - 1);
    for (size_t i = 0; i < fewer.size(); ++i) {
        auto after = replicaSubset(fewer[i], fewer, replicas, 4);
        // The remaining nodes keep all replicas that they watched.
        std::set<std::string> kept(after.begin(), after.end());
        EXPECT_TRUE(std::all_of(
            before[i].begin(), before[i].end(), [&](const std::string& replica) { return kept.contains(replica); }));
    }
    EXPECT_EQ(replicaSubset("n0", { nodes.data(), 3 }, replicas, 4).size(), replicas.size());
}

} // namespace Kumquatpick
