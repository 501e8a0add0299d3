#include "caller/requesthandler.h"

#include "base/logline.h"
#include "base/metrics.h"
#include "caller/respond.h"
#include "policy/admission.h"
#include "policy/router.h"
#include "suspicion/suspicion.h"

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

void RequestHandler::end(Ending ending, httplib::Response& response)
{
    if (auto* refused = std::get_if<Refusal>(&ending))
        ending = confirmNotRun(std::move(*refused));
    if (auto* refused = std::get_if<Refusal>(&ending))
        respondRefused(*refused, response);
    else
        respondStored(std::get<StoredAnswer>(ending), response);
}

// "Not run" applies to the whole attempt, of which an earlier arrival may be waiting at another node. It is therefore
// sent only once the attempt is void at the slot's owner and witness; otherwise the outcome is "undecided".
RequestHandler::Ending RequestHandler::confirmNotRun(Refusal refused)
{
    bool isPromise = refused.outcome == Outcome::NotRun && refused.type != RefusalType::Voided;
    if (!isPromise || !isKeyed())
        return refused;
    RequestTrace::Hop hop(*m_trace, threadRandom(), "void");
    PermitOutcome outcome
        = m_dependencies.makeVoid(*m_identity.key, m_arrivalId, monotonicNow() + m_context.settings.voidTimeout);
    hop.end(std::string(permitText(outcome.answer)));
    if (outcome.answer == PermitAnswer::Voided) {
        if (refused.retryAfter)
            refused.nextAttempt = outcome.entry.voidedUpTo + 1;
        return refused;
    }
    if (outcome.answer == PermitAnswer::HeldByOther)
        return fetchHolderAnswer(outcome.entry);
    if (outcome.answer == PermitAnswer::Expired)
        return expiredRefusal();
    m_context.abandoned.add(m_arrivalId.serial);
    refused.outcome = Outcome::Undecided;
    refused.retryAfter = std::max(refused.retryAfter.value_or(Milliseconds(0)), m_context.settings.retryAfter);
    return refused;
}

RequestHandler::Ending RequestHandler::resolvePermitDenial(const PermitOutcome& permit)
{
    switch (permit.answer) {
    case PermitAnswer::HeldByOther:
        return fetchHolderAnswer(permit.entry);
    case PermitAnswer::Voided:
        return voidedRefusal(permit.entry);
    case PermitAnswer::Expired:
        return expiredRefusal();
    case PermitAnswer::Granted:
    case PermitAnswer::WrongEpoch:
    case PermitAnswer::Undecided:
        break;
    }
    m_context.abandoned.add(m_arrivalId.serial);
    return refusal(
        Outcome::Undecided, RefusalType::Undecided, Step::Permit, "the owner or witness of the key did not answer");
}

Refusal RequestHandler::refusal(Outcome outcome, RefusalType type, Step step, std::string message) const
{
    return { outcome, type, std::move(message), step, {}, m_context.settings.retryAfter, {} };
}

Refusal RequestHandler::voidedRefusal(const JournalEntry& entry) const
{
    Refusal refused = refusal(Outcome::NotRun, RefusalType::Voided, Step::Permit, "this attempt was refused before");
    refused.nextAttempt = entry.voidedUpTo + 1;
    return refused;
}

Refusal RequestHandler::expiredRefusal() const
{
    return { Outcome::MayHaveRun, RefusalType::KeyExpired, "the key is older than the retention period", Step::Permit };
}

