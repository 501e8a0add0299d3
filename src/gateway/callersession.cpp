#include "gateway/callersession.h"

#include "gateway/asio.h"
#include "gateway/callforwarder.h"
#include "gateway/requestreader.h"
#include "gateway/task.h"

#include <boost/beast/http/write.hpp>
#include <exception>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>

namespace Kumquatpick {

namespace {

    constexpr size_t firstReadBytes = 4096;
    // Closing a connection with unread bytes resets it, and the caller might lose the response that was just sent.
    constexpr Milliseconds lingerTimeout { 500 };
    constexpr size_t maxLingerBytes = 256 * 1024;
    // While the next request lies unread in a connection, its end can only be detected by polling.
    constexpr Milliseconds disconnectPollPeriod { 50 };
    // Larger buffers are given back while a connection is idle.
    constexpr size_t maxIdleBufferBytes = 8 * 1024;
    constexpr Milliseconds readCancelPeriod { 5 };
    // What one connection had to give up is soon used by others.
    constexpr Milliseconds retryAfterEviction { 1000 };

    bool hasPeerClosed(asio::ip::tcp::socket& socket)
    {
        pollfd entry { socket.native_handle(), POLLRDHUP, 0 };
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

}

CallerSession::CallerSession(GatewayContext& context, asio::ip::tcp::socket socket)
    : m_context(context)
    , m_stream(std::move(socket))
{
    beast::error_code ignored; // A connection that is already closed fails at its first use.
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

const CallerLimits& CallerSession::limits() const
{
    static const CallerLimits defaults;
    return m_context.routes ? m_context.routes->config().limits : defaults;
}

RequestLimits CallerSession::requestLimits() const
{
    const GatewaySettings& settings = m_context.settings;
    return { limits().headerBytes, limits().bodyBytes, limits().headerTimeout, settings.bodyPeriod,
        settings.bodyBytesPerSecond };
}

CallerSession::~CallerSession() = default;

void CallerSession::setShare(std::unique_ptr<ClientShare> share) { m_share = std::move(share); }

bool CallerSession::closeIfIdle()
{
    if (!m_isIdle)
        return false;
    m_isClosed = true;
    beast::error_code ignored;
    m_stream.socket().close(ignored);
    return true;
}

void CallerSession::refuseAtOnce()
{
    HttpResponse response(http::status::service_unavailable, 11);
    m_context.platform.setRetryAfter(response, retryAfterEviction);
    response.keep_alive(false);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    beast::error_code ignored; // The caller sees a closed connection if the answer does not arrive.
    m_stream.socket().non_blocking(true, ignored);
    m_stream.socket().write_some(asio::buffer(text.str()), ignored);
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void CallerSession::end(Shortage shortage)
{
    beast::error_code ignored; // The socket may be closed already.
    if (closeIfIdle())
        return;
    if (shortage == Shortage::Descriptors) {
        m_isClosed = true;
        m_stream.socket().close(ignored);
        return;
    }
    if (m_call)
        return m_call->cancel(CancelReason::MemoryShort);
    m_isEvicted = true;
    asio::co_spawn(
        m_stream.get_executor(), stopReading(), [self = shared_from_this()](const std::exception_ptr& exception) {
            logTaskFailure(self->m_context.log, "ending a caller's connection", exception);
        });
}

// Until the refusal is written: a read that has just completed cannot be cancelled, and the next one begins at once.
asio::awaitable<void> CallerSession::stopReading()
{
    while (m_share->isLeaving() && m_stream.socket().is_open()) {
        beast::error_code ignored; // Nothing is pending then.
        m_stream.socket().cancel(ignored);
        co_await sleepFor(readCancelPeriod);
    }
}

asio::awaitable<void> CallerSession::run()
{
    bool keep = true;
    // Bytes may have been read just before the connection was closed as idle. Their request is not forwarded, because
    // its answer could not be delivered.
    while (keep && m_stream.socket().is_open() && co_await awaitFirstByte() && !m_isClosed) {
        m_isIdle = false;
        m_share->enter(ClientStage::Receiving);
        auto call = co_await readRequest();
        keep = call.has_value();
        if (keep)
            keep = co_await forward(std::move(*call));
        keep = keep && !m_share->isLeaving();
        m_share->hold(HeldPart::Unread, 0);
        m_isIdle = keep && m_buffer.size() == 0;
        if (m_isIdle)
            m_share->enter(ClientStage::Idle);
    }
    if (m_stream.socket().is_open())
        co_await closeAfterLinger();
    m_share->releaseDescriptor();
}

asio::awaitable<bool> CallerSession::awaitFirstByte()
{
    if (m_buffer.size() > 0)
        co_return true;
    if (m_buffer.capacity() > maxIdleBufferBytes)
        m_buffer.shrink_to_fit();
    m_stream.expires_after(limits().idleTimeout);
    auto bytes = m_buffer.prepare(firstReadBytes);
    m_share->hold(HeldPart::Buffer, m_buffer.capacity());
    auto [error, count] = co_await m_stream.async_read_some(bytes, asTuple);
    m_buffer.commit(count);
    co_return !error && count > 0;
}

// The head is decoded before the body is read, as trailers must not take the place of its fields.
asio::awaitable<std::variant<Call, beast::error_code, Error>> CallerSession::receive()
{
    RequestReader reader(m_stream, m_buffer, *m_share, requestLimits());
    beast::error_code error = co_await reader.readHead();
    if (error)
        co_return error;
    auto decoded = m_context.platform.call(reader.head());
    if (auto* problem = std::get_if<Error>(&decoded))
        co_return std::move(*problem);
    error = co_await reader.readBody();
    if (error)
        co_return error;
    m_keepsAlive = reader.keepAlive();
    auto& call = std::get<Call>(decoded);
    call.body = reader.takeBody();
    co_return std::move(call);
}

asio::awaitable<std::optional<Call>> CallerSession::readRequest()
{
    auto received = co_await receive();
    // Its last bytes may have come just before it was told to end.
    if (m_share->isLeaving())
        received = beast::error_code(asio::error::no_buffer_space);
    if (auto* call = std::get_if<Call>(&received))
        co_return std::move(*call);
    m_share->hold(HeldPart::Head, 0);
    m_share->hold(HeldPart::Body, 0);
    if (auto* problem = std::get_if<Error>(&received))
        co_await refuse(http::status::bad_request, problem->detail);
    else
        co_await refuseUnread(std::get<beast::error_code>(received));
    co_return std::nullopt;
}

asio::awaitable<void> CallerSession::refuseUnread(const beast::error_code& error)
{
    bool isShortOfMemory = m_isEvicted || error == asio::error::no_buffer_space;
    bool isCallerGone = error == http::error::end_of_stream || error == asio::error::connection_reset || m_isClosed;
    if (isShortOfMemory && !m_isClosed)
        co_await refuse(http::status::service_unavailable, "memory is short", retryAfterEviction);
    else if (error == http::error::header_limit)
        co_await refuse(http::status::request_header_fields_too_large, "the request head is too large");
    else if (error == http::error::buffer_overflow)
        co_await refuse(
            http::status::request_header_fields_too_large, "a chunk extension or the trailers are too large");
    else if (error == http::error::body_limit)
        co_await refuse(http::status::payload_too_large, "the request body is too large");
    else if (error == beast::error::timeout)
        co_await refuse(http::status::request_timeout, "timed out while reading the request");
    else if (!isCallerGone)
        co_await refuse(http::status::bad_request, error.message());
}

asio::awaitable<bool> CallerSession::forward(Call call)
{
    m_share->enter(ClientStage::Running);
    m_share->hold(HeldPart::Body, call.body.capacity());
    CallForwarder forwarder(m_context, m_stream, *m_share, std::move(call), m_keepsAlive);
    m_call = forwarder.active();
    asio::co_spawn(m_stream.get_executor(), watchForDisconnect(m_call),
        [self = shared_from_this()](const std::exception_ptr& exception) {
            logTaskFailure(self->m_context.log, "watching a caller's connection", exception);
        });
    bool keep = false;
    std::string problem;
    try {
        keep = co_await forwarder.run();
    } catch (const std::exception& exception) {
        problem = exception.what();
    }
    if (!problem.empty())
        co_await forwarder.respondAfterException(problem);
    m_call->isDone = true;
    m_call.reset();
    for (HeldPart part : { HeldPart::Head, HeldPart::Body, HeldPart::SentCopy, HeldPart::Answer })
        m_share->hold(part, 0);
    beast::error_code ignored; // Ends watchForDisconnect(); the connection may already be closed.
    m_stream.socket().cancel(ignored);
    co_return keep;
}

// When the caller closes its connection, the call is cancelled, which also ends the work at the backend server.
asio::awaitable<void> CallerSession::watchForDisconnect(std::shared_ptr<ActiveCall> call)
{
    while (!call->isDone) {
        auto [error] = co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, asTuple);
        if (error || call->isDone)
            co_return;
        if (hasPeerClosed(m_stream.socket())) {
            call->cancel(CancelReason::CallerDisconnected);
            co_return;
        }
        countUnreadBytes();
        co_await sleepFor(disconnectPollPeriod);
    }
}

// The next requests of a caller that does not wait for answers stay in the system's buffer of the connection.
void CallerSession::countUnreadBytes()
{
    beast::error_code ignored; // Zero bytes then.
    m_share->hold(HeldPart::Unread, m_stream.socket().available(ignored));
}

asio::awaitable<void> CallerSession::refuse(
    http::status status, std::string_view reason, std::optional<Milliseconds> retryAfter)
{
    m_share->enter(ClientStage::Closing); // From here on, nothing is read that would have to be cancelled.
    m_context.metrics.count(fmt::format("requests_not_read_total{{status=\"{}\"}}", static_cast<unsigned>(status)));
    m_context.log.writeRoutine("bad_request", { { "status", static_cast<unsigned>(status) }, { "reason", reason } });
    HttpResponse response(status, 11);
    if (retryAfter)
        m_context.platform.setRetryAfter(response, *retryAfter);
    response.keep_alive(false);
    response.set(http::field::content_type, "application/json");
    response.body() = nlohmann::json { { "error", reason } }.dump();
    response.prepare_payload();
    m_stream.expires_after(lingerTimeout);
    co_await http::async_write(m_stream, response, asTuple);
}

asio::awaitable<void> CallerSession::closeAfterLinger()
{
    m_share->enter(ClientStage::Closing);
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_share->hold(HeldPart::Buffer, 0);
    beast::error_code ignored; // The connection is closed below in any case.
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(lingerTimeout);
    size_t dropped = 0;
    std::array<char, firstReadBytes> bytes {};
    while (dropped < maxLingerBytes) {
        auto [error, count] = co_await m_stream.async_read_some(asio::buffer(bytes), asTuple);
        if (error || count == 0)
            break;
        dropped += count;
    }
    m_stream.socket().close(ignored);
}

} // namespace Kumquatpick
