#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "fleet/backoffs.h"
#include "fleet/firsteventforecast.h"
#include "fleet/ratelimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// A destination for requests of a model (the head of an open replica) or of a plain service (a host).
struct ServingTarget {
    std::string hostId;
    std::string service;
    std::string model; // Empty for a plain service.
    std::string zone;
    uint32_t capacity = 1;
    double pace = 1; // Duration of one decoding step, relative to the service's usual one.
};

enum class SendResult : uint8_t {
    Finished,
    RefusedFull, // Refused because it is full. The target is healthy, but its load figures are out of date.
    NotServing, // Refused by a host that is no longer the head of a replica.
    CallerGone, // The caller disconnected or its deadline passed.
    Failed, // The connection broke, or the answer was unusable.
    Stalled, // No data arrived although some was due.
    Left, // The request went on at another target; this one is healthy.
    Unreachable, // The target accepts no connections.
};

// Limits a choice to targets that are predicted to send the first event in time.
struct FirstEventBound {
    const FirstEventForecast* forecast = nullptr; // nullptr: no limit.
    uint32_t promptTokens = 0;
    double maxMs = 0; // For a usual prompt, so that long ones are not refused more often.
    double maxLoad = 1; // Share of the target's slots in use, with this request.
};

struct ChoiceRequest {
    std::string_view service;
    std::string_view model;
    std::span<const std::string> excludedHosts; // Hosts that this request has already tried.
    uint32_t queueLimit = 0; // Requests that may queue at the target beyond its capacity.
    FirstEventBound firstEvent {};
    std::span<const std::string> preferredHosts {}; // Chosen first unless they are loaded more than others.
};

// Spreads requests over targets by the number in flight at each, from this node and, as reported, from the other nodes.
// Avoids targets that failed or stalled. Not thread-safe. The caller passes the time in.
class Balancer {
public:
    explicit Balancer(std::string zone);

    // Replaces the targets. State of targets that remain is kept.
    void setTargets(std::vector<ServingTarget>);
    // Sets the requests that the other nodes have in flight, by host.
    void setRemoteInFlight(std::map<std::string, uint32_t, std::less<>>);

    // Returns the host of the chosen target, or an empty string if no target has room.
    std::string choose(const ChoiceRequest&, MonotonicTime now, Random&);
    void sendStarted(std::string_view hostId, MonotonicTime now);
    // A stream event or the head of an answer arrived.
    void dataArrived(std::string_view hostId, MonotonicTime now);
    // A running stream went on, beyond its first event.
    void streamProgressed(std::string_view hostId, MonotonicTime now);
    void sendEnded(std::string_view hostId, SendResult, MonotonicTime now);
    // Excludes a pause of this node's event loop from stall detection: data that arrived during it is still unread.
    void excludePause(MonotonicTime::duration, MonotonicTime now);
    // Adjusts the number of streams that have had their first event. Only these are expected to deliver data soon.
    void adjustActiveStreams(std::string_view hostId, int change);

    // Rate limits that the targets announced; choose() respects them.
    RateLimits& limits() { return m_limits; }
    const RateLimits& limits() const { return m_limits; }
    // Backoffs that the targets requested; choose() respects them.
    Backoffs& backoffs() { return m_backoffs; }
    const Backoffs& backoffs() const { return m_backoffs; }
    // The earliest end of a backoff if every target that serves this is backed off; otherwise nullopt.
    std::optional<MonotonicTime> allBackedOffUntil(
        std::string_view service, std::string_view model, MonotonicTime now) const;
    // How often a target was excluded from a choice because of its rate limit alone.
    uint64_t rateLimitExclusions() const { return m_rateLimitExclusions; }

    // Avoids a target until this time because another node reported it as stalled.
    void suspect(std::string_view hostId, MonotonicTime until);
    bool isSuspected(std::string_view hostId, MonotonicTime now) const;
    // Targets that are avoided because they failed or stalled, or another node reported that they stalled.
    std::vector<std::string> suspectedTargets(MonotonicTime now) const;
    // When a running stream of each target last went on, since the given time.
    std::map<std::string, MonotonicTime, std::less<>> progressSince(MonotonicTime) const;
    // Whether data of the target's streams has arrived since this time.
    bool hasHeardFrom(std::string_view hostId, MonotonicTime since) const;
    // Targets whose streams have all been idle for longer than the stall limit.
    std::vector<std::string> stalledTargets(MonotonicTime now) const;

    // What a prediction for the target depends on; nothing if it is none.
    std::optional<HeadLoad> headLoad(std::string_view hostId) const;
    // The shortest predicted time to the first event, over all targets that serve this; nothing if there is no
    // prediction.
    std::optional<double> shortestFirstEventMs(const ChoiceRequest&, MonotonicTime now) const;

    // This node's requests in flight, by host, to be reported to the other nodes.
    std::map<std::string, uint32_t, std::less<>> inFlight() const;
    // Requests of all nodes in flight at one target.
    uint32_t inFlightAt(std::string_view hostId) const;
    // The same, also for a host that is no target any more.
    uint32_t inFlightAtHost(std::string_view hostId) const;
    // Requests of all nodes in flight for one model of a service.
    uint32_t inFlightOf(std::string_view service, std::string_view model) const;
    // Of the model or plain service with the largest load: the share of its slots that are taken, by all nodes.
    double largestLoad() const;

private:
    struct Target {
        ServingTarget serving;
        uint32_t localInFlight = 0;
        uint32_t remoteInFlight = 0;
        int activeStreams = 0;
        double gapMs = 0; // Mean time between arrivals of data while streams are active; 0 until known.
        double failures = 0; // Decays with successes.
        int refusals = 0; // Consecutive, because the target was full.
        MonotonicTime fullUntil {};
        MonotonicTime lastArrival {}; // Or the start of its only request.
        MonotonicTime heardAt {};
        MonotonicTime progressedAt {};
        MonotonicTime avoidUntil {};
    };

    static HeadLoad headLoad(const Target&);
    double expectedLoad(const Target&) const;
    const Target& sample(std::vector<const Target*>, const ChoiceRequest&, MonotonicTime now, Random&) const;
    bool isUsable(const Target&, const ChoiceRequest&, MonotonicTime now) const;
    bool isInTime(const Target&, const ChoiceRequest&, MonotonicTime now) const;
    // Factor on the weight of a target in a choice: prefers those that send the first event sooner.
    double speedWeight(const Target&, const ChoiceRequest&, MonotonicTime now) const;

    std::string m_zone;
    std::map<std::string, Target, std::less<>> m_targets;
    std::map<std::string, uint32_t, std::less<>> m_remoteInFlight;
    RateLimits m_limits;
    Backoffs m_backoffs;
    uint64_t m_rateLimitExclusions = 0;
};

} // namespace Kumquatpick
