#include "caller/serving.h"

#include "base/metrics.h"
#include "policy/retrybudget.h"
#include "policy/router.h"
#include "policy/suspicion.h"

#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr size_t mostTries = 4;
    // The router may choose a replica that the directory, which is more recent, no longer lists as serving.
    constexpr size_t mostChoices = 8;
    // Interval of the checks whether the caller has disconnected before its answer began.
    constexpr Milliseconds callerCheckPeriod { 100 };

    // With these statuses an engine reports that it did not run the request. From a plain service they are answers.
    bool saysNotRun(int status) { return status == 409 || status == 503; }

    DispatchEnd dispatchEnd(ErrorCode code)
    {
        if (code == ErrorCode::Refused)
            return DispatchEnd::NotTaken;
        return code == ErrorCode::CallerGone ? DispatchEnd::CallerGone : DispatchEnd::Failed;
    }

    bool isEventStream(std::string_view contentType) { return contentType.starts_with("text/event-stream"); }

}

// Tries replicas until one has begun its answer. Nothing is sent to the caller before that.
Serving::StepResult Serving::dispatch()
{
    m_parts.retryBudget.recordFirstAttempt(m_request.service, monotonicNow());
    std::optional<Refusal> latest;
    for (;;) {
        if (m_connection->callerGone())
            return refusal(Outcome::NotRun, RefusalType::DeadlinePassed, Step::Dispatch, "the caller disconnected");
        if (StepResult stopped = checkPoison())
            return stopped;
        auto replica = chooseReplica();
        if (!replica)
            return latest ? *latest : noReplica();
        auto settled = settle([&] { return tryReplica(*replica); });
        if (settled.index() == 0)
            return std::nullopt;
        const Error& error = std::get<Error>(settled);
        latest = dispatchRefusal(error);
        if (!mayTryAgain(error))
            return *latest;
    }
}

std::optional<ReplicaView> Serving::chooseReplica()
{
    std::vector<std::string> avoid = m_tried;
    for (auto& replica : m_parts.suspicion.replicasToAvoid(m_poisonFingerprint, monotonicNow()))
        avoid.push_back(std::move(replica));
    for (size_t choice = 0; choice < mostChoices; ++choice) {
        MonotonicTime now = monotonicNow();
        std::string name
            = m_parts.router.choose({ m_request.service, m_parts.self.zone, m_request.prefixes, avoid }, now);
        if (name.empty())
            return std::nullopt;
        auto view = m_parts.directory.replica(m_request.service, name, now);
        if (view && view->reason == NotServing::No)
            return view;
        m_parts.router.ended(m_request.service, name, DispatchEnd::NotTaken, now);
        avoid.push_back(std::move(name));
    }
    return std::nullopt;
}

Result<void> Serving::tryReplica(const ReplicaView& replica)
{
    RequestTrail::Hop hop(*m_trail, threadRandom(), "dispatch");
    hop.setPeer(replica.leader.toString());
    m_tried.push_back(replica.replica);
    m_replica = replica;
    m_dispatchedAt = monotonicNow();
    m_sent = false;
    m_keeps = isKeyed();
    m_parts.suspicion.dispatched(m_poisonFingerprint, replica.replica, m_dispatchedAt);
    auto settled = settle([&]() -> Result<void> {
        BOOST_LEAF_CHECK(startCall(backendRequest(replica, hop)));
        BOOST_LEAF_CHECK(readHead());
        return readBeginning();
    });
    if (auto* error = std::get_if<Error>(&settled)) {
        hop.end(describe(*error), true);
        m_everSent |= m_sent;
        noteFailure(*error);
        return fail(std::move(*error));
    }
    m_everSent = true;
    hop.end(fmt::format("{} status {}", replica.replica, m_head.status));
    MonotonicTime now = monotonicNow();
    m_parts.router.firstToken(m_request.service, replica.replica, now - m_dispatchedAt, now);
    m_parts.metrics.observe("time_to_first_byte_seconds", now - m_arrivedAt);
    return {};
}

BackendRequest Serving::backendRequest(const ReplicaView& replica, const RequestTrail::Hop& hop) const
{
    BackendRequest request;
    request.address = replica.leader;
    request.host = replica.hosts.empty() ? replica.replica : replica.hosts.front();
    request.method = m_request.method;
    request.path = m_request.upstreamPath;
    request.body = m_request.body;
    request.contentType = m_request.contentType;
    request.requestId = fmt::format("{}.{}", m_trail->requestId(), m_tried.size());
    request.key = m_request.key.key;
    request.attempt = m_request.key.attempt;
    request.claim = replica.claim;
    request.traceparent = hop.traceparent();
    request.priority = static_cast<int>(m_request.priority);
    request.deadline = m_deadline;
    return request;
}

