#include "gateway/callforwarder.h"

#include "fleet/callgate.h"
#include "fleet/callpriority.h"
#include "fleet/serverleave.h"
#include "gateway/asio.h"
#include "gateway/clientconnections.h"
#include "suspicion/suspicion.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace Kumquatpick {

namespace {

    // Used if the caller gives no timeout; the timeout of the route still applies.
    constexpr Milliseconds defaultTimeout { 60'000 };
    // Each refused send costs a round trip and counts as a retry.
    constexpr uint32_t maxSends = 4;
    // A broken stream waits for a free slot on another replica about as long as the usual interval between two events.
    constexpr Milliseconds maxResumeWait { 1500 };
    constexpr Milliseconds slotPollPeriod { 30 };
    constexpr uint32_t resumeQueueExtra = 12;
    // Requests that the caller retries may queue deeper, because a second refusal is final.
    constexpr uint32_t retryQueueExtra = 2;
    // Another node takes at once what a stopping one refuses.
    constexpr Milliseconds otherNodeRetryAfter { 50 };
    // Where servers turn slow, refusing all calls that would be late leaves fewer in time and more without an answer.
    constexpr bool refusesLateCalls = false;
    // Random range added to the retry delay.
    constexpr Milliseconds minRetryAfter { 400 };
    constexpr Milliseconds retryAfterJitter { 900 };

}

CallForwarder::CallForwarder(
    GatewayContext& context, beast::tcp_stream& caller, ClientShare& share, Call call, bool keepAlive)
    : m_context(context)
    , m_caller(caller)
    , m_share(share)
    , m_call(std::move(call))
    , m_keepAlive(keepAlive)
    , m_routes(context.routes)
    , m_arrived(context.now())
    , m_deadline(m_arrived + m_call.timeout.value_or(defaultTimeout))
    , m_active(std::make_shared<ActiveCall>(m_call.id, caller.socket(), caller.get_executor()))
    , m_eventStream(m_call.lastEventId)
    , m_possibleRuns(m_call.earlierRuns)
{
    m_active->reserveOtherServer = [this] { return reserveOtherServer(); };
    m_context.calls.insert(m_active);
}

CallForwarder::~CallForwarder()
{
    // Only an exception ends a call without an outcome.
    recordOutcome("unfinished", m_lastError);
    m_active->isDone = true;
    m_active->timer.cancel();
    m_context.calls.erase(m_active);
}

asio::awaitable<bool> CallForwarder::run()
{
    if (!m_routes) {
        co_await respond(
            refusalResponse(http::status::service_unavailable, "no configuration received yet", retryAfterDelay()));
        co_return m_keepAlive;
    }
    if (!findRoute()) {
        co_await respond(notConfiguredResponse(http::status::not_found, "no route matches the host and path"));
        co_return m_keepAlive;
    }
    if (!authenticateTeam()) {
        co_await respond(notConfiguredResponse(http::status::unauthorized, "unknown API key"));
        co_return m_keepAlive;
    }
    m_suspects.fingerprint = requestFingerprint(
        { m_call.target, m_call.body, m_team ? std::string_view(m_team->name) : std::string_view(), m_call.host });
    if (m_servesModels)
        m_suspects.promptParts = m_call.sharedPromptParts;
    startDeadlineTimer();
    if (!fitsStop()) {
        co_await respond(refusalResponse(http::status::service_unavailable, "this node is stopping",
            m_context.hasOtherNodes ? otherNodeRetryAfter : retryAfterDelay()));
        co_return false;
    }
    SendOutcome outcome = SendOutcome::NotRun;
    do {
        if (!co_await awaitHost())
            break;
        outcome = co_await sendOnce();
    } while (outcome != SendOutcome::Answered && maySendAgain(outcome, m_context.now()));
    releaseReservation();

    if (outcome == SendOutcome::Answered) {
        m_context.answerTimes.record(m_route->name, m_context.now() - m_arrived);
        recordOutcome("answered", {});
    } else {
        co_await respondWithFailure();
    }
    bool callerStays = m_active->cancelReason != CancelReason::CallerDisconnected;
    co_return m_keepAlive&& callerStays&& m_caller.socket().is_open();
}

asio::awaitable<void> CallForwarder::respondAfterException(std::string_view problem)
{
    m_active->backend = nullptr;
    if (!m_active->hostId.empty()) {
        m_context.suspicion.withdrawn(m_suspects, m_active->hostId);
        m_context.forecast.sendWithdrawn(m_active->hostId, std::exchange(m_forecastedSend, 0));
        m_context.balancer.sendEnded(std::exchange(m_active->hostId, {}), SendResult::CallerGone, m_context.now());
    }
    releaseReservation();
    m_possibleRuns = std::max(m_possibleRuns, m_sends); // It is unknown how far the last send had come.
    m_lastError = fmt::format("internal error: {}", problem);
    m_lastFailureResponse.reset();
    co_await respondWithFailure();
}

bool CallForwarder::findRoute()
{
    m_route = m_routes->find(m_call.host, m_call.target);
    if (!m_route)
        return false;
    m_service = RouteTable::pickService(*m_route, m_context.drawUniform());
    const ServiceSpec* service = m_routes->config().service(m_service);
    m_servesModels = service && service->servesModels();
    if (!m_servesModels)
        m_call.model.clear();
    return true;
}

bool CallForwarder::authenticateTeam()
{
    if (m_route->isPublic || m_routes->config().teams.empty())
        return true;
    m_team = m_routes->teamOfKey(m_call.key);
    return m_team != nullptr;
}

void CallForwarder::startDeadlineTimer()
{
    m_context.anyCallSeen = true;
    m_isCallerRetry
        = m_servesModels && isCallerRetry() && !m_context.disabledMechanisms.contains(Mechanism::RetriesFirst);
    m_deadline = std::min(m_deadline, m_arrived + m_route->timeout);
    m_active->timer.expires_at(m_deadline);
    m_active->timer.async_wait([active = m_active](const auto& error) {
        if (!error)
            active->cancel(CancelReason::DeadlineExceeded);
    });
}

// Whether the call may be taken although the node is stopping. After a pause, calls that have waited meanwhile are read
// before the regular look at the signal.
bool CallForwarder::fitsStop() const
{
    m_context.noticeStop();
    return !m_context.stopPlan
        || m_context.stopPlan->mayTake(m_arrived, m_deadline, m_context.answerTimes.usualDuration(m_route->name));
}

// Detects by its shorter timeout a request that was refused before.
bool CallForwarder::isCallerRetry()
{
    if (!m_call.timeout)
        return false;
    return m_context.callerTimeouts[m_route->name].classifyAsRetry(*m_call.timeout, m_route->targetLatency);
}

int CallForwarder::priority() const
{
    int rank = m_team && m_team->priority ? *m_team->priority : m_route->priority;
    return callPriority({ m_headForwarded || m_possibleRuns > 0, m_isCallerRetry, rank });
}

Milliseconds CallForwarder::timeLeft() const
{
    return std::max(Milliseconds(1), std::chrono::floor<Milliseconds>(m_deadline - m_context.now()));
}

// Returns an empty id if no server has room.
std::string CallForwarder::chooseHost(MonotonicTime now, std::span<const std::string> excluded, bool hasStarted)
{
    auto queue = static_cast<uint32_t>(m_context.settings.queuePerReplica);
    if (hasStarted)
        queue += resumeQueueExtra;
    else if (m_isCallerRetry)
        queue += retryQueueExtra;
    std::vector<std::string> preferred = hostsWithIdleConnection(now);
    auto choose = [&](std::span<const std::string> hosts) {
        ChoiceRequest request { m_service, m_call.model, hosts, queue, {}, preferred };
        return isForecastUsed(hasStarted) ? chooseHostInTime(request, now)
                                          : m_context.balancer.choose(request, now, m_context.random);
    };
    // Two suspects on one server would share its death.
    std::vector<std::string> suspects = m_context.suspicion.replicasToAvoid(m_suspects, now);
    if (!suspects.empty()) {
        suspects.insert(suspects.end(), excluded.begin(), excluded.end());
        std::string hostId = choose(suspects);
        if (!hostId.empty())
            return hostId;
    }
    return choose(excluded);
}

// A stream that has started goes on wherever there is a place for it.
bool CallForwarder::isForecastUsed(bool hasStarted) const
{
    return m_servesModels && m_route->streaming && !hasStarted
        && !m_context.disabledMechanisms.contains(Mechanism::FirstEventForecast);
}

bool CallForwarder::isModelKnown() const
{
    const ServiceSpec* service = m_routes->config().service(m_service);
    return service && service->model(m_call.model);
}

std::string CallForwarder::chooseHostInTime(ChoiceRequest request, MonotonicTime now)
{
    auto elapsed = std::chrono::duration_cast<Milliseconds>(now - m_arrived);
    bool isShared = m_team && isModelKnown() && !m_context.disabledMechanisms.contains(Mechanism::TeamShares);
    TeamShares* shares = isShared ? &m_context.teamShares[{ m_service, m_call.model }] : nullptr;
    std::vector<GateStep> steps = gateSteps({ m_route->targetLatency, m_route->targetGap, elapsed, timeLeft(),
        shares && shares->isOverShare(m_team->name, now), m_isCallerRetry, refusesLateCalls,
        m_context.forecast.fastestMs(m_service, m_call.model, now) });
    m_isRefusedByForecast = false;
    if (steps.empty())
        return m_context.balancer.choose(request, now, m_context.random);
    if (m_sends > 0)
        shares = nullptr; // Counted already.
    if (shares)
        shares->recordAsked(m_team->name, now);
    for (const GateStep& step : steps) {
        request.firstEvent = { &m_context.forecast, m_call.promptTokens, step.maxFirstEventMs, step.maxLoad };
        std::string hostId = m_context.balancer.choose(request, now, m_context.random);
        if (hostId.empty())
            continue;
        if (shares)
            shares->recordAdmitted(m_team->name, now);
        return hostId;
    }
    request.firstEvent = {};
    m_isRefusedByForecast = !m_context.balancer.choose(request, now, m_context.random).empty();
    return {};
}

bool CallForwarder::reserveOtherServer()
{
    MonotonicTime now = m_context.now();
    std::vector<std::string> excluded = m_triedHostIds;
    excluded.push_back(m_hostId);
    bool isThroughNode = mayUseNode();
    std::string other = isThroughNode ? std::string() : chooseHost(now, excluded, true);
    bool mayResume = !m_headForwarded || !m_context.disabledMechanisms.contains(Mechanism::Resume);
    bool isSuspect = m_context.suspicion.verdict(m_suspects, now) != SuspicionVerdict::Clear;
    ServerLeaveInputs inputs { mayRepeat() && mayResume, isSuspect, m_possibleRuns + 1, m_route->maxAttempts, m_sends,
        maxSends, true, isThroughNode || !other.empty() };
    ServerLeave verdict = mayLeaveServer(inputs);
    // Only a call that leaves for sure takes a retry.
    if (verdict == ServerLeave::Allowed) {
        inputs.isRetryLeft = m_context.retries.takeRetry(m_service, now);
        verdict = mayLeaveServer(inputs);
    }
    m_context.metrics.count(fmt::format("server_leaves_total{{verdict=\"{}\"}}", name(verdict)));
    if (verdict != ServerLeave::Allowed)
        return false;
    m_hasLeftServer = true;
    if (isThroughNode)
        return true;
    m_context.balancer.sendStarted(other, now);
    m_reservedHostId = std::move(other);
    return true;
}

void CallForwarder::releaseReservation()
{
    if (!m_reservedHostId.empty())
        m_context.balancer.sendEnded(std::exchange(m_reservedHostId, {}), SendResult::CallerGone, m_context.now());
}

bool CallForwarder::isHeldAsSuspect()
{
    SuspicionVerdict verdict = m_context.suspicion.verdict(m_suspects, m_context.now());
    m_isHeldAsSuspect = verdict != SuspicionVerdict::Clear;
    if (!m_isHeldAsSuspect)
        return false;
    bool isStopped = verdict == SuspicionVerdict::Stopped;
    m_lastError = isStopped ? "backend servers ended while running this request, or others with a part of its prompt"
                            : "a backend server ended while running such a request, and one is being tried again";
    m_context.metrics.count(
        fmt::format("requests_held_as_suspect_total{{reason=\"{}\"}}", isStopped ? "stopped" : "running"));
    return true;
}

// A new call is refused at once if no replica has a free slot, because it would miss its deadline after waiting. A
// stream that has started may wait for a short time, and until its deadline if its server might have gone on with it.
MonotonicTime CallForwarder::hostWaitDeadline() const
{
    if (m_hasLeftServer)
        return m_deadline;
    bool isHeld = m_possibleRuns > 0 || m_context.disabledMechanisms.contains(Mechanism::EarlyRefusal);
    return isHeld ? m_context.now() + maxResumeWait : m_arrived;
}

asio::awaitable<bool> CallForwarder::awaitHost()
{
    if (!m_reservedHostId.empty()) {
        m_hostId = m_reservedHostId;
        co_return true;
    }
    if (isHeldAsSuspect())
        co_return false;
    if (chooseNode())
        co_return mayRetry(m_context.now());
    MonotonicTime until = hostWaitDeadline();
    bool hasStarted = m_headForwarded || m_possibleRuns > 0;
    while (m_active->cancelReason == CancelReason::None) {
        MonotonicTime now = m_context.now();
        if (isHeldAsSuspect())
            co_return false;
        m_hostId = chooseHost(now, m_triedHostIds, hasStarted);
        if (!m_hostId.empty() && mayRetry(now))
            co_return true;
        if (!m_hostId.empty() && !m_hasLeftServer)
            co_return false;
        if (now >= until) {
            if (m_lastError.empty())
                m_lastError = m_isRefusedByForecast ? "no replica answers in time" : "no replica has a free slot";
            // Callers may name any number of models that do not exist.
            if (isModelKnown() && m_possibleRuns == 0) {
                ++m_context.demand[{ m_service, m_call.model }].refusedSinceTick;
                m_context.metrics.count(
                    fmt::format("calls_without_place_total{{reason=\"{}\"}}", m_isRefusedByForecast ? "late" : "full"));
            }
            co_return false;
        }
        co_await sleepFor(slotPollPeriod);
    }
    co_return false;
}

bool CallForwarder::maySendAgain(SendOutcome outcome, MonotonicTime now)
{
    // Another node that took the call has made all attempts that its route allows, or may have.
    bool wasTakenByNode = !m_node.empty() && outcome != SendOutcome::NotRun;
    if (m_nodeRefusal || wasTakenByNode)
        return false;
    if (outcome == SendOutcome::CallerBroken || m_active->cancelReason != CancelReason::None || now >= m_deadline)
        return false;
    if (outcome != SendOutcome::NotRun && !mayRepeat())
        return false;
    if (m_headForwarded && m_context.disabledMechanisms.contains(Mechanism::Resume))
        return false;
    bool isSendLeft = m_sends < maxSends || m_hasLeftServer;
    if (m_possibleRuns >= m_route->maxAttempts || !isSendLeft)
        return false;
    if (isHeldAsSuspect())
        return false;
    if (m_node.empty())
        m_triedHostIds.push_back(m_hostId);
    else
        m_triedNodes.push_back(std::exchange(m_node, {}));
    // A send that got no connection does not count as a retry; the retry of a reserved place was taken with it.
    m_needsRetry = m_hadConnection && m_reservedHostId.empty();
    return true;
}

// Whether the next send may be made now, as a retry if it is one.
bool CallForwarder::mayRetry(MonotonicTime now)
{
    if (m_needsRetry && !m_context.retries.takeRetry(m_service, now))
        return false;
    m_needsRetry = false;
    return true;
}

asio::awaitable<bool> CallForwarder::reserve(HeldPart part, size_t bytes)
{
    bool hasRoom = m_share.tryReserve(part, bytes);
    if (!hasRoom)
        hasRoom = co_await m_share.reserve(part, bytes);
    if (hasRoom)
        co_return true;
    m_active->cancel(CancelReason::MemoryShort);
    m_lastError = "memory is short";
    co_return false;
}

asio::awaitable<void> CallForwarder::respond(HttpResponse response)
{
    if (!m_keepAlive || m_context.isStopping()) {
        m_keepAlive = false;
        response.keep_alive(false);
    }
    response.prepare_payload();
    m_active->responseStarted = true;
    m_active->hasWholeAnswer = true;
    if (response.result_int() >= 400)
        recordOutcome("refused", response.body());
    // This is the last answer, so the request is not needed any more.
    m_call.body = std::string();
    m_share.hold(HeldPart::Body, 0);
    m_share.hold(HeldPart::Answer, response.body().capacity());
    m_share.enter(ClientStage::Answering);
    // Without a route there is no deadline, and a refusal may be sent after it.
    m_caller.expires_at(std::max(m_deadline, m_context.now() + m_context.settings.answerTimeout));
    auto [error, written] = co_await http::async_write(m_caller, response, asTuple);
    m_caller.expires_never();
    if (error)
        m_active->cancel(CancelReason::CallerDisconnected);
}

HttpResponse CallForwarder::refusalResponse(
    http::status status, std::string_view reason, std::optional<Milliseconds> retryAfter)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = nlohmann::json { { "error", reason } }.dump();
    if (retryAfter)
        m_context.platform.setRetryAfter(response, *retryAfter);
    return response;
}

