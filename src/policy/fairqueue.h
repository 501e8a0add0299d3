#pragma once

#include "base/random.h"
#include "policy/admission.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The order of a team's waiting requests of equal priority.
enum class QueueOrder : uint8_t {
    Arrival,
    Deadline,
    AdaptiveLifo, // Newest first while the oldest has used much of its time, so that some requests still meet their
                  // deadlines.
};

struct FairQueueSettings {
    QueueOrder order = QueueOrder::Deadline;
    bool fairBetweenTeams = true; // If false, all requests count as one team; for benchmarks.
    bool shedsEarly = true; // If false, a request waits until its deadline.
    double requiredRunShare = 0.25; // A request must start at least this share of the mean run before its deadline.
};

// Identifies a request; chosen by the caller, unique while the request waits or runs.
using Ticket = uint64_t;

struct QueueRequest {
    Ticket ticket = 0;
    std::string_view team;
    Priority priority = Priority::Normal;
    MonotonicTime deadline;
};

struct QueueDecision {
    Ticket ticket = 0;
    AdmissionOutcome outcome;
};

// The admission logic for one service: start-time fair queueing between weighted teams, charged by the time that
// streams ran, with bounded queues and early refusal. Deterministic for given events, times and random values. Not
// thread-safe.
class FairQueue {
public:
    explicit FairQueue(FairQueueSettings settings = {});

    void configure(uint32_t queueLimit, std::span<const TeamConfig>);
    void setCapacity(uint32_t streams, MonotonicTime now, Random&);
    // Usage of this service summed over the other nodes; teams not listed count as unused there.
    void setRemoteUsage(std::span<const TeamUsage>, MonotonicTime now);

    // Returns the outcome if it is decided at once, or nothing if the request waits.
    std::optional<AdmissionOutcome> arrive(const QueueRequest&, MonotonicTime now, Random&);
    void release(std::string_view team, std::chrono::nanoseconds ran, MonotonicTime now, Random&);
    // Refuses waiting requests that can no longer meet their deadlines.
    void expire(MonotonicTime now, Random&);
    // Removes a waiting request whose caller has disconnected. Returns whether it was waiting.
    bool withdraw(Ticket);
    void refuseAll(AdmissionVerdict, Milliseconds retryAfter);

    // Returns the decisions on waiting requests since the last call, in order.
    std::vector<QueueDecision> takeDecisions();
    // The time from which expire() refuses the request; empty if it is not waiting.
    std::optional<MonotonicTime> expiresAt(Ticket) const;
    // The earliest such time over all waiting requests.
    std::optional<MonotonicTime> nextExpiry() const;

    std::vector<TeamUsage> usage(std::string_view service) const;
    uint32_t running() const { return m_running; }
    uint32_t waiting() const { return m_waiting; }
    uint32_t capacity() const { return m_capacity; }
    // The number of the team's streams that this node may run now.
    uint32_t teamAllowance(std::string_view team) const;

private:
    struct Waiting {
        Ticket ticket = 0;
        Priority priority = Priority::Normal;
        MonotonicTime arrived;
        MonotonicTime deadline;
        MonotonicTime expiresAt; // The latest useful start time.
    };

    struct Team {
        double weight = 1;
        uint32_t limit = 0;
        uint32_t running = 0;
        uint32_t remoteRunning = 0;
        uint32_t remoteWaiting = 0;
        uint32_t runningAtUpdate
            = 0; // `running` at the latest update of the other nodes' usage, and at the one before it.
        uint32_t runningAtPreviousUpdate = 0;
        double startTag = 0; // Virtual start time of its next request.
        std::list<Waiting> waiting; // Sorted by priority, then by FairQueueSettings::order.
        // Mean seconds between starts, measured while requests wait, so that it includes the effect of limits.
        double secondsPerStart = 0;
        MonotonicTime lastStart {}; // Or when the queue last became non-empty.
        MonotonicTime latestRetryAt {}; // The latest retry time given to a refused request.

        uint32_t allowance() const;
        double remoteGrowth() const;
        bool mayStart() const { return !waiting.empty() && running < allowance(); }
    };

    using Teams = std::map<std::string, Team, std::less<>>;

    using WaitingIterator = std::list<Waiting>::iterator;

    Team& findOrAddTeam(std::string_view name);
    void trackNoCapacity(MonotonicTime now);
    WaitingIterator insert(Team&, const QueueRequest&, MonotonicTime now);
    std::optional<AdmissionOutcome> takeDecisionOn(Ticket);
    WaitingIterator nextRequest(Team&, MonotonicTime now);
    Team* nextTeam();
    void startWaiting(MonotonicTime now);
    void start(Team&, WaitingIterator, MonotonicTime now);
    void refuse(Team&, WaitingIterator, AdmissionVerdict, MonotonicTime now, Random&);
    void refuseFromLongestQueue(MonotonicTime now, Random&);
    bool willMissDeadline(const Team&, std::list<Waiting>::const_iterator, MonotonicTime now) const;
    void refuseLateRequests(MonotonicTime now, Random&);
    AdmissionVerdict lateVerdict(const Team&) const;
    double meanRun() const;
    double streamsPerSecond(const Team&) const;
    double secondsToStart(const Team&, size_t ahead, MonotonicTime now) const;
    Milliseconds retryAfter(Team&, MonotonicTime now, Random&);

    FairQueueSettings m_settings;
    Teams m_teams;
    std::vector<QueueDecision> m_decisions;
    uint32_t m_capacity = 0;
    std::optional<MonotonicTime> m_noCapacitySince; // Time since which the capacity has been 0.
    uint32_t m_queueLimit = 256;
    uint32_t m_running = 0;
    uint32_t m_waiting = 0;
    double m_virtualTime = 0;
    double m_meanRun = 0; // Seconds; 0 until a run has ended.
};

} // namespace Kumquatpick
