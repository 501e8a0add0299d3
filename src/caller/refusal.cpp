#include "caller/refusal.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    struct TypeRow {
        std::string_view name;
        int notRunStatus; // HTTP status if the outcome is not-run.
    };

    // In the order of RefusalType.
    constexpr TypeRow typeRows[] = {
        { "malformed", 400 },
        { "unknown_team", 401 },
        { "unknown_service", 404 },
        { "missing_key", 400 },
        { "deadline_passed", 503 },
        { "too_large", 413 },
        { "queue_full", 503 },
        { "team_limit", 429 },
        { "would_miss_deadline", 503 },
        { "no_replica", 503 },
        { "poison", 503 },
        { "voided", 503 },
        { "stopping", 503 },
        { "not_ready", 503 },
        { "undecided", 503 },
        { "held_elsewhere", 503 },
        { "key_expired", 503 },
        { "backend_lost", 503 },
        { "backend_refused", 503 },
        { "timeout", 503 },
    };
    static_assert(std::size(typeRows) == static_cast<size_t>(RefusalType::Timeout) + 1);

    const TypeRow& row(RefusalType type) { return typeRows[static_cast<size_t>(type)]; }

    int mayHaveRunStatus(RefusalType type)
    {
        switch (type) {
        case RefusalType::Timeout:
        case RefusalType::DeadlinePassed:
            return 504;
        case RefusalType::HeldElsewhere:
        case RefusalType::KeyExpired:
            return 409;
        default:
            return 502;
        }
    }

}

std::string_view name(Outcome outcome)
{
    constexpr std::string_view names[] = { "answered", "not-run", "undecided", "may-have-run" };
    return names[static_cast<size_t>(outcome)];
}

std::string_view name(RefusalType type) { return row(type).name; }

int httpStatus(const Refusal& refusal)
{
    switch (refusal.outcome) {
    case Outcome::NotRun:
        return row(refusal.type).notRunStatus;
    case Outcome::MayHaveRun:
        return mayHaveRunStatus(refusal.type);
    case Outcome::Undecided:
    case Outcome::Answered:
        break;
    }
    return 503;
}

std::string refusalBody(const Refusal& refusal, std::string_view requestId)
{
    nlohmann::json error {
        { "outcome", name(refusal.outcome) },
        { "type", name(refusal.type) },
        { "message", refusal.message },
        { "step", name(refusal.step) },
        { "peer", refusal.peer },
        { "request_id", requestId },
    };
    if (refusal.retryAfter)
        error["retry_after_ms"] = refusal.retryAfter->count();
    if (refusal.nextAttempt)
        error["next_attempt"] = *refusal.nextAttempt;
    // Messages may quote input from the caller, which need not be valid UTF-8.
    return nlohmann::json { { "error", std::move(error) } }.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int64_t retryAfterSeconds(Milliseconds wait) { return std::max<int64_t>(1, (wait.count() + 999) / 1000); }

} // namespace Kumquatpick
