#include "gateway/callforwarder.h"

#include "fleet/callpriority.h"
#include "gateway/asio.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // Used if the caller gives no timeout; the timeout of the route still applies.
    constexpr Milliseconds noPatienceGiven { 60'000 };
    // Each refused send costs a round trip and counts as a retry.
    constexpr uint32_t mostSends = 4;
    // A broken stream waits for a free slot on another replica about as long as the usual interval between two events.
    constexpr Milliseconds resumeWait { 1500 };
    constexpr Milliseconds placePoll { 30 };
    constexpr uint32_t resumeQueueExtra = 12;
    // Requests that the caller retries may queue deeper, because a second refusal is final.
    constexpr uint32_t returnQueueExtra = 2;
    // Random range added to the retry delay.
    constexpr Milliseconds earliestReturn { 400 };
    constexpr Milliseconds returnSpread { 900 };

}

CallForwarder::CallForwarder(GatewayContext& context, beast::tcp_stream& caller, Call call, bool keepAlive)
    : m_context(context)
    , m_caller(caller)
    , m_call(std::move(call))
    , m_keepAlive(keepAlive)
    , m_routes(context.routes)
    , m_arrived(context.now())
    , m_deadline(m_arrived + m_call.patience.value_or(noPatienceGiven))
    , m_active(std::make_shared<ActiveCall>(caller.socket(), caller.get_executor()))
    , m_events(m_call.resumeAfter)
{
    m_context.calls.insert(m_active);
}

CallForwarder::~CallForwarder()
{
    m_active->isDone = true;
    m_active->timer.cancel();
    m_context.calls.erase(m_active);
}

asio::awaitable<bool> CallForwarder::run()
{
    if (!m_routes) {
        co_await answer(refusal(http::status::service_unavailable, "no configuration received yet", comeBackIn()));
        co_return m_keepAlive;
    }
    if (!findRoute()) {
        co_await answer(notConfigured(http::status::not_found, "no route matches the host and path"));
        co_return m_keepAlive;
    }
    if (!checkKey()) {
        co_await answer(notConfigured(http::status::unauthorized, "unknown API key"));
        co_return m_keepAlive;
    }
    startClock();
    SendOutcome outcome = SendOutcome::NotRun;
    do {
        if (!co_await awaitHost())
            break;
        outcome = co_await sendOnce();
    } while (outcome != SendOutcome::Answered && mayTryAgain(outcome, m_context.now()));

    if (outcome == SendOutcome::Answered)
        finish("answered", {});
    else
        co_await answerFailed();
    bool callerStays = m_active->end != CallEnd::CallerLeft;
    co_return m_keepAlive&& callerStays&& m_caller.socket().is_open();
}

bool CallForwarder::findRoute()
{
    m_route = m_routes->find(m_call.host, m_call.target);
    if (!m_route)
        return false;
    m_service = RouteTable::pickService(*m_route, m_context.draw());
    const ServiceSpec* service = m_routes->config().service(m_service);
    m_servesModels = service && service->servesModels();
    if (!m_servesModels)
        m_call.model.clear();
    return true;
}

bool CallForwarder::checkKey()
{
    if (m_route->isPublic || m_routes->config().teams.empty())
        return true;
    m_team = m_routes->teamOfKey(m_call.key);
    return m_team != nullptr;
}

void CallForwarder::startClock()
{
    m_context.anyCallSeen = true;
    m_cameBack = m_servesModels && cameBack() && !m_context.off.contains(Mechanism::ReturnOrder);
    m_deadline = std::min(m_deadline, m_arrived + m_route->timeout);
    m_active->timer.expires_at(m_deadline);
    m_active->timer.async_wait([active = m_active](const auto& error) {
        if (!error)
            active->cut(CallEnd::TimeUp);
    });
}

// Detects by its shorter timeout a request that was refused before.
bool CallForwarder::cameBack()
{
    if (!m_call.patience)
        return false;
    return m_context.patience[m_route->name].cameBack(*m_call.patience, m_route->targetLatency);
}

int CallForwarder::priority() const
{
    int rank = m_team && m_team->priority ? *m_team->priority : m_route->priority;
    return callPriority({ m_headPassed || m_runs > 0, m_cameBack, rank });
}

Milliseconds CallForwarder::patienceLeft() const
{
    return std::max(Milliseconds(1), std::chrono::floor<Milliseconds>(m_deadline - m_context.now()));
}

bool CallForwarder::chooseHost(MonotonicTime now)
{
    auto queue = static_cast<uint32_t>(m_context.settings.queuePerReplica);
    if (m_headPassed || m_runs > 0)
        queue += resumeQueueExtra;
    else if (m_cameBack)
        queue += returnQueueExtra;
    m_hostId = m_context.balancer.choose({ m_service, m_call.model, m_tried, queue }, now, m_context.random);
    return !m_hostId.empty();
}

// A new call is refused at once if no replica has a free slot, because it would miss its deadline after waiting. A
// stream that has started may wait for a short time.
MonotonicTime CallForwarder::waitsForHostUntil() const
{
    bool isHeld = m_runs > 0 || m_context.off.contains(Mechanism::EarlyRefusal);
    return isHeld ? m_context.now() + resumeWait : m_arrived;
}

