#include "caller/requesthandler.h"

#include "base/metrics.h"
#include "suspicion/suspicion.h"

namespace Kumquatpick {

// The steps of a request, in order. Each step either ends the request or lets the next one run.
const RequestHandler::StepFunction RequestHandler::steps[] = {
    &RequestHandler::parse,
    &RequestHandler::checkResend,
    &RequestHandler::findService,
    &RequestHandler::checkPoison,
    &RequestHandler::admit,
    &RequestHandler::acquirePermit,
    &RequestHandler::dispatch,
};

Random& threadRandom()
{
    thread_local Random random = seededFromSystem();
    return random;
}

RequestHandler::RequestHandler(ServerContext& context, const httplib::Request& http, const RequestLine& line)
    : m_context(context)
    , m_dependencies(context.dependencies)
    , m_line(line)
    , m_httpRequest(http)
    , m_connection(CallerConnection::forCurrentThread())
    , m_arrivedAt(monotonicNow())
    , m_arrivalId { context.dependencies.self.id.incarnation, ++context.lastSerial }
    , m_identity(parseIdentity(http.method, http.headers, wallNow()))
{
    auto parent = TraceContext::parse(http.get_header_value("traceparent"));
    m_trace
        = std::make_shared<RequestTrace>(randomHex128(threadRandom()), parent, m_dependencies.traces, threadRandom());
    m_context.recent.add(m_trace);
    ++m_context.inFlight;
}

RequestHandler::~RequestHandler()
{
    if (!m_isFinished)
        handleDisconnect();
    --m_context.inFlight;
}

void RequestHandler::serve(httplib::Response& response)
{
    for (StepFunction step : steps) {
        if (StepResult ending = (this->*step)())
            return end(std::move(*ending), response);
    }
    if (m_bodyEnded)
        respondWhole(response);
    else
        respondStreaming(response);
}

void RequestHandler::refuseUnread(Refusal refused, httplib::Response& response) { end(std::move(refused), response); }

RequestHandler::StepResult RequestHandler::parse()
{
    RawRequest raw { m_httpRequest.method, m_line.target, m_line.contentType, m_httpRequest.body,
        m_httpRequest.headers };
    auto parsed = parseRequest(raw, m_context.settings, wallNow());
    if (auto* refusal = std::get_if<Refusal>(&parsed))
        return std::move(*refusal);
    m_request = std::move(std::get<CallerRequest>(parsed));
    m_deadline = m_arrivedAt + m_request.timeout;
    m_trace->addField("service", m_request.service);
    m_trace->addField("team", m_request.team);
    m_trace->addField("key", m_request.key.key);
    return std::nullopt;
}

// A resend with the same key and content gets the same answer. Reserving the key here also prevents two arrivals
// at this node from requesting a permit at the same time.
RequestHandler::StepResult RequestHandler::checkResend()
{
    if (!isKeyed())
        return std::nullopt;
    AnswerStore::FindResult found = m_context.answers.reserveKey(answerKey(), monotonicNow());
    switch (found.state) {
    case AnswerStore::State::Unknown:
        m_isKeyReserved = true;
        return std::nullopt;
    case AnswerStore::State::Running:
        return refusal(Outcome::Undecided, RefusalType::Undecided, Step::Accept,
            "a request with this key is running at this node");
    case AnswerStore::State::Finished:
        return std::move(found.answer);
    case AnswerStore::State::Lost:
        return Refusal { Outcome::MayHaveRun, RefusalType::BackendLost,
            "the request was dispatched; its answer is not stored", Step::Answer };
    case AnswerStore::State::OtherRequest:
        return Refusal { Outcome::MayHaveRun, RefusalType::HeldElsewhere, "the key was used for another request",
            Step::Answer };
    }
    return std::nullopt;
}

RequestHandler::StepResult RequestHandler::findService()
{
    if (m_context.stopping)
        return refusal(Outcome::NotRun, RefusalType::Stopping, Step::Accept, "this node is stopping");
    m_text = m_dependencies.text();
    if (!m_text || !m_dependencies.isReady())
        return refusal(Outcome::NotRun, RefusalType::NotReady, Step::Accept, "this node is not ready");
    if (!m_text->team(m_request.team))
        return Refusal { Outcome::NotRun, RefusalType::UnknownTeam, "unknown team " + m_request.team };
    const ServiceConfig* service = m_text->service(m_request.service);
    auto kind = m_request.kind == RequestKind::Chat ? ServiceKind::Model : ServiceKind::Plain;
    if (!service || service->kind != kind)
        return Refusal { Outcome::NotRun, RefusalType::UnknownService, "unknown service " + m_request.service };
    return std::nullopt;
}

RequestHandler::StepResult RequestHandler::checkPoison()
{
    m_poisonFingerprint = requestFingerprint({ m_request.service, m_request.body });
    MonotonicTime now = monotonicNow();
    if (m_dependencies.suspicion.mayDispatch(m_poisonFingerprint, now))
        return std::nullopt;
    Refusal stopped = refusal(Outcome::NotRun, RefusalType::Poison, Step::Route,
        "backend servers failed while running requests with this content");
    stopped.retryAfter = m_dependencies.suspicion.retryAfter(m_poisonFingerprint, now);
    return stopped;
}

RequestHandler::StepResult RequestHandler::admit()
{
    RequestTrace::Hop hop(*m_trace, threadRandom(), "admit");
    MonotonicTime asked = monotonicNow();
    AdmissionOutcome outcome
        = m_dependencies.admission.admit({ m_request.service, m_request.team, m_request.priority, m_deadline });
    m_admittedAt = monotonicNow();
    m_dependencies.metrics.observe("admission_wait_seconds", m_admittedAt - asked);
    m_admitted = outcome.verdict == AdmissionVerdict::Admitted;
    if (m_admitted) {
        hop.end("admitted");
        return std::nullopt;
    }
    Refusal refused = refusal(Outcome::NotRun, admissionRefusal(outcome.verdict), Step::Admit, "not admitted");
    refused.retryAfter = std::max(outcome.retryAfter, Milliseconds(1));
    hop.end(std::string(name(refused.type)), true);
    return refused;
}

// Requests the permit to run a non-repeatable request once. The timeout is short, so that the caller can retry at
// another node instead of waiting.
RequestHandler::StepResult RequestHandler::acquirePermit()
{
    if (!isKeyed())
        return std::nullopt;
    RequestTrace::Hop hop(*m_trace, threadRandom(), "permit");
    MonotonicTime asked = monotonicNow();
    MonotonicTime until = std::min(m_deadline, asked + m_context.settings.permitTimeout);
    PermitOutcome permit = m_dependencies.permit(m_request.key, m_arrivalId, until);
    m_dependencies.metrics.observe("permit_seconds", monotonicNow() - asked);
    hop.end(std::string(permitText(permit.answer)), permit.answer != PermitAnswer::Granted);
    if (permit.answer == PermitAnswer::Granted)
        return std::nullopt;
    return resolvePermitDenial(permit);
}

} // namespace Kumquatpick
