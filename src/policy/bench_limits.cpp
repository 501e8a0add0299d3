#include "policy/bench_limits.h"

#include "policy/bench_model.h"
#include "policy/capacityshare.h"
#include "policy/fairqueue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <fmt/format.h>
#include <numeric>

namespace Kumquatpick {

namespace {

    constexpr uint32_t entryNodes = 7;
    constexpr uint32_t streamsPerNode = 16;
    constexpr uint32_t allStreams = entryNodes * streamsPerNode;
    constexpr double meanRunSeconds = 4; // Before runs are truncated to the longest.
    constexpr double longestRunSeconds = 12;
    constexpr double truncatedMeanRunSeconds = 3.8009; // 4 * (1 - exp(-12 / 4))
    constexpr double callerTimeoutSeconds = 20; // Time that a caller waits for the whole answer.
    constexpr uint32_t maxAttempts = 4; // Per request, within the caller's waiting time.
    constexpr uint32_t maxRequests = 2; // Per caller, for the same work.
    constexpr double newRequestShare = 0.3; // Share of the callers without an answer that send a new request.
    constexpr double gossipPeriod = 1;
    constexpr double normalLoad = 0.5;
    constexpr double overloadFrom = 40;
    constexpr double measuredFrom = 50;
    constexpr double overloadUntil = 90;
    constexpr double endTime = 230;
    constexpr double bucketSeconds = 5;
    constexpr double recoveredShare = 0.9; // Share answered in time from which a bucket counts as recovered.
    constexpr double lateRefusalSeconds = 1;
    constexpr uint32_t seeds = 4;
    constexpr size_t firstSmall = 3; // Index; the teams before are the flooding one and two large ones.
    constexpr uint32_t floodLimit = allStreams / 2;

    struct TeamModel {
        std::string name;
        double demand = 0; // Share of all requests.
    };

    const std::array<TeamModel, 10>& teamModels()
    {
        static const std::array<TeamModel, 10> models { { { "flood", 0.4 }, { "large1", 0.15 }, { "large2", 0.15 },
            { "small1", 0.3 / 7 }, { "small2", 0.3 / 7 }, { "small3", 0.3 / 7 }, { "small4", 0.3 / 7 },
            { "small5", 0.3 / 7 }, { "small6", 0.3 / 7 }, { "small7", 0.3 / 7 } } };
        return models;
    }

    struct LimitsVariant {
        std::string name;
        FairQueueSettings settings;
        bool oneQueue = false; // One unbounded queue shared by all nodes.
        bool teamLimits = false;
        bool sharesUnused = true; // If false, each node is limited to an even share.
        uint32_t queueLimit = 64; // Per node.
    };

    struct CallerRequest {
        size_t team = 0;
        uint32_t node = 0;
        uint32_t attempt = 1;
        uint32_t requestNumber = 1;
        double arrivedAt = 0;
        double attemptedAt = 0; // Start of this attempt.
        double deadline = 0;
        double run = 0;
        double startedAt = 0; // Time of admission.
        double ranAt = 0;
    };

    // Totals over all seeds; times in seconds.
    struct LimitsOutcome {
        std::array<double, 10> requested {}; // Per team, in the measured part of the overload.
        std::array<double, 10> answered {};
        double refused = 0;
        double refusedLate = 0;
        std::vector<double> smallWaits;
        uint32_t maxFloodStreams = 0;
        double recovery = 0; // Summed over all seeds.
        double otherTeamsRecovery = 0;

        double share(size_t from, size_t to) const
        {
            double answeredSum = std::accumulate(answered.begin() + from, answered.begin() + to, 0.0);
            double requestedSum = std::accumulate(requested.begin() + from, requested.begin() + to, 0.0);
            return requestedSum > 0 ? answeredSum / requestedSum : 0;
        }

        double allAnswered() const { return std::accumulate(answered.begin(), answered.end(), 0.0); }
    };

