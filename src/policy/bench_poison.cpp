#include "policy/bench_poison.h"

#include "policy/bench_model.h"
#include "suspicion/suspicionstate.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr uint32_t replicaCount = 60;
    constexpr uint32_t nodeCount = 7;
    constexpr double perSecond = 120;
    constexpr double meanRun = 4;
    constexpr double crashAfterSeconds = 1; // Seconds from the start of a poison request to the crash.
    constexpr double reloadSeconds = 60;
    constexpr double poisonRetrySeconds = 0.5; // Delay before a poison request is sent again after a failure.
    constexpr std::array<double, 3> poisonTimes { 30, 60, 90 };
    constexpr double domainFailureTime = 150; // A whole domain fails, not caused by any request.
    constexpr uint32_t domainReplicas = 10;
    constexpr double endTime = 300;
    constexpr uint64_t popularCount = 50;
    constexpr double popularShare = 0.2;
    constexpr uint64_t firstPoison = 1;
    constexpr uint64_t firstPopular = 100;
    constexpr uint64_t firstUnique = 1000;
    constexpr double gossipPeriod = 1;

    constexpr uint32_t seeds = 2;

    struct DetectionVariant {
        std::string name;
        bool detects = true;
        bool gossips = true;
        bool separatesSuspects = true; // Suspected requests are not dispatched to the same replica.
        SuspicionSettings settings {};
    };

    // Totals over all seeds.
    struct PoisonOutcome {
        uint32_t serversLost = 0;
        uint32_t harmlessRequests = 0;
        uint32_t unanswered = 0; // Harmless requests without an answer after one retry.
        uint32_t stopped = 0; // Harmless requests refused as poison.
        uint32_t heldBack = 0; // Suspected harmless requests delayed while one with the same fingerprint ran.
        double longestStop = 0; // Longest time in seconds for which a harmless fingerprint was refused.
    };

    class PoisonRun {
    public:
        PoisonRun(const DetectionVariant& variant, uint64_t seed, PoisonOutcome& outcome)
            : m_outcome(outcome)
            , m_variant(variant)
            , m_load(seed)
            , m_random(seed + 1)
            , m_replicas(replicaCount)
        {
            for (uint32_t node = 0; node < nodeCount; ++node)
                m_nodes.emplace_back(node + 1, variant.settings);
        }

        void run()
        {
            for (size_t index = 0; index < poisonTimes.size(); ++index)
                m_events.at(poisonTimes[index], [this, index] { sendRequest({ firstPoison + index }); });
            arrive();
            m_events.at(domainFailureTime, [this] {
                for (uint32_t index = 0; index < domainReplicas; ++index)
                    crashReplica(index);
            });
            if (m_variant.detects && m_variant.gossips)
                gossip();
            m_events.runUntil(endTime);
        }

    private:
        struct Request {
            uint64_t fingerprint = 0;
            double run = crashAfterSeconds;
            bool retried = false;
            uint32_t node = 0;
            uint32_t replica = 0;
        };

        struct Replica {
            bool up = true;
            std::set<uint64_t> running; // Ids of requests.
        };

        static bool isPoison(const Request& request) { return request.fingerprint < firstPopular; }
        static std::string replicaName(uint32_t replica) { return fmt::format("r{}", replica); }

        void arrive()
        {
            m_events.after(exponential(m_load, 1 / perSecond), [this] {
                bool popular = uniform(m_load, 0, 1) < popularShare;
                Request request;
                request.fingerprint = popular ? firstPopular + m_load() % popularCount : firstUnique + m_lastUnique++;
                request.run = exponential(m_load, meanRun);
                ++m_outcome.harmlessRequests;
                sendRequest(request);
                arrive();
            });
        }

        void sendRequest(Request request)
        {
            request.node = static_cast<uint32_t>(m_random() % nodeCount);
            dispatch(request);
        }

        void dispatch(Request request)
        {
            if (m_variant.detects && !admitOrHandleRefusal(request))
                return;
            std::vector<uint32_t> choices = replicasFor(request);
            if (choices.empty()) {
                handleUnanswered(request);
                return;
            }
            request.replica = choices[m_random() % choices.size()];
            uint64_t id = ++m_lastId;
            m_requests[id] = request;
            m_replicas[request.replica].running.insert(id);
            m_nodes[request.node].dispatched(request.fingerprint, replicaName(request.replica), m_events.time());
            m_events.after(request.run, [this, id] { ended(id); });
        }

        // Returns whether the request may run; otherwise schedules its retry or counts it as refused.
        bool admitOrHandleRefusal(const Request& request)
        {
            SuspicionState& node = m_nodes[request.node];
            SuspicionVerdict verdict = node.verdict(request.fingerprint, m_events.time());
            if (verdict == SuspicionVerdict::Clear)
                return true;
            if (verdict == SuspicionVerdict::Stopped) {
                handleStopped(request);
                return false;
            }
            m_outcome.heldBack += !isPoison(request);
            double retryAfter = toSeconds(node.retryAfter(request.fingerprint, m_events.time()));
            m_events.after(retryAfter, [this, request] { sendRequest(request); });
            return false;
        }

        void handleStopped(const Request& request)
        {
            // The caller of a poison request keeps retrying.
            if (isPoison(request)) {
                m_events.after(10 * poisonRetrySeconds, [this, request] { sendRequest(request); });
                return;
            }
            ++m_outcome.stopped;
            auto first = m_firstStop.try_emplace(request.fingerprint, m_events.now()).first->second;
            m_outcome.longestStop = std::max(m_outcome.longestStop, m_events.now() - first);
        }

        std::vector<uint32_t> replicasFor(const Request& request) const
        {
            std::vector<std::string> avoid;
            if (m_variant.detects && m_variant.separatesSuspects)
                avoid = m_nodes[request.node].replicasToAvoid(request.fingerprint, m_events.time());
            std::vector<uint32_t> up;
            std::vector<uint32_t> apart;
            for (uint32_t index = 0; index < replicaCount; ++index) {
                if (!m_replicas[index].up)
                    continue;
                up.push_back(index);
                if (std::find(avoid.begin(), avoid.end(), replicaName(index)) == avoid.end())
                    apart.push_back(index);
            }
            return apart.empty() ? up : apart;
        }

        void ended(uint64_t id)
        {
            auto found = m_requests.find(id);
            if (found == m_requests.end())
                return;
            Request request = found->second;
            if (isPoison(request)) {
                crashReplica(request.replica);
                return;
            }
            m_requests.erase(found);
            m_replicas[request.replica].running.erase(id);
            m_nodes[request.node].finished(request.fingerprint, replicaName(request.replica), m_events.time());
            m_firstStop.erase(request.fingerprint);
        }

        void crashReplica(uint32_t index)
        {
            Replica& replica = m_replicas[index];
            if (!replica.up)
                return;
            m_outcome.serversLost += m_events.now() != domainFailureTime;
            replica.up = false;
            for (SuspicionState& node : m_nodes)
                node.replicaDied(replicaName(index), m_events.time());
            std::set<uint64_t> lost = std::exchange(replica.running, {});
            for (uint64_t id : lost) {
                Request request = m_requests[id];
                m_requests.erase(id);
                handleBrokenOff(request);
            }
            m_events.after(reloadSeconds, [this, index] { m_replicas[index].up = true; });
        }

        void handleBrokenOff(Request request)
        {
            if (isPoison(request)) {
                m_events.after(poisonRetrySeconds, [this, request] { sendRequest(request); });
            } else if (request.retried) {
                handleUnanswered(request);
            } else {
                // The entry node retries a broken-off request itself.
                request.retried = true;
                dispatch(request);
            }
        }

        void handleUnanswered(const Request& request)
        {
            if (isPoison(request))
                m_events.after(poisonRetrySeconds, [this, request] { sendRequest(request); });
            else
                ++m_outcome.unanswered;
        }

        void gossip()
        {
            m_events.after(gossipPeriod, [this] {
                for (SuspicionState& node : m_nodes) {
                    auto counts = node.counts();
                    for (SuspicionState& other : m_nodes) {
                        if (&other == &node || counts.empty())
                            continue;
                        m_events.after(uniform(m_random, 0.3, 1.5),
                            [this, &other, counts] { other.merge(counts, m_events.time()); });
                    }
                }
                gossip();
            });
        }

        PoisonOutcome& m_outcome;
        const DetectionVariant& m_variant;
        EventQueue m_events;
        Random m_load;
        Random m_random;
        std::vector<SuspicionState> m_nodes;
        std::vector<Replica> m_replicas;
        std::unordered_map<uint64_t, Request> m_requests;
        std::unordered_map<uint64_t, double> m_firstStop;
        uint64_t m_lastId = 0;
        uint64_t m_lastUnique = 0;
    };

} // namespace

BenchTable benchPoison(uint64_t seed)
{
    BenchTable table { "poison",
        { "way", "servers lost", "innocents", "unanswered", "stopped", "held back", "longest stop s" }, {} };
    const std::vector<DetectionVariant> variants {
        { "no guard", false },
        { "stop at first death", true, true, true, { 1 } },
        { "stop at second death", true, true, true, { 2 } },
        { "ours", true },
        { "ours, no gossip", true, false },
        { "ours, suspects not kept apart", true, true, false },
    };
    for (const DetectionVariant& variant : variants) {
        PoisonOutcome outcome;
        for (uint32_t run = 0; run < seeds; ++run)
            PoisonRun(variant, seed + 1000 * run, outcome).run();
        table.rows.push_back(
            { variant.name, fmt::format("{}", outcome.serversLost), fmt::format("{}", outcome.harmlessRequests),
                fmt::format("{}", outcome.unanswered), fmt::format("{}", outcome.stopped),
                fmt::format("{}", outcome.heldBack), fmt::format("{:.0f}", outcome.longestStop) });
    }
    return table;
}

} // namespace Kumquatpick