// Another arrival with this key holds the permit. Fetches the answer from the node of that arrival.
RequestHandler::Ending RequestHandler::fetchHolderAnswer(const JournalEntry& entry)
{
    if (entry.holderNode.id == m_dependencies.self.id)
        return resolveOwnArrival(entry);
    RequestTrace::Hop hop(*m_trace, threadRandom(), "fetch-answer");
    std::string peer = entry.holderNode.peerAddress.toString();
    hop.setPeer(peer);
    auto settled = settle([&] { return m_dependencies.fetchAnswer(entry.holderNode, answerKey().toLookupText()); });
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
RequestHandler::Ending RequestHandler::resolveOwnArrival(const JournalEntry& entry)
{
    if (!m_context.abandoned.contains(entry.grantedTo.serial))
        return refusal(Outcome::MayHaveRun, RefusalType::HeldElsewhere, Step::Answer,
            "the request was dispatched by this node; its answer is not stored");
    RequestKey key = *m_identity.key;
    key.attempt = std::max(key.attempt, entry.grantedAttempt);
    PermitOutcome outcome
        = m_dependencies.makeVoid(key, entry.grantedTo, monotonicNow() + m_context.settings.voidTimeout);
    if (outcome.answer == PermitAnswer::Voided)
        return voidedRefusal(outcome.entry);
    if (outcome.answer == PermitAnswer::Expired)
        return expiredRefusal();
    return refusal(Outcome::Undecided, RefusalType::Undecided, Step::Permit,
        "the permit of an earlier arrival could not be revoked yet");
}

void RequestHandler::setHeaders(Outcome outcome, httplib::Response& response) const
{
    response.set_header("Kumquatpick-Outcome", std::string(name(outcome)));
    response.set_header("Kumquatpick-Request", m_trace->requestId());
    response.set_header("traceparent", m_trace->traceparent());
}

void RequestHandler::respondRefused(const Refusal& refused, httplib::Response& response)
{
    recordRefusal(refused);
    setHeaders(refused.outcome, response);
    writeRefusal(refused, m_trace->requestId(), response);
}

void RequestHandler::respondStored(const StoredAnswer& answer, httplib::Response& response)
{
    finish(name(Outcome::Answered), "resend", false);
    setHeaders(Outcome::Answered, response);
    response.status = answer.status;
    response.set_content(answer.body, answer.contentType);
}

void RequestHandler::completeAnswer()
{
    MonotonicTime now = monotonicNow();
    m_call.reset();
    m_dependencies.suspicion.finished(m_poisonFingerprint, m_replica.replica, now);
    m_dependencies.router.ended(m_request.service, m_replica.replica, DispatchEnd::Finished, now);
    m_replica = {};
    if (m_isKeyReserved && m_isStoringBody) {
        m_context.answers.finish(answerKey(),
            { StoredAnswer::Phase::Finished, m_head.status, m_head.contentType, std::move(m_storedBody) }, now);
        m_isKeyReserved = false;
    }
    finish(name(Outcome::Answered), {}, false);
}

void RequestHandler::recordRefusal(const Refusal& refused)
{
    logLine(LogLevel::Info, "refused",
        { { "request_id", m_trace->requestId() }, { "outcome", name(refused.outcome) }, { "type", name(refused.type) },
            { "step", name(refused.step) }, { "peer", refused.peer }, { "detail", refused.message },
            { "team", m_request.team }, { "service", m_request.service }, { "key", m_request.key.key } });
    finish(name(refused.outcome), name(refused.type), true);
}

// Called once for every request, whatever its outcome.
void RequestHandler::finish(std::string_view outcome, std::string_view type, bool failed)
{
    m_isFinished = true;
    MonotonicTime now = monotonicNow();
    if (m_isKeyReserved && m_anyTrySent)
        m_context.answers.markLost(answerKey(), now);
    else if (m_isKeyReserved)
        m_context.answers.releaseKey(answerKey());
    m_isKeyReserved = false;
    if (m_admitted)
        m_dependencies.admission.release(m_request.service, m_request.team, now - m_admittedAt);
    m_admitted = false;
    if (m_streamHop)
        m_streamHop->end(std::string(outcome), failed);
    m_streamHop.reset();
    m_trace->finish(outcome, type, failed);
    m_dependencies.metrics.count(fmt::format(R"(requests_total{{outcome="{}",type="{}"}})", outcome, type));
    m_dependencies.metrics.observe(fmt::format(R"(request_seconds{{outcome="{}"}})", outcome), now - m_arrivedAt);
}

} // namespace Kumquatpick
