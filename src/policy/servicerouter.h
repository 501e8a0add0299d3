#pragma once

#include "base/random.h"
#include "policy/prefixmap.h"
#include "policy/router.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Parameters of the choice among the replicas of one service.
struct RouterSettings {
    uint32_t sampledReplicas = 20; // Random candidates, in addition to replicas with the prompt's prefix cached.
    uint32_t holdersCompared = 4;
    double otherZoneFactor = 1.05;
    double loadSlope = 1; // Relative increase of the time to first token from an idle to a full replica.
    double fixedShare = 0.15; // Share of the time to first token that a cached prompt does not save.
    double speedSmoothing = 0.05; // Weight of one observation of a replica's speed.
    double failureFactor = 0.25; // Factor applied to the weight after a failure.
    double recoverySeconds = 20; // Time constant with which the weight recovers after failures.
    double speedDecaySeconds
        = 60; // Time constant with which the learned speed decays, so that a slow replica is tried again.
    double jitter
        = 0.04; // Random spread of scores, so that near ties alternate; less than the margin of otherZoneFactor.
    double reportWeight
        = 0.5; // Weight of reports in the load estimate; the rest is this node's requests in flight, scaled up.
    bool learnsSpeed = true;
    bool usesPrefixes = true;
    bool correctsReports = true;
};

// The routing logic for one service. Deterministic for given events, times and random values. Not thread-safe.
class ServiceRouter {
public:
    explicit ServiceRouter(RouterSettings settings = {});
    ServiceRouter(ServiceRouter&&) = default;

    void setServing(std::vector<ReplicaSample>);
    void cacheEvent(const CacheEvent&);
    std::string choose(const RequestShape&, MonotonicTime now, Random&);
    void firstToken(std::string_view replica, std::chrono::nanoseconds sinceDispatch, MonotonicTime now);
    void ended(std::string_view replica, DispatchEnd, MonotonicTime now);

    void backoffRequested(std::string_view replica, Milliseconds backoff, MonotonicTime now);

    uint32_t freeStreams() const;
    uint32_t inFlight(std::string_view replica) const;
    // Expected seconds to the first token of a request without a cached prefix; infinite if not serving.
    double expectedSeconds(std::string_view replica, MonotonicTime now) const;

private:
    struct Pending {
        MonotonicTime dispatched;
        double expected = 0; // Seconds, without the correction for the replica's speed.
        double expectedUncached = 0; // The same for a prompt without a cached prefix.
    };

    struct Replica {
        ReplicaSample sample;
        bool serving = false;
        uint32_t inFlight = 0;
        std::deque<MonotonicTime> dispatches; // Dispatches since the latest report, oldest first.
        std::deque<MonotonicTime> ends;
        std::deque<Pending> pending; // Requests without a first token yet, oldest first.
        double logSlowness = 0; // Logarithm of observed over expected time to first token.
        MonotonicTime learnedAt {};
        double weight = 1; // 1 for a healthy replica; lower after failures.
        MonotonicTime weightAt {};
        MonotonicTime backedOffUntil {}; // End of the backoff that the replica asked for.
    };

    using Replicas = std::map<std::string, Replica, std::less<>>;

    double correctedReport(const Replica&) const;
    double load(const Replica&) const;
    void updateTotalPerLocalLoad();
    double expectedBeforeSpeed(const Replica&, double missShare) const;
    double learnedLogSlowness(const Replica&, MonotonicTime now) const;
    double slowness(const Replica&, MonotonicTime now) const;
    double weight(const Replica&, MonotonicTime now) const;
    double score(const Replica&, const RequestShape&, double missShare, MonotonicTime now) const;
    std::vector<Replicas::value_type*> candidates(const RequestShape&, MonotonicTime now, Random&);
    static double observedRatio(const Pending&, double observed);
    void learnSpeed(Replica&, const Pending&, double observed, MonotonicTime now);
    void accumulateInFlightTime(MonotonicTime now);
    double secondsPerStream() const;

    RouterSettings m_settings;
    Replicas m_replicas;
    std::vector<Replicas::value_type*> m_serving;
    PrefixMap m_prefixes;
    double m_totalPerLocalLoad = 0; // Ratio of all requests at the replicas to those of this node; 0 until known.
    double m_baseSeconds = 0.2; // Learned time to first token of an uncached prompt on an idle replica.
    // By Little's law the mean time of a request is the total time in flight divided by the number of requests that
    // ended. Both sums decay with time.
    double m_inFlightSeconds = 0;
    double m_ends = 0;
    uint64_t m_totalInFlight = 0;
    MonotonicTime m_accumulatedUntil {};
};

} // namespace Kumquatpick
