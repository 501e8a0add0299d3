#include "caller/requesthandler.h"

#include "base/logline.h"
#include "base/metrics.h"
#include "policy/retrybudget.h"
#include "policy/router.h"
#include "suspicion/suspicion.h"

#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr size_t maxTries = 4;
    // The router may choose a replica that the directory, which is more recent, no longer lists as serving.
    constexpr size_t maxChoices = 8;
    // Interval of the checks whether the caller has disconnected before its answer began.
    constexpr Milliseconds callerCheckPeriod { 100 };

    // With these statuses an engine reports that it did not run the request. From a plain service they are answers.
    bool isNotRunStatus(int status) { return status == 409 || status == 503; }

    DispatchEnd dispatchEnd(ErrorCode code)
    {
        if (code == ErrorCode::Refused)
            return DispatchEnd::NotAccepted;
        return code == ErrorCode::CallerGone ? DispatchEnd::CallerGone : DispatchEnd::Failed;
    }

    bool isEventStream(std::string_view contentType) { return contentType.starts_with("text/event-stream"); }

}

// Tries replicas until one has begun its answer. Nothing is sent to the caller before that.
RequestHandler::StepResult RequestHandler::dispatch()
{
    m_dependencies.retryBudget.recordFirstAttempt(m_request.service, monotonicNow());
    std::optional<Refusal> latest;
    for (;;) {
        if (m_connection->isCallerGone())
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
        if (!canRetry(error))
            return *latest;
    }
}

std::optional<ReplicaView> RequestHandler::chooseReplica()
{
    std::vector<std::string> avoid = m_triedReplicas;
    for (auto& replica : m_dependencies.suspicion.replicasToAvoid(m_poisonFingerprint, monotonicNow()))
        avoid.push_back(std::move(replica));
    for (size_t choice = 0; choice < maxChoices; ++choice) {
        MonotonicTime now = monotonicNow();
        std::string name = m_dependencies.router.choose(
            { m_request.service, m_dependencies.self.zone, m_request.prefixHashes, avoid }, now);
        if (name.empty())
            return std::nullopt;
        auto view = m_dependencies.directory.replica(m_request.service, name, now);
        if (view && view->reason == NotServing::No)
            return view;
        m_dependencies.router.ended(m_request.service, name, DispatchEnd::NotAccepted, now);
        avoid.push_back(std::move(name));
    }
    return std::nullopt;
}

Result<void> RequestHandler::tryReplica(const ReplicaView& replica)
{
    RequestTrace::Hop hop(*m_trace, threadRandom(), "dispatch");
    hop.setPeer(replica.leader.toString());
    m_triedReplicas.push_back(replica.replica);
    m_replica = replica;
    m_dispatchedAt = monotonicNow();
    m_latestTrySent = false;
    m_isStoringBody = isKeyed();
    m_dependencies.suspicion.dispatched(m_poisonFingerprint, replica.replica, m_dispatchedAt);
    auto settled = settle([&]() -> Result<void> {
        BOOST_LEAF_CHECK(startCall(backendRequest(replica, hop)));
        BOOST_LEAF_CHECK(readHead());
        return readBeginning();
    });
    if (auto* error = std::get_if<Error>(&settled)) {
        hop.end(describe(*error), true);
        m_anyTrySent |= m_latestTrySent;
        recordBackendFailure(*error);
        return fail(std::move(*error));
    }
    m_anyTrySent = true;
    hop.end(fmt::format("{} status {}", replica.replica, m_head.status));
    MonotonicTime now = monotonicNow();
    m_dependencies.router.firstToken(m_request.service, replica.replica, now - m_dispatchedAt, now);
    m_dependencies.metrics.observe("time_to_first_byte_seconds", now - m_arrivedAt);
    return {};
}

BackendRequest RequestHandler::backendRequest(const ReplicaView& replica, const RequestTrace::Hop& hop) const
{
    BackendRequest request;
    request.address = replica.leader;
    request.host = replica.hosts.empty() ? replica.replica : replica.hosts.front();
    request.method = m_request.method;
    request.path = m_request.upstreamPath;
    request.body = m_request.body;
    request.contentType = m_request.contentType;
    request.requestId = fmt::format("{}.{}", m_trace->requestId(), m_triedReplicas.size());
    request.key = m_request.key.key;
    request.attempt = m_request.key.attempt;
    request.claim = replica.claim;
    request.traceparent = hop.traceparent();
    request.priority = static_cast<int>(m_request.priority);
    request.deadline = m_deadline;
    return request;
}