    // Counts arrivals, and those answered in time, by time of arrival.
    class Buckets {
    public:
        void add(double arrivedAt, bool answered)
        {
            auto index = static_cast<size_t>(arrivedAt / bucketSeconds);
            m_buckets.resize(std::max(m_buckets.size(), index + 1));
            (answered ? m_buckets[index].answered : m_buckets[index].requested) += 1;
        }

        // Seconds from the end of the overload to the end of the last bucket with too few answers in time. The last
        // buckets of the run are left out, as their requests may still be waiting.
        double recovery() const
        {
            double recovered = 0;
            auto last = static_cast<size_t>((endTime - callerTimeoutSeconds) / bucketSeconds);
            for (auto index = static_cast<size_t>(overloadUntil / bucketSeconds); index < last; ++index) {
                if (m_buckets[index].answered < recoveredShare * m_buckets[index].requested)
                    recovered = double(index + 1) * bucketSeconds - overloadUntil;
            }
            return recovered;
        }

    private:
        struct Bucket {
            double requested = 0;
            double answered = 0;
        };

        std::vector<Bucket> m_buckets;
    };

    class LimitsRun {
    public:
        LimitsRun(const LimitsVariant& variant, double overload, uint64_t seed, LimitsOutcome& outcome)
            : m_outcome(outcome)
            , m_overload(overload)
            , m_sharesUnused(variant.sharesUnused)
            , m_load(seed)
            , m_random(seed + 1)
        {
            uint32_t count = variant.oneQueue ? 1 : entryNodes;
            uint32_t streams = variant.oneQueue ? allStreams : streamsPerNode;
            std::vector<TeamConfig> teams;
            for (const TeamModel& model : teamModels())
                teams.push_back({ model.name, 1, variant.teamLimits && model.name == "flood" ? floodLimit : 0 });
            for (uint32_t node = 0; node < count; ++node) {
                m_nodes.emplace_back(variant.settings);
                m_nodes.back().configure(variant.oneQueue ? UINT32_MAX : variant.queueLimit, teams);
                m_nodes.back().setCapacity(streams, m_events.time(), m_random);
            }
            m_usage.resize(count);
        }

        void run()
        {
            arrive();
            if (m_nodes.size() > 1)
                gossip();
            m_events.runUntil(endTime);
            m_outcome.recovery += m_all.recovery();
            m_outcome.otherTeamsRecovery += m_otherTeams.recovery();
        }

    private:
        double load() const
        {
            bool overloaded = m_events.now() >= overloadFrom && m_events.now() < overloadUntil;
            return overloaded ? m_overload : std::min(normalLoad, m_overload);
        }

        void arrive()
        {
            double perSecond = load() * allStreams / truncatedMeanRunSeconds;
            m_events.after(exponential(m_load, 1 / perSecond), [this] {
                double pick = uniform(m_load, 0, 1);
                size_t team = 0;
                while (team + 1 < teamModels().size() && pick >= teamModels()[team].demand)
                    pick -= teamModels()[team++].demand;
                CallerRequest request;
                request.team = team;
                request.run = std::min(exponential(m_load, meanRunSeconds), longestRunSeconds);
                sendRequest(request);
                arrive();
            });
        }

        // Starts a new request with a new deadline.
        void sendRequest(CallerRequest request)
        {
            request.attempt = 1;
            request.arrivedAt = m_events.now();
            request.deadline = m_events.now() + callerTimeoutSeconds;
            countRequest(request, false);
            attempt(request);
        }

        void attempt(CallerRequest request)
        {
            request.node = static_cast<uint32_t>(m_random() % m_nodes.size());
            request.attemptedAt = m_events.now();
            Ticket ticket = ++m_lastTicket;
            m_requests[ticket] = request;
            FairQueue& node = m_nodes[request.node];
            QueueRequest queueRequest { ticket, teamModels()[request.team].name, Priority::Normal,
                EventQueue::timeAt(request.deadline) };
            auto outcome = node.arrive(queueRequest, m_events.time(), m_random);
            applyDecisions(request.node);
            if (outcome) {
                decided(ticket, *outcome);
                return;
            }
            auto expiresAt = node.expiresAt(ticket);
            double delay = expiresAt ? toSeconds(*expiresAt - m_events.time()) : 0;
            m_events.after(std::max(0.0, delay) + 1e-6, [this, index = request.node] {
                m_nodes[index].expire(m_events.time(), m_random);
                applyDecisions(index);
            });
        }

