#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "fleet/backoffs.h"
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

// Where requests of a model, or of a plain service, may go: the head of an open replica, or a plain host.
struct ServingTarget {
    std::string hostId;
    std::string service;
    std::string model; // Empty for a plain service.
    std::string zone;
    uint32_t capacity = 1;
    double pace = 1; // Time of one step against the service's usual one.
};

enum class SendEnd : uint8_t {
    Finished,
    NotTaken, // Refused as full: says nothing of the target's health, but what is known of its load is old.
    NotServing, // Refused by a host that is no head any more.
    Withdrawn, // The caller left or its time was over.
    Failed, // Broken off, or an answer that can't be used.
    Stalled, // Nothing came although something was due.
    Unreachable, // It accepts no connection.
};

struct ChoiceRequest {
    std::string_view service;
    std::string_view model;
    std::span<const std::string> avoid; // Targets tried already.
    uint32_t queueLimit = 0; // Requests that may wait at the target beyond its capacity.
};

// Spreads requests over the targets by what is in flight there, this node's own sends and what the other nodes told,
// and keeps off targets that failed or stand still. Not thread-safe; time is handed in.
class Balancer {
public:
    explicit Balancer(std::string zone);

    // Replaces the targets; what is known of those that stay is kept.
    void setTargets(std::vector<ServingTarget>);
    // Requests that the other nodes have in flight, by host.
    void setOthersInFlight(std::map<std::string, uint32_t, std::less<>>);

    // The target's host, or empty if none has room.
    std::string choose(const ChoiceRequest&, MonotonicTime now, Random&);
    void started(std::string_view hostId, MonotonicTime now);
    // An event of a stream arrived, or an answer's head.
    void progressed(std::string_view hostId, MonotonicTime now);
    void ended(std::string_view hostId, SendEnd, MonotonicTime now);
    // This node's own loop stood for so long: what arrived meanwhile is still to be read.
    void excusePause(MonotonicTime::duration, MonotonicTime now);
    // Streams that are past their first event; only for these something is due soon.
    void writing(std::string_view hostId, int change);

    // The rates that targets named, which choices keep.
    RateLimits& limits() { return m_limits; }
    const RateLimits& limits() const { return m_limits; }
    // The backoffs that targets asked for, which choices keep.
    Backoffs& backoffs() { return m_backoffs; }
    const Backoffs& backoffs() const { return m_backoffs; }
    // The earliest end of a backoff, if all targets that could be chosen at all asked for one; else nothing.
    std::optional<MonotonicTime> allBackedOffUntil(
        std::string_view service, std::string_view model, MonotonicTime now) const;
    // Times that a target was left out of a choice for its limit alone.
    uint64_t leftOutByLimit() const { return m_leftOutByLimit; }

    // Keeps off a target for a while: another node saw it stand still.
    void suspect(std::string_view hostId, MonotonicTime until);
    bool isSuspected(std::string_view hostId, MonotonicTime now) const;
    // Targets whose streams all stand still for longer than they ever should.
    std::vector<std::string> standingStill(MonotonicTime now) const;

    // Own requests in flight, by host; for the other nodes.
    std::map<std::string, uint32_t, std::less<>> inFlight() const;
    // Over all nodes, at one target.
    uint32_t inFlightAt(std::string_view hostId) const;
    // Over all nodes.
    uint32_t inFlightOf(std::string_view service, std::string_view model) const;

private:
    struct Target {
        ServingTarget what;
        uint32_t own = 0;
        uint32_t others = 0;
        int writing = 0;
        double gapMs = 0; // Usual time between arrivals of anything from it while streams write; 0 until known.
        double failures = 0; // Fades with successes.
        int refusals = 0; // As full, in a row.
        MonotonicTime fullUntil {};
        MonotonicTime lastArrival {};
        MonotonicTime avoidUntil {};
    };

    double expectedLoad(const Target&) const;
    bool isUsable(const Target&, const ChoiceRequest&, MonotonicTime now) const;

    std::string m_zone;
    std::map<std::string, Target, std::less<>> m_targets;
    std::map<std::string, uint32_t, std::less<>> m_othersInFlight;
    RateLimits m_limits;
    Backoffs m_backoffs;
    uint64_t m_leftOutByLimit = 0;
};

} // namespace Kumquatpick