Result<void> RequestHandler::startCall(BackendRequest request)
{
    BOOST_LEAF_ASSIGN(m_call, m_dependencies.startCall(std::move(request)));
    return {};
}

// Waits until the call is readable. An engine may process a prompt for long before it sends its first byte, so the
// wait ends if the caller disconnects, which cancels the request. A non-repeatable request is not cancelled if its
// answer is stored for a resend, as it can't run a second time.
Result<void> RequestHandler::waitForBackend()
{
    while (!m_call->waitReady(callerCheckPeriod)) {
        if (!m_connection->isCallerGone() || finishesForResend())
            continue;
        m_latestTrySent = true;
        return fail({ ErrorCode::CallerGone, Step::Dispatch, m_replica.leader.toString(), {} });
    }
    return {};
}

Result<void> RequestHandler::readHead()
{
    BOOST_LEAF_CHECK(waitForBackend());
    auto settled = settle([&] { return m_call->head(); });
    if (auto* error = std::get_if<Error>(&settled)) {
        m_latestTrySent = error->code != ErrorCode::Unreachable;
        return fail(std::move(*error));
    }
    m_head = std::get<BackendResponseHead>(settled);
    bool refuses = m_request.kind == RequestKind::Chat && isNotRunStatus(m_head.status);
    if (refuses && m_head.retryAfter > Milliseconds(0))
        m_dependencies.router.backoffRequested(m_request.service, m_replica.replica, m_head.retryAfter, monotonicNow());
    if (refuses)
        return fail({ ErrorCode::Refused, Step::Dispatch, m_replica.leader.toString(),
            fmt::format("the backend server answered with status {}", m_head.status) });
    m_latestTrySent = true;
    return {};
}

// Reads an answer up to a moderate size before its head is sent to the caller. If the answer breaks off before that,
// the caller gets a plain error response, or a repeatable request is sent to another replica.
Result<void> RequestHandler::readBeginning()
{
    m_bodyEnded = false;
    m_unsentBody.clear();
    m_storedBody.clear();
    m_eventStream.reset();
    if (isEventStream(m_head.contentType))
        m_eventStream.emplace();
    while (!m_bodyEnded) {
        bool enough
            = m_eventStream ? !m_unsentBody.empty() : m_unsentBody.size() > m_context.settings.bufferedAnswerBytes;
        if (enough)
            break;
        BOOST_LEAF_CHECK(waitForBackend());
        BOOST_LEAF_CHECK(readPiece());
    }
    return {};
}

void RequestHandler::recordBackendFailure(const Error& error)
{
    m_call.reset();
    MonotonicTime now = monotonicNow();
    bool broke = error.code == ErrorCode::BrokenOff;
    if (!m_replica.hosts.empty() && (broke || error.code == ErrorCode::Unreachable))
        m_dependencies.directory.unanswered(m_replica.hosts.front(), now);
    if (broke || error.code == ErrorCode::Malformed)
        logError("the answer of a backend server is broken", error);
    if (broke)
        m_dependencies.suspicion.replicaDied(m_replica.replica, now);
    else
        m_dependencies.suspicion.withdrawn(m_poisonFingerprint, m_replica.replica);
    m_dependencies.router.ended(m_request.service, m_replica.replica, dispatchEnd(error.code), now);
    m_replica = {};
}

bool RequestHandler::canRetry(const Error& error)
{
    MonotonicTime now = monotonicNow();
    return mayRetry(error.code, m_request.repeatable, m_latestTrySent) && m_triedReplicas.size() < maxTries
        && now < m_deadline && m_dependencies.retryBudget.takeRetry(m_request.service, now);
}

// Once one try may have reached a backend server, the outcome is never "not run", whatever later tries do.
Refusal RequestHandler::dispatchRefusal(const Error& error) const
{
    Refusal refused = refusal(Outcome::NotRun, RefusalType::NoReplica, error.step, describe(error));
    refused.peer = error.peer;
    if (m_anyTrySent) {
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

Refusal RequestHandler::noReplica() const
{
    return refusal(Outcome::NotRun, RefusalType::NoReplica, Step::Route, "no replica is available for the request");
}

} // namespace Kumquatpick
