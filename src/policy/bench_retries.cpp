#include "policy/bench_retries.h"

#include "policy/bench_model.h"
#include "policy/retrybudget.h"
#include "policy/servicerouter.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace Kumquatpick {

namespace {

    constexpr uint32_t replicaCount = 20;
    constexpr uint32_t nodeCount = 4;
    constexpr uint32_t streamLimit = 8;
    constexpr uint32_t failingCount = 6;
    constexpr double sharing = 0.08;
    constexpr double fullRate = streamLimit / (1 + sharing * (streamLimit - 1)); // Seconds of work done per second.
    constexpr double meanSeconds = 1.5;
    constexpr double longestSeconds = 4;
    constexpr double truncatedMeanSeconds = 1.3958; // 1.5 * (1 - exp(-4 / 1.5))
    constexpr double attemptTimeout = 6;
    constexpr double callerTimeout = 20;
    constexpr double refusalSeconds = 0.05;
    constexpr uint32_t maxRetries = 3;
    constexpr double outageFrom = 30;
    constexpr double outageUntil = 90;
    constexpr double endTime = 200;
    constexpr double bucketSeconds = 5;
    constexpr double recoveredShare = 0.95;
    constexpr double reportPeriod = 1;

    constexpr uint32_t seeds = 4;

    enum class Outage : uint8_t {
        Refusing, // Some replicas fail every request at once.
        Hanging, // Some replicas never answer.
        Overload, // All replicas work, but the load exceeds their capacity.
    };

    enum class RetryMode : uint8_t {
        Never,
        Always, // Up to the limit on retries.
        Budget,
    };

    // Totals over all seeds.
    struct RetryOutcome {
        double requests = 0;
        double dispatches = 0;
        double answered = 0;
        std::vector<double> answerSeconds;
        double recovery = 0; // Summed over all seeds.
    };

    class RetryRun {
    public:
        RetryRun(Outage outage, RetryMode mode, uint64_t seed, RetryOutcome& outcome)
            : m_outcome(outcome)
            , m_outage(outage)
            , m_mode(mode)
            , m_load(seed)
            , m_random(seed + 1)
            , m_routers(nodeCount)
            , m_budgets(nodeCount)
        {
            for (uint32_t index = 0; index < replicaCount; ++index) {
                ModelReplica::Callbacks callbacks;
                callbacks.firstToken = [this](uint64_t id, double) { firstToken(id); };
                callbacks.finished = [this](uint64_t id) { finished(id); };
                callbacks.cacheChanged = [](uint64_t, bool) {};
                ModelReplica::Settings settings { streamLimit, 1, sharing, 1 };
                m_replicas.push_back(std::make_unique<ModelReplica>(m_events, settings, callbacks));
            }
        }

        void run()
        {
            report();
            arrive();
            m_events.runUntil(endTime);
            m_outcome.recovery += recovery();
        }

    private:
        struct Request {
            uint32_t node = 0;
            uint32_t replica = 0;
            uint32_t retries = 0;
            double seconds = 0;
            double arrivedAt = 0;
            double attemptedAt = 0;
            uint64_t firstId = 0; // Each attempt has its own id.
            std::vector<std::string> tried;
        };

        struct Bucket {
            double requested = 0;
            double answered = 0;
        };

        bool inOutage(double time) const { return time >= outageFrom && time < outageUntil; }
        bool failing(uint32_t replica) const
        {
            return m_outage != Outage::Overload && replica < failingCount && inOutage(m_events.now());
        }

        double load() const
        {
            bool overloaded = m_outage == Outage::Overload && inOutage(m_events.now());
            return overloaded ? 1.5 : 0.6;
        }

        void report()
        {
            std::vector<ReplicaSample> samples;
            for (uint32_t index = 0; index < replicaCount; ++index)
                samples.push_back({ fmt::format("r{}", index), "z", streamLimit, m_replicas[index]->running(),
                    m_replicas[index]->queued(), 0, m_events.time() });
            for (ServiceRouter& router : m_routers)
                router.setServing(samples);
            m_events.after(reportPeriod, [this] { report(); });
        }

        void arrive()
        {
            double perSecond = load() * replicaCount * fullRate / truncatedMeanSeconds;
            m_events.after(exponential(m_load, 1 / perSecond), [this] {
                Request request;
                request.node = static_cast<uint32_t>(m_load() % nodeCount);
                request.seconds = std::min(exponential(m_load, meanSeconds), longestSeconds);
                request.arrivedAt = m_events.now();
                m_budgets[request.node].recordFirstAttempt("model", m_events.time());
                bucketOf(request).requested += 1;
                m_outcome.requests += inOutage(request.arrivedAt);
                dispatch(std::move(request));
                arrive();
            });
        }