// A node with an outdated configuration cannot tell a missing route or key from one that was added since, so the caller
// is sent to another node.
HttpResponse CallForwarder::notConfiguredResponse(http::status status, std::string_view reason)
{
    if (m_context.isConfigCurrent)
        return refusalResponse(status, reason);
    m_context.metrics.count("requests_beyond_old_config_total");
    return refusalResponse(
        http::status::service_unavailable, "the configuration of this node may be outdated", retryAfterDelay());
}

// Adds a random part, so that requests refused together are not retried together. A caller waits at most a third of its
// remaining time, so the delay is limited to that, unless all servers are backed off for longer.
Milliseconds CallForwarder::retryAfterDelay()
{
    double draw = m_context.disabledMechanisms.contains(Mechanism::RetryTimeSpread) ? 0.5 : m_context.drawUniform();
    auto spread = std::chrono::duration_cast<Milliseconds>(retryAfterJitter * draw);
    MonotonicTime now = m_context.now();
    if (auto end = m_context.balancer.allBackedOffUntil(m_service, m_call.model, now))
        return std::max(minRetryAfter, std::chrono::ceil<Milliseconds>(*end - now)) + spread;
    if (m_isRefusedByForecast) {
        auto shortest = m_context.balancer.shortestFirstEventMs(
            { m_service, m_call.model, {}, 0, { &m_context.forecast, m_call.promptTokens } }, now);
        return gateRetryAfter(shortest.value_or(0), m_route->targetLatency, timeLeft(), draw);
    }
    return std::min(minRetryAfter + spread, timeLeft() / 3);
}

