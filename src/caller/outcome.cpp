#include "caller/serving.h"

#include "base/logline.h"
#include "base/metrics.h"
#include "caller/respond.h"
#include "policy/admission.h"
#include "policy/router.h"
#include "policy/suspicion.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

std::string_view permitText(PermitAnswer answer)
{
    constexpr std::string_view names[]
        = { "granted", "held by another arrival", "voided", "expired", "wrong epoch", "undecided" };
    return names[static_cast<size_t>(answer)];
}

RefusalType admissionRefusal(AdmissionVerdict verdict)
{
    switch (verdict) {
    case AdmissionVerdict::TeamLimit:
        return RefusalType::TeamLimit;
    case AdmissionVerdict::WouldMissDeadline:
        return RefusalType::WouldMissDeadline;
    case AdmissionVerdict::ShuttingDown:
        return RefusalType::Stopping;
    case AdmissionVerdict::QueueFull:
    case AdmissionVerdict::Admitted:
        break;
    }
    return RefusalType::QueueFull;
}

void Serving::end(Ending ending, httplib::Response& response)
{
    if (auto* refused = std::get_if<Refusal>(&ending))
        ending = confirm(std::move(*refused));
    if (auto* refused = std::get_if<Refusal>(&ending))
        respondRefused(*refused, response);
    else
        respondStored(std::get<StoredAnswer>(ending), response);
}

// "Not run" applies to the whole attempt, of which an earlier arrival may be waiting at another node. It is therefore
// sent only once the attempt is void at the slot's owner and witness; otherwise the outcome is "undecided".
Serving::Ending Serving::confirm(Refusal refused)
{
    bool isPromise = refused.outcome == Outcome::NotRun && refused.type != RefusalType::Voided;
    if (!isPromise || !isKeyed())
        return refused;
    RequestTrail::Hop hop(*m_trail, threadRandom(), "void");
    PermitOutcome outcome
        = m_parts.makeVoid(*m_identity.key, m_arrival, monotonicNow() + m_context.settings.voidTimeout);
    hop.end(std::string(permitText(outcome.answer)));
    if (outcome.answer == PermitAnswer::Voided) {
        if (refused.retryAfter)
            refused.nextAttempt = outcome.entry.voidedUpTo + 1;
        return refused;
    }
    if (outcome.answer == PermitAnswer::HeldByOther)
        return answerOfHolder(outcome.entry);
    if (outcome.answer == PermitAnswer::Expired)
        return expired();
    m_context.abandoned.add(m_arrival.serial);
    refused.outcome = Outcome::Undecided;
    refused.retryAfter = std::max(refused.retryAfter.value_or(Milliseconds(0)), m_context.settings.retryAfter);
    return refused;
}

Serving::Ending Serving::withoutPermit(const PermitOutcome& permit)
{
    switch (permit.answer) {
    case PermitAnswer::HeldByOther:
        return answerOfHolder(permit.entry);
    case PermitAnswer::Voided:
        return voided(permit.entry);
    case PermitAnswer::Expired:
        return expired();
    case PermitAnswer::Granted:
    case PermitAnswer::WrongEpoch:
    case PermitAnswer::Undecided:
        break;
    }
    m_context.abandoned.add(m_arrival.serial);
    return refusal(
        Outcome::Undecided, RefusalType::Undecided, Step::Permit, "the owner or witness of the key did not answer");
}

Refusal Serving::refusal(Outcome outcome, RefusalType type, Step step, std::string message) const
{
    return { outcome, type, std::move(message), step, {}, m_context.settings.retryAfter, {} };
}

Refusal Serving::voided(const JournalEntry& entry) const
{
    Refusal refused = refusal(Outcome::NotRun, RefusalType::Voided, Step::Permit, "this attempt was refused before");
    refused.nextAttempt = entry.voidedUpTo + 1;
    return refused;
}

Refusal Serving::expired() const
{
    return { Outcome::MayHaveRun, RefusalType::KeyExpired, "the key is older than the retention period", Step::Permit };
}

