#pragma once

#include "base/clock.h"
#include "operator/config.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Orders the waiting requests of one team: higher priorities start first.
enum class Priority : uint8_t {
    Low,
    Normal,
    High,
};

struct AdmissionRequest {
    std::string_view service;
    std::string_view team;
    Priority priority = Priority::Normal;
    MonotonicTime deadline;
};

enum class AdmissionVerdict : uint8_t {
    Admitted,
    QueueFull,
    TeamLimit, // The team runs as many streams over all entry nodes as its limit allows.
    WouldMissDeadline, // Refused on arrival if possible, not when the deadline has passed.
    ShuttingDown,
};

struct AdmissionOutcome {
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    Milliseconds retryAfter {}; // Time after which a retry is worthwhile; unused for Admitted.
};

// A team's running and waiting requests for one service on one node, as sent by gossip.
struct TeamUsage {
    std::string service;
    std::string team;
    uint32_t running = 0;
    uint32_t waiting = 0;
};

// Admission control for all services of a node: bounded queues ordered by priority and deadline, weighted fair
// queueing between teams, and team limits that include the usage on other nodes. Thread-safe.
class Admission {
public:
    Admission();
    ~Admission();

    void configure(const OperatorConfig&);
    // The streams that this node may run on a service at once: its share of the replicas' capacity.
    void setCapacity(std::string_view service, uint32_t streams, MonotonicTime now);
    void setRemoteUsage(std::span<const TeamUsage> summedOverOtherNodes);

    // Blocks until the request is admitted or refused. Each admitted request needs exactly one release().
    AdmissionOutcome admit(const AdmissionRequest&);
    void release(std::string_view service, std::string_view team, std::chrono::nanoseconds ran);

    std::vector<TeamUsage> localUsage() const;
    // Refuses all waiting requests and all that arrive later.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kumquatpick