asio::awaitable<void> CallForwarder::respondWithFailure()
{
    if (m_active->cancelReason == CancelReason::CallerDisconnected) {
        recordOutcome("caller_left", {});
        co_return;
    }
    if (m_headForwarded) {
        // Closing the connection before the last chunk tells the caller that the stream is incomplete.
        recordOutcome("broken_off", m_lastError);
        m_keepAlive = false;
        beast::error_code ignored;
        m_caller.socket().close(ignored);
        co_return;
    }
    if (m_nodeRefusal && m_possibleRuns == 0)
        co_return co_await respond(std::move(*m_nodeRefusal));
    if (m_lastFailureResponse)
        co_return co_await respond(std::move(*m_lastFailureResponse));
    bool isDeadlineExceeded = m_active->cancelReason == CancelReason::DeadlineExceeded;
    if (m_possibleRuns == 0 && isDeadlineExceeded)
        co_return co_await respond(
            refusalResponse(http::status::service_unavailable, "deadline exceeded; the request was not run"));
    if (m_possibleRuns == 0) {
        Milliseconds retryAfter
            = m_isHeldAsSuspect ? m_context.suspicion.retryAfter(m_suspects, m_context.now()) : retryAfterDelay();
        co_return co_await respond(refusalResponse(http::status::service_unavailable, m_lastError, retryAfter));
    }
    co_await respond(refusalResponse(isDeadlineExceeded ? http::status::gateway_timeout : http::status::bad_gateway,
        "the request may have run: " + m_lastError));
}