asio::awaitable<bool> CallForwarder::awaitHost()
{
    MonotonicTime until = waitsForHostUntil();
    while (m_active->end == CallEnd::None) {
        MonotonicTime now = m_context.now();
        if (chooseHost(now))
            co_return true;
        if (now >= until) {
            m_lastProblem = m_lastProblem.empty() ? "no replica has a free slot" : m_lastProblem;
            if (m_servesModels && m_runs == 0)
                ++m_context.demand[m_call.model].refusedSinceTick;
            co_return false;
        }
        co_await pause(placePoll);
    }
    co_return false;
}

bool CallForwarder::mayTryAgain(SendOutcome outcome, MonotonicTime now)
{
    if (outcome == SendOutcome::CallerBroken || m_active->end != CallEnd::None || now >= m_deadline)
        return false;
    if (outcome != SendOutcome::NotRun && !mayRepeat())
        return false;
    if (m_headPassed && m_context.off.contains(Mechanism::Resume))
        return false;
    if (m_runs >= m_route->maxAttempts || m_sends >= mostSends)
        return false;
    m_tried.push_back(m_hostId);
    // A send that got no connection does not count as a retry.
    return !m_hasArrived || m_context.retries.takeRetry(m_service, now);
}

asio::awaitable<void> CallForwarder::answer(HttpResponse response)
{
    if (!m_keepAlive || m_context.isStopping) {
        m_keepAlive = false;
        response.keep_alive(false);
    }
    response.prepare_payload();
    m_active->answerBegun = true;
    if (response.result_int() >= 400)
        finish("refused", response.body());
    auto [error, written] = co_await http::async_write(m_caller, response, asTuple);
    if (error)
        m_active->cut(CallEnd::CallerLeft);
}

HttpResponse CallForwarder::refusal(
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
HttpResponse CallForwarder::notConfigured(http::status status, std::string_view reason)
{
    if (m_context.isConfigCurrent)
        return refusal(status, reason);
    m_context.metrics.count("requests_beyond_old_config_total");
    return refusal(http::status::service_unavailable, "the configuration of this node may be outdated", comeBackIn());
}

// Adds a random part, so that requests refused together are not retried together. A caller waits at most a third of its
// remaining time, so the delay is limited to that, unless all servers are backed off for longer.
Milliseconds CallForwarder::comeBackIn()
{
    double draw = m_context.off.contains(Mechanism::ReturnSpread) ? 0.5 : m_context.draw();
    auto spread = std::chrono::duration_cast<Milliseconds>(returnSpread * draw);
    MonotonicTime now = m_context.now();
    if (auto end = m_context.balancer.allBackedOffUntil(m_service, m_call.model, now))
        return std::max(earliestReturn, std::chrono::ceil<Milliseconds>(*end - now)) + spread;
    return std::min(earliestReturn + spread, patienceLeft() / 3);
}

asio::awaitable<void> CallForwarder::answerFailed()
{
    if (m_active->end == CallEnd::CallerLeft) {
        finish("caller_left", {});
        co_return;
    }
    if (m_headPassed) {
        // Closing the connection before the last chunk tells the caller that the stream is incomplete.
        finish("broken_off", m_lastProblem);
        m_keepAlive = false;
        beast::error_code ignored;
        m_caller.socket().close(ignored);
        co_return;
    }
    if (m_lastFailure)
        co_return co_await answer(std::move(*m_lastFailure));
    bool timeIsUp = m_active->end == CallEnd::TimeUp;
    if (m_runs == 0 && timeIsUp)
        co_return co_await answer(
            refusal(http::status::service_unavailable, "deadline exceeded; the request was not run"));
    if (m_runs == 0)
        co_return co_await answer(refusal(http::status::service_unavailable, m_lastProblem, comeBackIn()));
    co_await answer(refusal(timeIsUp ? http::status::gateway_timeout : http::status::bad_gateway,
        "the request may have run: " + m_lastProblem));
}

void CallForwarder::finish(std::string_view outcome, std::string_view reason)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    MonotonicTime now = m_context.now();
    std::string_view route = m_route ? std::string_view(m_route->name) : std::string_view("none");
    m_context.metrics.count(fmt::format("requests_total{{route=\"{}\",outcome=\"{}\"}}", route, outcome));
    m_context.metrics.observe("request_seconds", now - m_arrived);
    nlohmann::json fields { { "id", m_call.id }, { "route", route }, { "service", m_service },
        { "model", m_call.model }, { "outcome", outcome }, { "sends", m_sends }, { "runs", m_runs },
        { "events", m_events.events() }, { "ms", 1000 * toSeconds(now - m_arrived) },
        { "config", m_routes ? m_routes->version() : 0 } };
    if (m_firstEventAt)
        fields["first_event_ms"] = 1000 * toSeconds(*m_firstEventAt - m_arrived);
    if (!reason.empty())
        fields["reason"] = reason;
    if (!m_hostId.empty()) {
        fields["host"] = m_hostId;
        fields["in_flight_before"] = m_inFlightBefore; // Input of the choice of the host.
    }
    if (outcome == "answered")
        m_context.log.writeRoutine("request", std::move(fields));
    else
        m_context.log.write("request", std::move(fields));
}

} // namespace Kumquatpick
