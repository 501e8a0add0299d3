#include "policy/admission.h"
#include "policy/capacityshare.h"
#include "policy/fairqueue.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <set>
#include <thread>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;

    constexpr MonotonicTime start { 1h };
    constexpr MonotonicTime distantDeadline { 2h };
    const std::vector<std::string> teamNames { "a", "b", "c" };

    QueueRequest request(Ticket ticket, std::string_view team, MonotonicTime deadline = distantDeadline,
        Priority priority = Priority::Normal)
    {
        return { ticket, team, priority, deadline };
    }

    // A queue with all streams in use and a mean run of one second.
    struct BusyQueue {
        explicit BusyQueue(uint32_t streams, std::vector<TeamConfig> teams = {}, uint32_t queueLimit = 1000)
        {
            queue.configure(queueLimit, teams);
            queue.setCapacity(streams, start, random);
            for (uint32_t stream = 0; stream < streams; ++stream)
                queue.arrive(request(++lastTicket, "busy"), start, random);
            queue.release("busy", 1s, start, random);
            queue.arrive(request(++lastTicket, "busy"), start, random);
        }

        std::optional<AdmissionOutcome> arrive(
            std::string_view team, MonotonicTime deadline = distantDeadline, Priority priority = Priority::Normal)
        {
            return queue.arrive(request(++lastTicket, team, deadline, priority), start, random);
        }

        Random random { 1 };
        FairQueue queue;
        Ticket lastTicket = 0;
    };

    // Runs the waiting requests on one stream and returns their teams in the order of their starts.
    std::vector<std::string> drain(FairQueue& queue, std::map<Ticket, std::string>& teamOf,
        const std::map<std::string, std::chrono::seconds>& runs, size_t starts)
    {
        Random random(1);
        std::vector<std::string> order;
        while (order.size() < starts) {
            for (const QueueDecision& decision : queue.takeDecisions())
                order.push_back(teamOf[decision.ticket]);
            queue.release(order.back(), runs.at(order.back()), start, random);
        }
        return order;
    }

} // namespace

// While all teams have waiting requests, their starts divided by weight differ by at most one request of each team,
// whatever the order of arrivals and ends.
RC_GTEST_PROP(FairQueue, SharesFollowWeightsForAnyArrivalOrder, ())
{
    constexpr int perTeam = 30;
    std::vector<TeamConfig> teams;
    std::vector<std::string> arrivals;
    for (const std::string& name : teamNames) {
        teams.push_back({ name, double(*rc::gen::inRange(1, 6)), 0 });
        arrivals.insert(arrivals.end(), perTeam, name);
    }
    Random random(*rc::gen::arbitrary<uint64_t>());
    std::shuffle(arrivals.begin(), arrivals.end(), random);
    FairQueue queue;
    queue.configure(1000, teams);
    std::map<Ticket, std::string> teamOf;
    for (const std::string& team : arrivals) {
        Ticket ticket = teamOf.size() + 1;
        teamOf[ticket] = team;
        RC_ASSERT(!queue.arrive(request(ticket, team), start, random));
    }
    queue.setCapacity(*rc::gen::inRange(1U, 5U), start, random);
    std::map<std::string, double> started;
    std::vector<std::string> running;
    bool allWaiting = true;
    while (allWaiting) {
        for (const QueueDecision& decision : queue.takeDecisions()) {
            const std::string& team = teamOf[decision.ticket];
            running.push_back(team);
            allWaiting = allWaiting && ++started[team] < perTeam;
            for (const TeamConfig& left : teams) {
                for (const TeamConfig& right : teams) {
                    double difference = started[left.name] / left.share - started[right.name] / right.share;
                    RC_ASSERT(!allWaiting || std::abs(difference) <= 1 / left.share + 1 / right.share + 1e-9);
                }
            }
        }
        std::swap(running[random() % running.size()], running.back());
        queue.release(running.back(), 1s, start, random);
        running.pop_back();
    }
}

