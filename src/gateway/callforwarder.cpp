#include "gateway/callforwarder.h"

#include "fleet/callpriority.h"
#include "gateway/asio.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // A caller that names no patience waits as long as its route allows.
    constexpr Milliseconds noPatienceGiven { 60'000 };
    // Refused sends cost a round trip each, and each counts as a repeat.
    constexpr uint32_t mostSends = 4;
    // A host that is up accepts within a round trip. Nothing is sent before, so another host can be tried at once.
    constexpr Milliseconds connectTimeout { 200 };
    // A call that may not run twice goes over a connection that was used just now or is new: one that the backend
    // server is about to close could take the call with it.
    constexpr Milliseconds idleForOnce { 300 };
    constexpr Milliseconds idleForRepeatable { 2500 };
    // Answers to earlier requests that may still lie in a connection before one's own.
    constexpr int mostForeignAnswers = 3;
    constexpr uint64_t largestAnswer = 64 << 20;
    constexpr size_t readBytes = 16 * 1024;
    // A broken stream waits for a place elsewhere about as long as its caller does between two events.
    constexpr Milliseconds resumeWait { 1500 };
    constexpr Milliseconds placePoll { 30 };
    constexpr uint32_t resumeQueueExtra = 12;
    // A caller that came back is refused for good if it finds no place.
    constexpr uint32_t returnQueueExtra = 2;
    // An idempotent call to a plain service tries another server once this one took several times its target.
    constexpr int patienceInTargets = 3;
    constexpr Milliseconds leastTry { 200 };
    // Returns are spread over this time.
    constexpr Milliseconds earliestReturn { 400 };
    constexpr Milliseconds returnSpread { 900 };

    // Of SendOutcome, for logs.
    constexpr const char* sendOutcomeNames[] = { "answered", "not_run", "unusable", "broken", "caller_broken" };

    // These promise that the request has not run; only who knows that may say so.
    bool promisesNotRun(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

    double milliseconds(MonotonicTime::duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

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
        co_await answer(refusal(http::status::service_unavailable, "no configuration is known yet", comeBackIn()));
        co_return m_keepAlive;
    }
    if (!findRoute()) {
        co_await answer(refusal(http::status::not_found, "no route"));
        co_return m_keepAlive;
    }
    if (!checkKey()) {
        co_await answer(refusal(http::status::unauthorized, "unknown key"));
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

// A caller that was refused before comes back with less patience.
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

// A new call that finds no place is refused at once: one that waits could not be in time. A stream that has begun is
// worth waiting for a little.
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
            m_lastProblem = m_lastProblem.empty() ? "no replica has room" : m_lastProblem;
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
    // What never arrived anywhere is no repeat to anyone.
    return !m_hasArrived || m_context.retries.takeRetry(m_service, now);
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::sendOnce()
{
    MonotonicTime begun = m_context.now();
    if (m_sends++ == 0)
        m_context.retries.firstSend(m_service, begun);
    std::string hostId = m_hostId;
    const Host* host = m_context.hosts.find(hostId);
    if (!host)
        co_return SendOutcome::NotRun;
    m_inFlightBefore = m_context.balancer.inFlightAt(hostId);
    m_context.balancer.started(hostId, begun);
    m_active->hostId = hostId;
    m_active->isStalled = false;
    m_sendEnd = SendEnd::Failed;
    m_mayReuseConnection = false;
    uint64_t eventsBefore = m_events.events();

    SendOutcome outcome = SendOutcome::NotRun;
    auto acquired
        = co_await m_context.pool.acquire(host->address, mayRepeat() ? idleForRepeatable : idleForOnce, connectTimeout);
    m_hasArrived = std::holds_alternative<std::unique_ptr<PeerConnection>>(acquired);
    if (!m_hasArrived) {
        m_lastProblem = describe(std::get<Error>(acquired));
        m_sendEnd = SendEnd::Unreachable;
    } else {
        auto connection = std::move(std::get<0>(acquired));
        if (m_active->end == CallEnd::None) {
            m_active->backend = &connection->stream;
            outcome = co_await sendOver(*connection);
            m_active->backend = nullptr;
        }
        if (outcome == SendOutcome::Answered || (outcome == SendOutcome::NotRun && m_mayReuseConnection))
            m_context.pool.release(std::move(connection));
    }
    m_active->hostId.clear();
    if (m_events.events() > eventsBefore)
        m_context.balancer.writing(hostId, -1);
    m_events.dropPartialEvent();
    if (m_active->end != CallEnd::None)
        m_sendEnd = SendEnd::Withdrawn;
    else if (m_active->isStalled)
        m_sendEnd = SendEnd::Stalled;
    m_context.balancer.ended(hostId, m_sendEnd, m_context.now());
    if (outcome != SendOutcome::NotRun)
        ++m_runs;
    if (outcome != SendOutcome::Answered) {
        m_context.log.writeRoutine("send_ended",
            { { "id", m_call.id }, { "host", hostId }, { "outcome", sendOutcomeNames[static_cast<size_t>(outcome)] },
                { "stalled", m_active->isStalled }, { "problem", m_lastProblem }, { "events", m_events.events() },
                { "ms", milliseconds(m_context.now() - begun) } });
    }
    co_return outcome;
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::sendOver(PeerConnection& connection)
{
    Send send;
    send.hostId = m_hostId;
    send.team = m_team ? m_team->name : std::string();
    send.resumeAfter = m_events.lastId();
    send.patience = patienceLeft();
    send.priority = priority();
    HttpRequest request = m_context.platform.forward(m_call, send);

    // A plain call that may be repeated does not wait for one slow server until its own time is up.
    bool leavesSlowServer = m_route->idempotent && !m_route->streaming && m_runs + 1 < m_route->maxAttempts;
    if (leavesSlowServer)
        connection.stream.expires_after(std::max(leastTry, m_route->targetLatency * patienceInTargets));
    else
        connection.stream.expires_never();
    auto [error, written] = co_await http::async_write(connection.stream, request, asTuple);
    if (error) {
        m_lastProblem = "write: " + error.message();
        co_return SendOutcome::Broken;
    }
    co_return co_await readReply(connection);
}

// The head of this call's own answer. A late answer to an earlier request may lie before it.
asio::awaitable<bool> CallForwarder::readOwnHead(
    PeerConnection& connection, std::unique_ptr<BodyParser>& parser, Reply& reply)
{
    for (int i = 0; i < mostForeignAnswers; ++i) {
        parser = std::make_unique<BodyParser>();
        parser->body_limit(largestAnswer);
        auto [error, read] = co_await http::async_read_header(connection.stream, connection.buffer, *parser, asTuple);
        if (error) {
            m_lastProblem = "head: " + error.message();
            co_return false;
        }
        reply = m_context.platform.reply(parser->get());
        if (reply.callId == m_call.id || (reply.callId.empty() && reply.notRun))
            co_return true;
        m_lastProblem = "another request's answer";
        std::string ignored;
        if (parser->need_eof() || !co_await readBody(connection, *parser, ignored))
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> CallForwarder::readBody(PeerConnection& connection, BodyParser& parser, std::string& body)
{
    std::array<char, readBytes> bytes {};
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        auto [error, read] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asTuple);
        body.append(bytes.data(), bytes.size() - parser.get().body().size);
        if (error && error != http::error::need_buffer) {
            m_lastProblem = "body: " + error.message();
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::readReply(PeerConnection& connection)
{
    std::unique_ptr<BodyParser> parser;
    Reply reply;
    if (!co_await readOwnHead(connection, parser, reply))
        co_return SendOutcome::Broken;
    m_context.balancer.progressed(m_hostId, m_context.now());
    bool isStream = m_route->streaming && reply.status == 200 && reply.isSigned && reply.isWhole;
    if (isStream)
        co_return co_await passStream(connection, *parser);

    std::string body;
    bool keepsConnection = parser->keep_alive();
    bool isWhole = co_await readBody(connection, *parser, body);
    if (reply.notRun) {
        m_lastProblem = fmt::format("refused with {}", reply.status);
        m_sendEnd = reply.isElsewhere ? SendEnd::NotServing : SendEnd::NotTaken;
        m_mayReuseConnection = keepsConnection && isWhole;
        co_return SendOutcome::NotRun;
    }
    if (!isWhole)
        co_return SendOutcome::Broken;
    ResponseHead head = parser->get().base();
    SendOutcome outcome = co_await passWhole(head, reply, std::move(body));
    if (outcome == SendOutcome::Answered && !keepsConnection) {
        beast::error_code ignored;
        connection.stream.socket().close(ignored);
    }
    co_return outcome;
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::passWhole(
    const ResponseHead& head, const Reply& reply, std::string body)
{
    bool isSuccess = reply.status >= 200 && reply.status < 300;
    bool isUsable = reply.isWhole && !promisesNotRun(reply.status) && (!isSuccess || reply.isSigned);
    if (!isUsable || (m_route->streaming && isSuccess)) {
        m_lastProblem = fmt::format("an answer with status {} that can't be passed on", reply.status);
        co_return SendOutcome::Unusable;
    }
    HttpResponse response;
    static_cast<ResponseHead&>(response) = head;
    m_context.platform.toCaller(response);
    response.version(11);
    response.body() = std::move(body);
    if (!isSuccess && reply.status >= 500) {
        m_lastProblem = fmt::format("the backend server failed it with {}", reply.status);
        m_lastFailure = std::move(response);
        co_return SendOutcome::Unusable;
    }
    m_sendEnd = SendEnd::Finished;
    if (m_headPassed)
        co_return SendOutcome::Unusable;
    co_await answer(std::move(response));
    co_return m_active->end == CallEnd::None ? SendOutcome::Answered : SendOutcome::CallerBroken;
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::passStream(PeerConnection& connection, BodyParser& parser)
{
    std::array<char, readBytes> bytes {};
    bool isWriting = false;
    uint64_t eventsBefore = m_events.events();
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        auto [error, read] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asTuple);
        size_t count = bytes.size() - parser.get().body().size;
        if (count > 0)
            m_context.balancer.progressed(m_hostId, m_context.now());
        std::string events = m_events.take({ bytes.data(), count });
        if (!isWriting && m_events.events() > eventsBefore) {
            isWriting = true;
            m_context.balancer.writing(m_hostId, 1);
        }
        if (!events.empty() && !co_await writeEvents(parser.get().base(), std::move(events)))
            co_return SendOutcome::CallerBroken;
        if (error && error != http::error::need_buffer) {
            m_lastProblem = "stream: " + error.message();
            co_return SendOutcome::Broken;
        }
    }
    if (m_events.hasPartialEvent()) {
        m_lastProblem = "stream: ended within an event";
        co_return SendOutcome::Broken;
    }
    if (!m_headPassed && !co_await writeEvents(parser.get().base(), {}))
        co_return SendOutcome::CallerBroken;
    m_sendEnd = SendEnd::Finished;
    auto [error, written] = co_await asio::async_write(m_caller, http::make_chunk_last(), asTuple);
    if (!parser.keep_alive()) {
        beast::error_code ignored;
        connection.stream.socket().close(ignored);
    }
    co_return error ? SendOutcome::CallerBroken : SendOutcome::Answered;
}

// With the first events goes the head, that of the first replica also if another one goes on.
asio::awaitable<bool> CallForwarder::writeEvents(const ResponseHead& head, std::string events)
{
    std::string text;
    if (!m_headPassed) {
        http::response<http::empty_body> response;
        static_cast<ResponseHead&>(response) = head;
        m_context.platform.toCaller(response);
        response.version(11);
        response.chunked(true);
        if (!m_keepAlive || m_context.isStopping) {
            m_keepAlive = false;
            response.keep_alive(false);
        }
        http::response_serializer<http::empty_body> serializer(response);
        auto [error, written] = co_await http::async_write_header(m_caller, serializer, asTuple);
        m_headPassed = true;
        m_active->answerBegun = true;
        if (error)
            co_return false;
        m_firstEventAt = m_context.now();
        m_context.metrics.observe("first_event_seconds", *m_firstEventAt - m_arrived);
    }
    if (events.empty())
        co_return true;
    auto [error, written] = co_await asio::async_write(m_caller, http::make_chunk(asio::buffer(events)), asTuple);
    co_return !error;
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

// Spread, so that those refused together don't return together; a caller does not wait for longer than a third of
// the time that it has left.
Milliseconds CallForwarder::comeBackIn()
{
    double draw = m_context.off.contains(Mechanism::ReturnSpread) ? 0.5 : m_context.draw();
    auto spread = std::chrono::duration_cast<Milliseconds>(returnSpread * draw);
    return std::min(earliestReturn + spread, patienceLeft() / 3);
}

asio::awaitable<void> CallForwarder::answerFailed()
{
    if (m_active->end == CallEnd::CallerLeft) {
        finish("caller_left", {});
        co_return;
    }
    if (m_headPassed) {
        // The connection's end without the last chunk tells the caller that the stream is not whole.
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
        co_return co_await answer(refusal(http::status::service_unavailable, "no time left, not run"));
    if (m_runs == 0)
        co_return co_await answer(refusal(http::status::service_unavailable, m_lastProblem, comeBackIn()));
    co_await answer(refusal(
        timeIsUp ? http::status::gateway_timeout : http::status::bad_gateway, "it may have run: " + m_lastProblem));
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
        { "events", m_events.events() }, { "ms", milliseconds(now - m_arrived) },
        { "config", m_routes ? m_routes->version() : 0 } };
    if (m_firstEventAt)
        fields["first_event_ms"] = milliseconds(*m_firstEventAt - m_arrived);
    if (!reason.empty())
        fields["reason"] = reason;
    if (!m_hostId.empty()) {
        fields["host"] = m_hostId;
        fields["in_flight_before"] = m_inFlightBefore; // What the choice of the host went by.
    }
    if (outcome == "answered")
        m_context.log.writeRoutine("request", std::move(fields));
    else
        m_context.log.write("request", std::move(fields));
}

} // namespace Kumquatpick