        void dispatch(Request request)
        {
            RequestShape shape { "model", "z", {}, request.tried };
            std::string name = m_routers[request.node].choose(shape, m_events.time(), m_random);
            if (name.empty())
                return;
            request.replica = static_cast<uint32_t>(std::stoul(name.substr(1)));
            request.tried.push_back(name);
            request.attemptedAt = m_events.now();
            m_outcome.dispatches += inOutage(request.arrivedAt);
            uint64_t id = ++m_lastId;
            bool fails = failing(request.replica);
            ModelRequest work { id, {}, 0.1 * request.seconds, 0, 0.9 * request.seconds };
            uint32_t replica = request.replica;
            m_requests[id] = std::move(request);
            if (!fails)
                m_replicas[replica]->start(std::move(work));
            bool refused = fails && m_outage == Outage::Refusing;
            m_events.after(refused ? refusalSeconds : attemptTimeout, [this, id] { failed(id); });
        }

        void firstToken(uint64_t id)
        {
            const Request& request = m_requests[id];
            m_routers[request.node].firstToken(
                replicaName(request), nanoseconds(m_events.now() - request.attemptedAt), m_events.time());
        }

        void finished(uint64_t id)
        {
            Request request = std::move(m_requests[id]);
            m_requests.erase(id);
            m_routers[request.node].ended(replicaName(request), DispatchEnd::Finished, m_events.time());
            double seconds = m_events.now() - request.arrivedAt;
            if (seconds > callerTimeout)
                return;
            bucketOf(request).answered += 1;
            if (!inOutage(request.arrivedAt))
                return;
            m_outcome.answered += 1;
            m_outcome.answerSeconds.push_back(seconds);
        }

        void failed(uint64_t id)
        {
            auto found = m_requests.find(id);
            if (found == m_requests.end())
                return;
            Request request = std::move(found->second);
            m_requests.erase(found);
            m_replicas[request.replica]->cancel(id);
            m_routers[request.node].ended(replicaName(request), DispatchEnd::Failed, m_events.time());
            if (m_events.now() - request.arrivedAt > callerTimeout - attemptTimeout || !mayRetryAgain(request))
                return;
            ++request.retries;
            dispatch(std::move(request));
        }

        bool mayRetryAgain(const Request& request)
        {
            if (m_mode == RetryMode::Never || request.retries == maxRetries)
                return false;
            return m_mode == RetryMode::Always || m_budgets[request.node].takeRetry("model", m_events.time());
        }

        static std::string replicaName(const Request& request) { return fmt::format("r{}", request.replica); }

        Bucket& bucketOf(const Request& request)
        {
            auto index = static_cast<size_t>(request.arrivedAt / bucketSeconds);
            m_buckets.resize(std::max(m_buckets.size(), index + 1));
            return m_buckets[index];
        }

        double recovery() const
        {
            double recovered = 0;
            auto last = static_cast<size_t>((endTime - callerTimeout) / bucketSeconds);
            for (auto index = static_cast<size_t>(outageUntil / bucketSeconds); index < last; ++index) {
                if (m_buckets[index].answered < recoveredShare * m_buckets[index].requested)
                    recovered = double(index + 1) * bucketSeconds - outageUntil;
            }
            return recovered;
        }

        RetryOutcome& m_outcome;
        Outage m_outage;
        RetryMode m_mode;
        EventQueue m_events;
        Random m_load;
        Random m_random;
        std::vector<std::unique_ptr<ModelReplica>> m_replicas;
        std::vector<ServiceRouter> m_routers;
        std::vector<RetryBudget> m_budgets;
        std::unordered_map<uint64_t, Request> m_requests;
        std::vector<Bucket> m_buckets;
        uint64_t m_lastId = 0;
    };

} // namespace

BenchTable benchRetries(uint64_t seed)
{
    BenchTable table { "retries",
        { "outage", "retries", "dispatches per request", "answered in time", "answer p95 s", "recovery s" }, {} };
    const std::vector<std::pair<std::string, Outage>> outages { { "30% refuse", Outage::Refusing },
        { "30% hang", Outage::Hanging }, { "load 1.5", Outage::Overload } };
    const std::vector<std::pair<std::string, RetryMode>> modes { { "never", RetryMode::Never },
        { "always, at most 3", RetryMode::Always }, { "ours, budget", RetryMode::Budget } };
    for (const auto& [outageName, outage] : outages) {
        for (const auto& [modeName, mode] : modes) {
            RetryOutcome outcome;
            for (uint32_t run = 0; run < seeds; ++run)
                RetryRun(outage, mode, seed + 1000 * run, outcome).run();
            table.rows.push_back({ outageName, modeName, fmt::format("{:.3f}", outcome.dispatches / outcome.requests),
                fmt::format("{:.3f}", outcome.answered / outcome.requests),
                fmt::format("{:.2f}", quantile(outcome.answerSeconds, 0.95)),
                fmt::format("{:.1f}", outcome.recovery / seeds) });
        }
    }
    return table;
}

} // namespace Kumquatpick