TEST(FairQueue, ChargesRunsByTheirDuration)
{
    Random random(1);
    FairQueue queue;
    std::map<Ticket, std::string> teamOf;
    for (Ticket ticket = 1; ticket <= 200; ++ticket) {
        teamOf[ticket] = ticket % 2 ? "long" : "short";
        queue.arrive(request(ticket, teamOf[ticket]), start, random);
    }
    queue.setCapacity(1, start, random);
    auto order = drain(queue, teamOf, { { "long", 3s }, { "short", 1s } }, 80);
    // Equal weights: three short runs for each long one.
    EXPECT_NEAR(double(std::count(order.begin(), order.end(), "long")), 20, 3);
}

TEST(FairQueue, AnIdleTeamEarnsNoCredit)
{
    Random random(1);
    FairQueue queue;
    std::map<Ticket, std::string> teamOf;
    const std::map<std::string, std::chrono::seconds> runs { { "a", 1s }, { "b", 1s } };
    auto arrive = [&](const std::string& team, int count) {
        for (int i = 0; i < count; ++i) {
            Ticket ticket = teamOf.size() + 1;
            teamOf[ticket] = team;
            queue.arrive(request(ticket, team), start, random);
        }
    };
    arrive("a", 100);
    queue.setCapacity(1, start, random);
    drain(queue, teamOf, runs, 40);
    arrive("b", 50);
    auto order = drain(queue, teamOf, runs, 20);
    EXPECT_NEAR(double(std::count(order.begin(), order.end(), "b")), 10, 2);
}

// For any sequence of events, no start exceeds the capacity or a team's limit, each request gets one decision, and the
// running counts match the admitted requests.
RC_GTEST_PROP(FairQueue, KeepsLimitsAndCounts, (uint64_t seed))
{
    constexpr uint32_t queueLimit = 6;
    constexpr uint32_t teamLimit = 4;
    Random random(seed);
    FairQueue queue;
    std::vector<TeamConfig> teams { { "a", 1, teamLimit }, { "b", 3, 0 } };
    queue.configure(queueLimit, teams);
    std::map<Ticket, std::string> teamOf;
    std::set<Ticket> waiting;
    std::map<std::string, uint32_t> running;
    uint32_t remoteRunning = 0;
    MonotonicTime now = start;
    auto checkDecision = [&](Ticket ticket, const AdmissionOutcome& outcome) {
        if (outcome.verdict != AdmissionVerdict::Admitted) {
            RC_ASSERT(outcome.retryAfter > 0ms);
            return;
        }
        const std::string& team = teamOf[ticket];
        ++running[team];
        RC_ASSERT(queue.running() <= queue.capacity());
        RC_ASSERT(team != "a" || running[team] + remoteRunning <= teamLimit);
    };
    auto steps = *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 9));
    for (uint8_t step : steps) {
        now += Milliseconds(random() % 500);
        const std::string& team = teamNames[random() % teamNames.size()];
        if (step < 4) {
            Ticket ticket = teamOf.size() + 1;
            teamOf[ticket] = team;
            auto deadline = now + Milliseconds(random() % 8000);
            auto immediateOutcome = queue.arrive(request(ticket, team, deadline, Priority(random() % 3)), now, random);
            if (immediateOutcome)
                checkDecision(ticket, *immediateOutcome);
            else
                waiting.insert(ticket);
        } else if (step < 7 && running[team]) {
            --running[team];
            queue.release(team, Milliseconds(random() % 3000), now, random);
        } else if (step == 7) {
            queue.setCapacity(static_cast<uint32_t>(random() % 8), now, random);
        } else {
            remoteRunning = static_cast<uint32_t>(random() % 6);
            std::vector<TeamUsage> others { { "s", "a", remoteRunning, static_cast<uint32_t>(random() % 3) } };
            queue.setRemoteUsage(others, now);
        }
        for (const QueueDecision& decision : queue.takeDecisions()) {
            RC_ASSERT(waiting.erase(decision.ticket) == 1U);
            checkDecision(decision.ticket, decision.outcome);
        }
        RC_ASSERT(queue.waiting() == waiting.size());
        RC_ASSERT(queue.waiting() <= queueLimit);
        for (const TeamUsage& usage : queue.usage("s"))
            RC_ASSERT(usage.running == running[usage.team]);
    }
    queue.refuseAll(AdmissionVerdict::ShuttingDown, 1ms);
    RC_ASSERT(queue.takeDecisions().size() == waiting.size());
}

