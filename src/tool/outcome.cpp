#include "tool/outcome.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr int firstErrorStatus = 400;

    struct OutcomeCode {
        std::string_view outcome;
        ExitCode code;
    };

    constexpr OutcomeCode outcomeCodes[] = {
        { "answered", ExitCode::Ok },
        { "not-run", ExitCode::Refused },
        { "undecided", ExitCode::Undecided },
        { "may-have-run", ExitCode::MayHaveRun },
    };

    std::string textAt(const nlohmann::json& object, const char* key)
    {
        return object.contains(key) && object[key].is_string() ? object[key].get<std::string>() : std::string();
    }

    std::optional<uint64_t> numberAt(const nlohmann::json& object, const char* key)
    {
        bool there = object.contains(key) && object[key].is_number_unsigned();
        return there ? std::optional(object[key].get<uint64_t>()) : std::nullopt;
    }

}

ExitCode RequestOutcome::exitCode(int status) const
{
    if (outcome == "answered" && status >= firstErrorStatus)
        return ExitCode::Refused;
    for (const OutcomeCode& known : outcomeCodes)
        if (known.outcome == outcome)
            return known.code;
    return ExitCode::MayHaveRun; // Nothing else can be said of an answer that we don't understand.
}

std::string RequestOutcome::describe(int status) const
{
    if (outcome == "answered")
        return status < firstErrorStatus ? "" : fmt::format("answered with status {}\n", status);
    std::string text = outcome;
    for (const std::string& part : { type, message })
        if (!part.empty())
            text += ": " + part;
    if (!step.empty())
        text += fmt::format(" ({}{}{})", step, peer.empty() ? "" : " at ", peer);
    if (retryAfterMs)
        text += fmt::format("; come back in {} ms", *retryAfterMs);
    if (nextAttempt)
        text += fmt::format(" with --attempt {}", *nextAttempt);
    if (!requestId.empty())
        text += fmt::format("\nrequest {}", requestId);
    return text + "\n";
}

RequestOutcome mayHaveRun(std::string message)
{
    RequestOutcome outcome;
    outcome.outcome = "may-have-run";
    outcome.message = std::move(message);
    return outcome;
}

RequestOutcome outcomeOfError(const nlohmann::json& body)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return mayHaveRun("an error that names no outcome");
    const nlohmann::json& error = body["error"];
    RequestOutcome outcome { textAt(error, "outcome"), textAt(error, "type"), textAt(error, "message"),
        textAt(error, "step"), textAt(error, "peer"), textAt(error, "request_id"), numberAt(error, "retry_after_ms"),
        numberAt(error, "next_attempt") };
    if (outcome.outcome.empty())
        outcome.outcome = "may-have-run";
    return outcome;
}

RequestOutcome outcomeOf(const NodeAnswer& answer)
{
    std::string_view header = answer.header("Kumquatpick-Outcome");
    if (header == "answered") {
        RequestOutcome outcome;
        outcome.outcome = header;
        return outcome;
    }
    if (header.empty())
        return mayHaveRun(
            fmt::format("status {} without an outcome; is {} a node?", answer.status, answer.node.toString()));
    RequestOutcome outcome = outcomeOfError(nlohmann::json::parse(answer.body, nullptr, false));
    outcome.outcome = header;
    return outcome;
}

} // namespace Kumquatpick