        void applyDecisions(uint32_t node)
        {
            for (const QueueDecision& decision : m_nodes[node].takeDecisions())
                decided(decision.ticket, decision.outcome);
        }

        void decided(Ticket ticket, const AdmissionOutcome& outcome)
        {
            CallerRequest& request = m_requests[ticket];
            if (outcome.verdict == AdmissionVerdict::Admitted)
                start(ticket, request);
            else
                refused(ticket, toSeconds(outcome.retryAfter));
        }

        // The answer is cut off at the deadline, because the caller has left by then.
        void start(Ticket ticket, CallerRequest& request)
        {
            request.startedAt = m_events.now();
            if (request.team >= firstSmall && overloadMeasured(request.arrivedAt))
                m_outcome.smallWaits.push_back(request.startedAt - request.arrivedAt);
            m_floodRunning += request.team == 0;
            m_outcome.maxFloodStreams = std::max(m_outcome.maxFloodStreams, m_floodRunning);
            if (m_engineRunning < allStreams)
                runAtEngine(ticket);
            else
                m_engineQueue.push_back(ticket);
        }

        // Requests admitted beyond the available streams wait at the engines in order of arrival.
        void runAtEngine(Ticket ticket)
        {
            ++m_engineRunning;
            CallerRequest& request = m_requests[ticket];
            request.ranAt = m_events.now();
            m_events.at(std::min(request.ranAt + request.run, request.deadline), [this, ticket] {
                --m_engineRunning;
                finish(ticket);
                while (m_engineRunning < allStreams && !m_engineQueue.empty()) {
                    Ticket next = m_engineQueue.front();
                    m_engineQueue.pop_front();
                    runAtEngine(next);
                }
            });
        }

        void finish(Ticket ticket)
        {
            CallerRequest request = m_requests[ticket];
            m_requests.erase(ticket);
            m_floodRunning -= request.team == 0;
            double ran = m_events.now() - request.startedAt;
            bool inTime = request.ranAt + request.run <= request.deadline;
            if (inTime)
                countRequest(request, true);
            m_nodes[request.node].release(teamModels()[request.team].name, nanoseconds(ran), m_events.time(), m_random);
            applyDecisions(request.node);
            if (!inTime)
                maybeSendAgain(request, 0);
        }

        void refused(Ticket ticket, double retryAfter)
        {
            CallerRequest request = m_requests[ticket];
            m_requests.erase(ticket);
            if (overloadMeasured(m_events.now())) {
                m_outcome.refused += 1;
                m_outcome.refusedLate += m_events.now() - request.attemptedAt > lateRefusalSeconds;
            }
            bool inTime = m_events.now() + retryAfter < request.deadline;
            if (!inTime || request.attempt == maxAttempts) {
                maybeSendAgain(request, retryAfter);
                return;
            }
            ++request.attempt;
            m_events.after(retryAfter, [this, request] { attempt(request); });
        }

        void maybeSendAgain(CallerRequest request, double retryAfter)
        {
            if (request.requestNumber == maxRequests || uniform(m_random, 0, 1) >= newRequestShare)
                return;
            ++request.requestNumber;
            m_events.after(retryAfter, [this, request] { sendRequest(request); });
        }

        bool overloadMeasured(double time) const { return time >= measuredFrom && time < overloadUntil; }

        void countRequest(const CallerRequest& request, bool answered)
        {
            m_all.add(request.arrivedAt, answered);
            if (request.team > 0)
                m_otherTeams.add(request.arrivedAt, answered);
            if (overloadMeasured(request.arrivedAt))
                (answered ? m_outcome.answered : m_outcome.requested)[request.team] += 1;
        }