// If each node has the current usage of the others, a team's streams over all nodes stay within its limit.
RC_GTEST_PROP(FairQueue, TeamLimitHoldsOverNodesWithCurrentUsage, (uint64_t seed))
{
    constexpr uint32_t limit = 10;
    Random random(seed);
    std::vector<FairQueue> nodes(3);
    std::vector<TeamConfig> teams { { "a", 1, limit } };
    for (FairQueue& node : nodes) {
        node.configure(100, teams);
        node.setCapacity(8, start, random);
    }
    for (Ticket ticket = 1; ticket < 80; ++ticket) {
        size_t index = random() % nodes.size();
        std::vector<TeamUsage> others;
        for (size_t other = 0; other < nodes.size(); ++other) {
            auto usage = nodes[other].usage("s");
            if (other != index)
                others.insert(others.end(), usage.begin(), usage.end());
        }
        nodes[index].setRemoteUsage(others, start);
        if (random() % 4)
            nodes[index].arrive(request(ticket, "a"), start, random);
        else
            nodes[index].release("a", 1s, start, random);
        uint32_t running = 0;
        for (const FairQueue& node : nodes)
            running += node.running();
        RC_ASSERT(running <= limit);
    }
}

// A request that cannot be served in time must be refused on arrival, not at its deadline.
TEST(FairQueue, RefusesAtOnceRequestsThatWouldMissTheirDeadline)
{
    BusyQueue busy(2);
    size_t refused = 0;
    for (int i = 0; i < 30; ++i) {
        auto outcome = busy.arrive("a", start + 8s);
        if (!outcome)
            continue;
        ++refused;
        EXPECT_EQ(outcome->verdict, AdmissionVerdict::WouldMissDeadline);
        EXPECT_GT(outcome->retryAfter, 0ms);
    }
    // Both streams are in use, and with a mean run of one second at most 16 requests can start within 8 seconds.
    EXPECT_GE(refused, 14U);
    EXPECT_LE(refused, 26U);
    EXPECT_EQ(busy.arrive("a", start)->verdict, AdmissionVerdict::WouldMissDeadline);
    EXPECT_FALSE(busy.arrive("a", start + 60s));
}

TEST(FairQueue, SpreadsRetryTimesAndDelaysThemWithTheNumberOfRefusals)
{
    BusyQueue busy(4, {}, 8);
    std::vector<Milliseconds> retryDelays;
    for (int i = 0; i < 60; ++i) {
        if (auto outcome = busy.arrive("a"))
            retryDelays.push_back(outcome->retryAfter);
    }
    ASSERT_GT(retryDelays.size(), 40U);
    std::set<Milliseconds> distinctDelays(retryDelays.begin(), retryDelays.end());
    EXPECT_GT(distinctDelays.size(), retryDelays.size() * 9 / 10);
    auto sum
        = [&](size_t from) { return std::accumulate(&retryDelays[from], &retryDelays[from] + 10, Milliseconds(0)); };
    EXPECT_GT(2 * sum(retryDelays.size() - 10), 3 * sum(0));
    EXPECT_LE(*std::max_element(retryDelays.begin(), retryDelays.end()), 38s);
}