Result<void> Serving::startCall(BackendRequest request)
{
    BOOST_LEAF_ASSIGN(m_call, m_parts.startCall(std::move(request)));
    return {};
}

// Waits until the call is readable. An engine may process a prompt for long before it sends its first byte, so the
// wait ends if the caller disconnects, which cancels the request. A non-repeatable request is not cancelled if its
// answer is stored for a resend, as it can't run a second time.
Result<void> Serving::awaitEngine()
{
    while (!m_call->waitReady(callerCheckPeriod)) {
        if (!m_connection->callerGone() || runsOnForResend())
            continue;
        m_sent = true;
        return fail({ ErrorCode::CallerGone, Step::Dispatch, m_replica.leader.toString(), {} });
    }
    return {};
}

Result<void> Serving::readHead()
{
    BOOST_LEAF_CHECK(awaitEngine());
    auto settled = settle([&] { return m_call->head(); });
    if (auto* error = std::get_if<Error>(&settled)) {
        m_sent = error->code != ErrorCode::Unreachable;
        return fail(std::move(*error));
    }
    m_head = std::get<BackendResponseHead>(settled);
    bool refuses = m_request.kind == RequestKind::Chat && saysNotRun(m_head.status);
    if (refuses && m_head.retryAfter > Milliseconds(0))
        m_parts.router.backoffRequested(m_request.service, m_replica.replica, m_head.retryAfter, monotonicNow());
    if (refuses)
        return fail({ ErrorCode::Refused, Step::Dispatch, m_replica.leader.toString(),
            fmt::format("the backend server answered with status {}", m_head.status) });
    m_sent = true;
    return {};
}

// Reads an answer up to a moderate size before its head is sent to the caller. If the answer breaks off before that,
// the caller gets a plain error response, or a repeatable request is sent to another replica.
Result<void> Serving::readBeginning()
{
    m_bodyEnded = false;
    m_ready.clear();
    m_kept.clear();
    m_events.reset();
    if (isEventStream(m_head.contentType))
        m_events.emplace();
    while (!m_bodyEnded) {
        bool enough = m_events ? !m_ready.empty() : m_ready.size() > m_context.settings.wholeAnswerBytes;
        if (enough)
            break;
        BOOST_LEAF_CHECK(awaitEngine());
        BOOST_LEAF_CHECK(readPiece());
    }
    return {};
}

void Serving::noteFailure(const Error& error)
{
    m_call.reset();
    MonotonicTime now = monotonicNow();
    bool broke = error.code == ErrorCode::BrokenOff;
    if (!m_replica.hosts.empty() && (broke || error.code == ErrorCode::Unreachable))
        m_parts.directory.unanswered(m_replica.hosts.front(), now);
    if (broke)
        m_parts.suspicion.replicaDied(m_replica.replica, now);
    else
        m_parts.suspicion.withdrawn(m_poisonFingerprint, m_replica.replica);
    m_parts.router.ended(m_request.service, m_replica.replica, dispatchEnd(error.code), now);
    m_replica = {};
}

bool Serving::mayTryAgain(const Error& error)
{
    MonotonicTime now = monotonicNow();
    return mayRetry(error.code, m_request.repeatable, m_sent) && m_tried.size() < mostTries && now < m_deadline
        && m_parts.retryBudget.takeRetry(m_request.service, now);
}

// Once one try may have reached a backend server, the outcome is never "not run", whatever later tries do.
Refusal Serving::dispatchRefusal(const Error& error) const
{
    Refusal refused = refusal(Outcome::NotRun, RefusalType::NoReplica, error.step, describe(error));
    refused.peer = error.peer;
    if (m_everSent) {
        refused.outcome = Outcome::MayHaveRun;
        refused.type = error.code == ErrorCode::Timeout ? RefusalType::Timeout : RefusalType::BackendLost;
        if (!m_request.repeatable)
            refused.retryAfter.reset();
    } else if (error.code == ErrorCode::Refused) {
        refused.type = RefusalType::BackendRefused;
        refused.retryAfter = std::max(m_head.retryAfter, m_context.settings.retryAfter);
    } else if (error.code == ErrorCode::Overloaded) {
        refused.type = RefusalType::QueueFull;
    } else if (error.code == ErrorCode::ShuttingDown) {
        refused.type = RefusalType::Stopping;
    } else if (error.code == ErrorCode::InvalidArgument) {
        refused.type = RefusalType::Malformed;
        refused.retryAfter.reset();
    }
    return refused;
}

Refusal Serving::noReplica() const
{
    return refusal(Outcome::NotRun, RefusalType::NoReplica, Step::Route, "no replica is available for the request");
}

} // namespace Kumquatpick
