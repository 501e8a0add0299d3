#pragma once

#include "base/clock.h"
#include "base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// What a caller can rely on about its request; docs/PROTOCOLS.md defines the guarantees.
enum class Outcome : uint8_t {
    Answered,
    NotRun,
    Undecided,
    MayHaveRun,
};

enum class RefusalType : uint8_t {
    Malformed,
    UnknownTeam,
    UnknownService,
    MissingKey,
    DeadlinePassed,
    TooLarge,
    QueueFull,
    TeamLimit,
    WouldMissDeadline,
    NoReplica,
    Poison,
    Voided,
    Stopping,
    NotReady,
    Undecided,
    HeldElsewhere,
    KeyExpired,
    BackendLost,
    BackendRefused,
    Timeout,
};

std::string_view name(Outcome);
std::string_view name(RefusalType);

// The error response to a request that is not answered.
struct Refusal {
    Outcome outcome = Outcome::NotRun;
    RefusalType type = RefusalType::Malformed;
    std::string message;
    Step step = Step::Parse;
    std::string peer {};
    std::optional<Milliseconds> retryAfter {}; // Absent if a retry can't succeed.
    std::optional<uint32_t> nextAttempt {}; // The attempt number for a retry, set once this attempt is void.
};

// The HTTP status for the refusal's outcome and type.
int httpStatus(const Refusal&);
// The JSON body, used for both plain responses and the error event of a stream.
std::string refusalBody(const Refusal&, std::string_view requestId);
// Seconds for the Retry-After header, rounded up.
int64_t retryAfterSeconds(Milliseconds);

} // namespace Kumquatpick