TEST(FairQueue, AFloodDisplacesOnlyItsOwnTeam)
{
    BusyQueue busy(2, {}, 10);
    for (int i = 0; i < 30; ++i)
        busy.arrive("flood");
    busy.queue.takeDecisions();
    EXPECT_FALSE(busy.arrive("a"));
    auto decisions = busy.queue.takeDecisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].outcome.verdict, AdmissionVerdict::QueueFull);
    Ticket waitingA = busy.lastTicket;
    busy.queue.release("busy", 1s, start, busy.random);
    busy.queue.release("busy", 1s, start, busy.random);
    decisions = busy.queue.takeDecisions();
    EXPECT_TRUE(std::any_of(decisions.begin(), decisions.end(),
        [&](const QueueDecision& decision) { return decision.ticket == waitingA; }));
}

TEST(FairQueue, HigherPriorityThenEarlierDeadlineGoesFirst)
{
    BusyQueue busy(1);
    busy.arrive("a", start + 900s, Priority::Low);
    busy.arrive("a", start + 800s, Priority::Normal);
    busy.arrive("a", start + 700s, Priority::Normal);
    busy.arrive("a", start + 999s, Priority::High);
    Ticket lowTicket = busy.lastTicket - 3;
    std::vector<Ticket> order;
    busy.queue.release("busy", 1s, start, busy.random);
    for (int i = 0; i < 4; ++i) {
        for (const QueueDecision& decision : busy.queue.takeDecisions())
            order.push_back(decision.ticket);
        busy.queue.release("a", 1s, start, busy.random);
    }
    EXPECT_EQ(order, (std::vector<Ticket> { lowTicket + 3, lowTicket + 2, lowTicket + 1, lowTicket }));
}

TEST(FairQueue, ReportsTheTeamLimitAsTheReason)
{
    BusyQueue busy(3, { { "a", 1, 1 } });
    busy.queue.release("busy", 1s, start, busy.random);
    busy.queue.release("busy", 1s, start, busy.random);
    EXPECT_EQ(busy.arrive("a")->verdict, AdmissionVerdict::Admitted);
    auto limited = busy.arrive("a", start + 100ms);
    ASSERT_TRUE(limited);
    EXPECT_EQ(limited->verdict, AdmissionVerdict::TeamLimit);
    EXPECT_EQ(busy.arrive("b")->verdict, AdmissionVerdict::Admitted);
}

TEST(FairQueue, RefusesWaitingRequestsAtExpiryOrLossOfCapacity)
{
    BusyQueue busy(4);
    EXPECT_FALSE(busy.arrive("a", start + 2s));
    EXPECT_FALSE(busy.arrive("a", start + 3s));
    busy.queue.setCapacity(1, start, busy.random);
    busy.queue.expire(start + 2s, busy.random);
    auto decisions = busy.queue.takeDecisions();
    ASSERT_GE(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].outcome.verdict, AdmissionVerdict::WouldMissDeadline);
    EXPECT_FALSE(busy.queue.nextExpiry() && *busy.queue.nextExpiry() <= start + 2s);
}

// Requests wait through a short loss of all capacity. After a few seconds without capacity they are refused.
TEST(FairQueue, RefusesWaitingRequestsDuringAnOutage)
{
    BusyQueue busy(1);
    busy.queue.setCapacity(0, start, busy.random);
    EXPECT_FALSE(busy.arrive("a"));
    busy.queue.setCapacity(0, start + 4s, busy.random);
    EXPECT_TRUE(busy.queue.takeDecisions().empty());
    busy.queue.setCapacity(0, start + 6s, busy.random);
    auto decisions = busy.queue.takeDecisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].outcome.verdict, AdmissionVerdict::WouldMissDeadline);
    auto outcomeDuringOutage = busy.queue.arrive(request(++busy.lastTicket, "a"), start + 7s, busy.random);
    ASSERT_TRUE(outcomeDuringOutage);
    EXPECT_GT(outcomeDuringOutage->retryAfter, 0ms);
    busy.queue.setCapacity(3, start + 8s, busy.random);
    auto outcomeAfterOutage = busy.queue.arrive(request(++busy.lastTicket, "a"), start + 8s, busy.random);
    ASSERT_TRUE(outcomeAfterOutage);
    EXPECT_EQ(outcomeAfterOutage->verdict, AdmissionVerdict::Admitted);
}

