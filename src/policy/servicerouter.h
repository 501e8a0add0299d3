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

// What the choice among the replicas of one service is tuned by.
struct RouterSettings {
    uint32_t sampled = 20; // Replicas compared at random, beside those that hold the prompt's prefix.
    uint32_t holdersCompared = 4;
    double otherZoneFactor = 1.05;
    double loadSlope = 1; // First token of a full replica over that of an idle one, less one.
    double fixedShare = 0.15; // Of a first token's time, what a cached prompt does not save.
    double speedGain = 0.05; // Weight of one observation of a replica's speed.
    double failureFactor = 0.25; // Weight left after a failure.
    double recoverySeconds = 20; // Time in which lost weight comes back for a trial.
    double speedMemorySeconds = 60; // After which a slow replica that got nothing is tried again.
    double jitter = 0.04; // Spread of scores, less than the zone's margin: near ties take turns.
    double reportShare = 0.5; // Of a load estimate; the rest is this node's own in flight, scaled up.
    bool learnsSpeed = true;
    bool usesPrefixes = true;
    bool correctsReports = true;
};

// The decisions of Router for one service: state, event and time in, replica out. Not thread-safe.
class ServiceRouter {
public:
    explicit ServiceRouter(RouterSettings settings = {});
    ServiceRouter(ServiceRouter&&) = default;

    void setServing(std::vector<ReplicaSample>);
    void cacheEvent(const CacheEvent&);
    std::string choose(const RequestShape&, MonotonicTime now, Random&);
    void firstToken(std::string_view replica, std::chrono::nanoseconds sinceDispatch, MonotonicTime now);
    void ended(std::string_view replica, DispatchEnd, MonotonicTime now);

    void backoffAsked(std::string_view replica, Milliseconds backoff, MonotonicTime now);

    uint32_t freeStreams() const;
    uint32_t inFlight(std::string_view replica) const;
    // Seconds to the first token that a request without cached prefix would see; infinite if not serving.
    double expectedSeconds(std::string_view replica, MonotonicTime now) const;

private:
    struct Pending {
        MonotonicTime dispatched;
        double expected = 0; // Seconds, before the replica's own speed.
        double expectedUncached = 0; // The same if the believed prefix is not there.
    };

    struct Replica {
        ReplicaSample sample;
        bool serving = false;
        uint32_t inFlight = 0;
        std::deque<MonotonicTime> dispatches; // Since the report, oldest first.
        std::deque<MonotonicTime> ends;
        std::deque<Pending> pending; // Without a first token yet, oldest first.
        double logSlowness = 0; // Observed over expected time to first token.
        MonotonicTime learnedAt {};
        double weight = 1; // Lost by failures.
        MonotonicTime weightAt {};
        MonotonicTime backedOffUntil {}; // As it asked for.
    };

    using Replicas = std::map<std::string, Replica, std::less<>>;

    double correctedReport(const Replica&) const;
    double load(const Replica&) const;
    void learnOwnShare();
    double expectedBeforeSpeed(const Replica&, double missShare) const;
    double learnedLogSlowness(const Replica&, MonotonicTime now) const;
    double slowness(const Replica&, MonotonicTime now) const;
    double weight(const Replica&, MonotonicTime now) const;
    double score(const Replica&, const RequestShape&, double missShare, MonotonicTime now) const;
    std::vector<Replicas::value_type*> candidates(const RequestShape&, MonotonicTime now, Random&);
    static double observedRatio(const Pending&, double observed);
    void learnSpeed(Replica&, const Pending&, double observed, MonotonicTime now);
    void accountTime(MonotonicTime now);
    double secondsPerStream() const;

    RouterSettings m_settings;
    Replicas m_replicas;
    std::vector<Replicas::value_type*> m_serving;
    PrefixMap m_prefixes;
    double m_loadPerOwn = 0; // All requests at the replicas over those of this node; 0 until known.
    double m_unitSeconds = 0.2; // First token of an uncached prompt at an idle replica, learned.
    // Little's law: time spent in flight over requests ended is the time of one; both fade with age.
    double m_inFlightSeconds = 0;
    double m_ends = 0;
    uint64_t m_totalInFlight = 0;
    MonotonicTime m_accounted {};
};

} // namespace Kumquatpick
