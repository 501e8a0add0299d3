#include "caller/serving.h"

#include "base/metrics.h"
#include "policy/suspicion.h"

namespace Kumquatpick {

// The way of a request. Each step either ends it or hands it to the next.
const Serving::StepFunction Serving::steps[] = {
    &Serving::parse,
    &Serving::recogniseResend,
    &Serving::findService,
    &Serving::checkPoison,
    &Serving::admit,
    &Serving::takePermit,
    &Serving::dispatch,
};

Random& threadRandom()
{
    thread_local Random random = seededFromSystem();
    return random;
}

Serving::Serving(ServeContext& context, const httplib::Request& http, const RequestLine& line)
    : m_context(context)
    , m_parts(context.parts)
    , m_line(line)
    , m_http(http)
    , m_connection(CallerConnection::ofThisThread())
    , m_arrivedAt(monotonicNow())
    , m_arrival { context.parts.self.id.incarnation, ++context.lastSerial }
    , m_identity(identify(http.method, http.headers, wallNow()))
{
    auto parent = TraceContext::parse(http.get_header_value("traceparent"));
    m_trail = std::make_shared<RequestTrail>(randomHex128(threadRandom()), parent, m_parts.traces, threadRandom());
    m_context.recent.add(m_trail);
    ++m_context.inFlight;
}

Serving::~Serving()
{
    if (!m_ended)
        callerLeft();
    --m_context.inFlight;
}

void Serving::serve(httplib::Response& response)
{
    for (StepFunction step : steps) {
        if (StepResult ending = (this->*step)())
            return end(std::move(*ending), response);
    }
    if (m_bodyEnded)
        answerWhole(response);
    else
        answerStreaming(response);
}

void Serving::refuseUnread(Refusal refused, httplib::Response& response) { end(std::move(refused), response); }

Serving::StepResult Serving::parse()
{
    RawRequest raw { m_http.method, m_line.target, m_line.contentType, m_http.body, m_http.headers };
    auto parsed = parseRequest(raw, m_context.settings, wallNow());
    if (auto* refusal = std::get_if<Refusal>(&parsed))
        return std::move(*refusal);
    m_request = std::move(std::get<CallerRequest>(parsed));
    m_deadline = m_arrivedAt + m_request.timeout;
    m_trail->describe("service", m_request.service);
    m_trail->describe("team", m_request.team);
    m_trail->describe("key", m_request.key.key);
    return std::nullopt;
}

// The same key with the same content gets the same answer. Taking the key here also keeps two arrivals of it
// at this node from asking for a permit at the same time.
Serving::StepResult Serving::recogniseResend()
{
    if (!isKeyed())
        return std::nullopt;
    AnswerStore::Found found = m_context.answers.begin(answerKey(), monotonicNow());
    switch (found.state) {
    case AnswerStore::State::Unknown:
        m_begun = true;
        return std::nullopt;
    case AnswerStore::State::Running:
        return refusal(Outcome::Undecided, RefusalType::Undecided, Step::Accept, "the key's request is running here");
    case AnswerStore::State::Finished:
        return std::move(found.answer);
    case AnswerStore::State::Lost:
        return Refusal { Outcome::MayHaveRun, RefusalType::BackendLost, "it was dispatched; its answer is not here",
            Step::Answer };
    case AnswerStore::State::OtherRequest:
        return Refusal { Outcome::MayHaveRun, RefusalType::HeldElsewhere, "the key was used for another request",
            Step::Answer };
    }
    return std::nullopt;
}

Serving::StepResult Serving::findService()
{
    if (m_context.stopping)
        return refusal(Outcome::NotRun, RefusalType::Stopping, Step::Accept, "this node is stopping");
    m_text = m_parts.text();
    if (!m_text || !m_parts.ready())
        return refusal(Outcome::NotRun, RefusalType::NotReady, Step::Accept, "this node is not ready");
    if (!m_text->team(m_request.team))
        return Refusal { Outcome::NotRun, RefusalType::UnknownTeam, "unknown team " + m_request.team };
    const ServiceConfig* service = m_text->service(m_request.service);
    auto kind = m_request.kind == RequestKind::Chat ? ServiceKind::Model : ServiceKind::Plain;
    if (!service || service->kind != kind)
        return Refusal { Outcome::NotRun, RefusalType::UnknownService, "unknown service " + m_request.service };
    return std::nullopt;
}

Serving::StepResult Serving::checkPoison()
{
    m_poisonFingerprint = requestFingerprint(m_request.service, m_request.body);
    MonotonicTime now = monotonicNow();
    if (m_parts.suspicion.mayDispatch(m_poisonFingerprint, now))
        return std::nullopt;
    Refusal stopped = refusal(Outcome::NotRun, RefusalType::Poison, Step::Route,
        "backend servers died while they ran requests of this content");
    stopped.retryAfter = m_parts.suspicion.retryAfter(m_poisonFingerprint, now);
    return stopped;
}

Serving::StepResult Serving::admit()
{
    RequestTrail::Hop hop(*m_trail, threadRandom(), "admit");
    MonotonicTime asked = monotonicNow();
    AdmissionOutcome outcome
        = m_parts.admission.admit({ m_request.service, m_request.team, m_request.priority, m_deadline });
    m_admittedAt = monotonicNow();
    m_parts.metrics.observe("admission_wait_seconds", m_admittedAt - asked);
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

// The right to run a non-repeatable request once. The wait is short: a caller that is told to ask again can
// ask another node, one that is kept waiting can't.
Serving::StepResult Serving::takePermit()
{
    if (!isKeyed())
        return std::nullopt;
    RequestTrail::Hop hop(*m_trail, threadRandom(), "permit");
    MonotonicTime asked = monotonicNow();
    MonotonicTime until = std::min(m_deadline, asked + m_context.settings.permitTimeout);
    PermitOutcome permit = m_parts.permit(m_request.key, m_arrival, until);
    m_parts.metrics.observe("permit_seconds", monotonicNow() - asked);
    hop.end(std::string(permitText(permit.answer)), permit.answer != PermitAnswer::Granted);
    if (permit.answer == PermitAnswer::Granted)
        return std::nullopt;
    return withoutPermit(permit);
}

} // namespace Kumquatpick