RC_GTEST_PROP(CapacityShare, IsAtLeastAnEvenShareAndOtherwiseWithinTheFreeStreams, ())
{
    uint32_t streams = *rc::gen::inRange(0U, 1000U);
    uint32_t others = *rc::gen::inRange(0U, 1200U);
    uint32_t own = *rc::gen::inRange(0U, 1200U);
    uint32_t nodes = *rc::gen::inRange(1U, 10U);
    uint32_t share = capacityShare(streams, others, own, nodes);
    uint32_t evenShare = (streams + nodes - 1) / nodes;
    RC_ASSERT(share >= evenShare);
    RC_ASSERT(share == evenShare || share + others <= streams);
    RC_ASSERT(share >= std::min(own, streams - std::min(streams, others)));
    RC_ASSERT(capacityShare(streams, 0, own, 1) == streams);
}

// Each waiting thread is woken for its own decision, and the running requests never exceed the capacity.
TEST(Admission, ThreadsNeverExceedTheCapacityAndAllAreAdmitted)
{
    constexpr uint32_t capacity = 3;
    constexpr int perThread = 200;
    Admission admission;
    admission.setCapacity("s", capacity, monotonicNow());
    std::atomic<uint32_t> running { 0 };
    std::atomic<uint32_t> maxRunning { 0 };
    std::atomic<int> admitted { 0 };
    auto runRequests = [&](const std::string& team) {
        for (int i = 0; i < perThread; ++i) {
            auto outcome = admission.admit({ "s", team, Priority::Normal, monotonicNow() + 1h });
            if (outcome.verdict != AdmissionVerdict::Admitted)
                continue;
            uint32_t now = ++running;
            uint32_t seen = maxRunning;
            while (seen < now && !maxRunning.compare_exchange_weak(seen, now)) { }
            std::this_thread::yield();
            --running;
            ++admitted;
            admission.release("s", team, 1us);
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i)
        threads.emplace_back(runRequests, teamNames[static_cast<size_t>(i) % teamNames.size()]);
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_LE(maxRunning, capacity);
    EXPECT_EQ(admitted, 8 * perThread);
    EXPECT_TRUE(admission.localUsage().empty());
}

// Guards against lost wake-ups when one event decides several waiting requests.
TEST(Admission, WakesAllThreadsThatOneEventAdmits)
{
    constexpr uint32_t callers = 4;
    Admission admission;
    admission.setCapacity("s", 0, monotonicNow());
    std::vector<AdmissionOutcome> outcomes(callers, { AdmissionVerdict::QueueFull, 0ms });
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (uint32_t i = 0; i < callers; ++i) {
        threads.emplace_back([&admission, &outcome = outcomes[i]] {
            outcome = admission.admit({ "s", "a", Priority::Normal, monotonicNow() + 20s });
        });
    }
    auto waiting = [&admission] {
        auto usage = admission.localUsage();
        return usage.empty() ? 0 : usage[0].waiting;
    };
    while (waiting() < callers)
        std::this_thread::yield();
    admission.setCapacity("s", callers, monotonicNow());
    for (std::thread& thread : threads)
        thread.join();
    for (const AdmissionOutcome& outcome : outcomes)
        EXPECT_EQ(outcome.verdict, AdmissionVerdict::Admitted);
}

TEST(Admission, ShutDownRefusesWaitingAndNewRequests)
{
    Admission admission;
    admission.setCapacity("s", 0, monotonicNow());
    AdmissionOutcome outcome;
    std::thread waiter([&] { outcome = admission.admit({ "s", "a", Priority::Normal, monotonicNow() + 1h }); });
    while (admission.localUsage().empty())
        std::this_thread::yield();
    admission.shutDown();
    waiter.join();
    EXPECT_EQ(outcome.verdict, AdmissionVerdict::ShuttingDown);
    EXPECT_EQ(
        admission.admit({ "new", "a", Priority::Normal, monotonicNow() + 1h }).verdict, AdmissionVerdict::ShuttingDown);
}

} // namespace Kumquatpick