// Another arrival with this key holds the permit. Fetches the answer from the node of that arrival.
Serving::Ending Serving::answerOfHolder(const JournalEntry& entry)
{
    if (entry.grantedAt.id == m_parts.self.id)
        return ownEarlierArrival(entry);
    RequestTrail::Hop hop(*m_trail, threadRandom(), "fetch-answer");
    std::string peer = entry.grantedAt.peerAddress.toString();
    hop.setPeer(peer);
    auto settled = settle([&] { return m_parts.fetchAnswer(entry.grantedAt, answerKey().lookup()); });
    auto* answer = std::get_if<StoredAnswer>(&settled);
    hop.end(answer ? "answer state received" : describe(std::get<Error>(settled)), !answer);
    if (answer && answer->phase == StoredAnswer::Phase::Finished)
        return std::move(*answer);
    bool running = answer && answer->phase == StoredAnswer::Phase::Running;
    Refusal refused
        = refusal(running ? Outcome::Undecided : Outcome::MayHaveRun, RefusalType::HeldElsewhere, Step::Answer,
            running ? "the request is running at another node"
                    : "another node holds the permit; its answer is not available");
    refused.peer = std::move(peer);
    return refused;
}

// The permit was granted to an earlier arrival at this node. If that arrival was abandoned it never ran, and its permit
// is revoked; otherwise it was dispatched and its answer is no longer stored.
Serving::Ending Serving::ownEarlierArrival(const JournalEntry& entry)
{
    if (!m_context.abandoned.contains(entry.grantedTo.serial))
        return refusal(Outcome::MayHaveRun, RefusalType::HeldElsewhere, Step::Answer,
            "the request was dispatched by this node; its answer is not stored");
    RequestKey key = *m_identity.key;
    key.attempt = std::max(key.attempt, entry.grantedAttempt);
    PermitOutcome outcome = m_parts.makeVoid(key, entry.grantedTo, monotonicNow() + m_context.settings.voidTimeout);
    if (outcome.answer == PermitAnswer::Voided)
        return voided(outcome.entry);
    if (outcome.answer == PermitAnswer::Expired)
        return expired();
    return refusal(Outcome::Undecided, RefusalType::Undecided, Step::Permit,
        "the permit of an earlier arrival could not be revoked yet");
}

void Serving::setHeaders(Outcome outcome, httplib::Response& response) const
{
    response.set_header("Kumquatpick-Outcome", std::string(name(outcome)));
    response.set_header("Kumquatpick-Request", m_trail->requestId());
    response.set_header("traceparent", m_trail->traceparent());
}

void Serving::respondRefused(const Refusal& refused, httplib::Response& response)
{
    lost(refused);
    setHeaders(refused.outcome, response);
    writeRefusal(refused, m_trail->requestId(), response);
}

void Serving::respondStored(const StoredAnswer& answer, httplib::Response& response)
{
    finish(name(Outcome::Answered), "resend", false);
    setHeaders(Outcome::Answered, response);
    response.status = answer.status;
    response.set_content(answer.body, answer.contentType);
}

void Serving::answeredWhole()
{
    MonotonicTime now = monotonicNow();
    m_call.reset();
    m_parts.suspicion.finished(m_poisonFingerprint, m_replica.replica, now);
    m_parts.router.ended(m_request.service, m_replica.replica, DispatchEnd::Finished, now);
    m_replica = {};
    if (m_begun && m_keeps) {
        m_context.answers.finish(
            answerKey(), { StoredAnswer::Phase::Finished, m_head.status, m_head.contentType, std::move(m_kept) }, now);
        m_begun = false;
    }
    finish(name(Outcome::Answered), {}, false);
}

void Serving::lost(const Refusal& refused)
{
    logLine(LogLevel::Info, "refused",
        { { "request_id", m_trail->requestId() }, { "outcome", name(refused.outcome) }, { "type", name(refused.type) },
            { "step", name(refused.step) }, { "peer", refused.peer }, { "detail", refused.message },
            { "team", m_request.team }, { "service", m_request.service }, { "key", m_request.key.key } });
    finish(name(refused.outcome), name(refused.type), true);
}

// Called once for every request, whatever its outcome.
void Serving::finish(std::string_view outcome, std::string_view type, bool failed)
{
    m_ended = true;
    MonotonicTime now = monotonicNow();
    if (m_begun && m_everSent)
        m_context.answers.lose(answerKey(), now);
    else if (m_begun)
        m_context.answers.forget(answerKey());
    m_begun = false;
    if (m_admitted)
        m_parts.admission.release(m_request.service, m_request.team, now - m_admittedAt);
    m_admitted = false;
    if (m_streamHop)
        m_streamHop->end(std::string(outcome), failed);
    m_streamHop.reset();
    m_trail->finish(outcome, type, failed);
    m_parts.metrics.count(fmt::format(R"(requests_total{{outcome="{}",type="{}"}})", outcome, type));
    m_parts.metrics.observe(fmt::format(R"(request_seconds{{outcome="{}"}})", outcome), now - m_arrivedAt);
}

} // namespace Kumquatpick
