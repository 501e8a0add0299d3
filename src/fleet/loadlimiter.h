#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

struct EngineTiming;
struct FleetConfig;

// Limits the loads from the weight store. The hosts of all services load from the same store, so its limits hold for
// their sum; if services name different ones, the lowest hold. Services that wait for loads at the same time get equal
// shares. Not thread-safe.
class LoadLimiter {
public:
    // A load that a service would begin.
    struct Request {
        std::string_view service;
        uint32_t running = 0; // Loads of the service in progress.
        uint32_t maxRunning = 0; // Loads of all services beside which it may begin.
        bool mayWait = false; // No replica waits for it.
    };

    // Forgets services that no longer serve models.
    void retainServices(const FleetConfig&);
    // What the service names as the store's limits.
    void setLimits(std::string_view service, const EngineTiming&);
    // The loads of the service in progress, as of its latest plan.
    void setRunning(std::string_view service, uint32_t loads);

    uint32_t runningOfOthers(std::string_view service) const;
    uint32_t maxRunning() const;
    // Whether the load may begin now; it counts as begun then.
    bool tryBegin(const Request&, MonotonicTime now);

private:
    struct Service {
        double maxPerSecond = 0;
        uint32_t maxRunning = 0;
        uint32_t running = 0;
        std::optional<MonotonicTime> refusedAt; // The latest load that a replica waits for.
    };

    bool isOverShare(const Request&, MonotonicTime now) const;
    bool takeToken(MonotonicTime now);

    std::map<std::string, Service, std::less<>> m_services;
    double m_tokens = 0;
    std::optional<MonotonicTime> m_refilledAt;
};

} // namespace Kumquatpick