        void gossip()
        {
            m_events.after(gossipPeriod, [this] {
                for (uint32_t node = 0; node < m_nodes.size(); ++node) {
                    auto usage = m_nodes[node].usage("model");
                    m_events.after(uniform(m_random, 0.3, 1.5), [this, node, usage] { m_usage[node] = usage; });
                }
                for (uint32_t node = 0; node < m_nodes.size(); ++node)
                    applyRemoteUsage(node);
                gossip();
            });
        }

        void applyRemoteUsage(uint32_t node)
        {
            std::vector<TeamUsage> others;
            for (uint32_t other = 0; other < m_nodes.size(); ++other) {
                if (other != node)
                    others.insert(others.end(), m_usage[other].begin(), m_usage[other].end());
            }
            m_nodes[node].setRemoteUsage(others, m_events.time());
            if (m_sharesUnused) {
                uint32_t remoteRunning = 0;
                for (const TeamUsage& usage : others)
                    remoteRunning += usage.running;
                uint32_t share = capacityShare(allStreams, remoteRunning, m_nodes[node].running(), entryNodes);
                m_nodes[node].setCapacity(share, m_events.time(), m_random);
            }
            applyDecisions(node);
        }

        LimitsOutcome& m_outcome;
        double m_overload;
        bool m_sharesUnused;
        EventQueue m_events;
        Random m_load; // A separate generator, so that all variants get the same arrivals.
        Random m_random;
        std::vector<FairQueue> m_nodes;
        std::vector<std::vector<TeamUsage>> m_usage; // Usage of each node as last received by the other nodes.
        std::unordered_map<Ticket, CallerRequest> m_requests;
        Buckets m_all;
        Buckets m_otherTeams; // Without the flooding team.
        Ticket m_lastTicket = 0;
        uint32_t m_floodRunning = 0;
        uint32_t m_engineRunning = 0;
        std::deque<Ticket> m_engineQueue;
    };

    std::vector<LimitsVariant> limitsVariants()
    {
        FairQueueSettings plain;
        plain.fairBetweenTeams = false;
        plain.shedsEarly = false;
        plain.order = QueueOrder::Arrival;
        FairQueueSettings noShedding;
        noShedding.shedsEarly = false;
        FairQueueSettings newest;
        newest.order = QueueOrder::AdaptiveLifo;
        return {
            { "FIFO, no limits", plain, true, false },
            { "FIFO, bounded", plain, false, false },
            { "ours", {}, false, true },
            { "ours, no team limit", {}, false, false },
            { "ours, no early refusal", noShedding, false, true },
            { "ours, even parts", {}, false, true, false },
            { "ours, newest first when late", newest, false, true },
        };
    }

} // namespace

BenchTable benchLimits(uint64_t seed)
{
    BenchTable table { "limits",
        { "load", "way", "goodput", "small teams", "large teams", "flood", "flood's part", "most flood streams",
            "small wait p95 s", "refused late", "recovery s", "others' recovery s" },
        {} };
    double most = allStreams / truncatedMeanRunSeconds * (overloadUntil - measuredFrom) * seeds;
    auto shown = [](double value) { return fmt::format("{:.3f}", value); };
    for (double overload : { 0.5, 1.0, 2.0, 4.0 }) {
        for (const LimitsVariant& variant : limitsVariants()) {
            LimitsOutcome outcome;
            for (uint32_t run = 0; run < seeds; ++run)
                LimitsRun(variant, overload, seed + 1000 * run, outcome).run();
            table.rows.push_back({ fmt::format("{:.1f}", overload), variant.name, shown(outcome.allAnswered() / most),
                shown(outcome.share(firstSmall, 10)), shown(outcome.share(1, firstSmall)), shown(outcome.share(0, 1)),
                shown(outcome.answered[0] / std::max(1.0, outcome.allAnswered())),
                fmt::format("{}", outcome.maxFloodStreams), fmt::format("{:.2f}", quantile(outcome.smallWaits, 0.95)),
                shown(outcome.refusedLate / std::max(1.0, outcome.refused)),
                fmt::format("{:.1f}", outcome.recovery / seeds),
                fmt::format("{:.1f}", outcome.otherTeamsRecovery / seeds) });
        }
    }
    return table;
}

} // namespace Kumquatpick
