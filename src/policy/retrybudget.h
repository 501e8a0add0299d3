#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Kumquatpick {

// Whether a dispatch that ended with this error may be retried. repeatable: whether the caller marked the request as
// repeatable. sent: whether any byte of it may have reached a backend server; an engine's answer that it did not run
// the request (409, 503) counts as not sent.
bool mayRetry(ErrorCode, bool repeatable, bool sent);

// Limits a service's retries to a share of its first attempts, so that retries do not multiply the load of an outage.
// Thread-safe.
class RetryBudget {
public:
    void recordFirstAttempt(std::string_view service, MonotonicTime now);
    // Takes one retry from the budget. Returns false if the budget is empty.
    bool takeRetry(std::string_view service, MonotonicTime now);

private:
    struct Tokens {
        double available = 0;
        double exhaustion = 0; // Moving average: the share of recent retries that found the budget empty.
        MonotonicTime updated {};
    };

    Tokens& refilledTokens(std::string_view service, MonotonicTime now);

    std::mutex m_mutex;
    std::unordered_map<std::string, Tokens> m_services;
};

} // namespace Kumquatpick