void CallForwarder::recordOutcome(std::string_view outcome, std::string_view reason)
{
    if (m_isLogged)
        return;
    m_isLogged = true;
    MonotonicTime now = m_context.now();
    std::string_view route = m_route ? std::string_view(m_route->name) : std::string_view("none");
    m_context.metrics.count(fmt::format("requests_total{{route=\"{}\",outcome=\"{}\"}}", route, outcome));
    m_context.metrics.observe("request_seconds", now - m_arrived);
    nlohmann::json fields { { "id", m_call.id }, { "route", route }, { "service", m_service },
        { "model", m_call.model }, { "outcome", outcome }, { "sends", m_sends }, { "runs", m_possibleRuns },
        { "events", m_eventStream.events() }, { "ms", 1000 * toSeconds(now - m_arrived) },
        { "config", m_routes ? m_routes->version() : 0 }, { "fingerprint", fingerprintName(m_suspects.fingerprint) } };
    if (!m_suspects.promptParts.empty())
        fields["prompt_parts"] = promptPartNames(m_suspects);
    if (m_team)
        fields["team"] = m_team->name;
    if (m_context.stopPlan)
        fields["arrived_after_stop_ms"] = 1000 * toSeconds(m_arrived - m_context.stopPlan->requestedAt());
    if (m_active->cancelReason != CancelReason::None)
        fields["cancelled"] = name(m_active->cancelReason);
    if (m_firstEventAt)
        fields["first_event_ms"] = 1000 * toSeconds(*m_firstEventAt - m_arrived);
    if (!reason.empty())
        fields["reason"] = reason;
    if (!m_node.empty())
        fields["sent_through"] = m_node;
    if (m_call.isRelayed)
        fields["relayed"] = true;
    if (!m_hostId.empty()) {
        fields["host"] = m_hostId;
        fields["in_flight_before"] = m_inFlightBefore; // Input of the choice of the host.
    }
    if (m_forecast) {
        fields["predicted_ms"] = m_forecast->totalMs();
        fields["predicted_delay_ms"] = m_forecast->delayMs;
        fields["prompt_tokens"] = m_call.promptTokens;
    }
    if (outcome == "answered")
        m_context.log.writeRoutine("request", std::move(fields));
    else
        m_context.log.write("request", std::move(fields));
    // The process may be killed before the next periodic flush.
    if (outcome != "answered" && outcome != "refused")
        m_context.log.flush();
}

} // namespace Kumquatpick
