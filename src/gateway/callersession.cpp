#include "gateway/callersession.h"

#include "gateway/asio.h"
#include "gateway/callforwarder.h"
#include "gateway/task.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
#include <nlohmann/json.hpp>
#include <poll.h>

namespace Kumquatpick {

namespace {

    constexpr size_t firstReadBytes = 4096;
    // Beyond the longest head, so that a longer one is recognized as such. No chunk extension and no trailers may be
    // longer than the buffer, as the parser needs each as a whole.
    constexpr size_t bufferMargin = 4096;
    // Limit for reading a request body; the longest bodies take a fraction of a second.
    constexpr Milliseconds bodyTimeout { 10'000 };
    // Closing a connection with unread bytes resets it, and the caller might lose the response that was just sent.
    constexpr Milliseconds lingerTimeout { 500 };
    constexpr size_t maxLingerBytes = 256 * 1024;
    // While the next request lies unread in a connection, its end can only be detected by polling.
    constexpr Milliseconds disconnectPollPeriod { 50 };

    bool hasPeerClosed(asio::ip::tcp::socket& socket)
    {
        pollfd entry { socket.native_handle(), POLLRDHUP, 0 };
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    // With more than one length, two parsers could disagree on where the body ends and treat part of it as another
    // request (request smuggling).
    bool hasSingleBodyLength(const RequestHead& head)
    {
        auto [first, last] = head.equal_range(http::field::content_length);
        auto lengths = std::distance(first, last);
        bool isChunked = head.find(http::field::transfer_encoding) != head.end();
        return lengths + (isChunked ? 1 : 0) <= 1;
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

bool CallerSession::closeIfIdle()
{
    if (!m_isIdle)
        return false;
    m_isClosed = true;
    beast::error_code ignored;
    m_stream.socket().close(ignored);
    return true;
}

asio::awaitable<void> CallerSession::run()
{
    bool keep = true;
    // Bytes may have been read just before the connection was closed as idle. Their request is not forwarded, because
    // its answer could not be delivered.
    while (keep && m_stream.socket().is_open() && co_await awaitFirstByte() && !m_isClosed) {
        m_isIdle = false;
        RequestParser parser;
        parser.header_limit(limits().headerBytes);
        parser.body_limit(limits().bodyBytes);
        keep = co_await readRequest(parser) && co_await forward(parser);
        m_isIdle = keep && m_buffer.size() == 0;
    }
    if (m_stream.socket().is_open())
        co_await closeAfterLinger();
}

asio::awaitable<bool> CallerSession::awaitFirstByte()
{
    if (m_buffer.size() > 0)
        co_return true;
    m_stream.expires_after(limits().idleTimeout);
    auto [error, count] = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
    m_buffer.commit(count);
    co_return !error && count > 0;
}

// Reads the head and then the body, each with its own timeout. The timeout of a stream would close the connection
// before the caller could be sent the reason.
asio::awaitable<beast::error_code> CallerSession::readHeadAndBody(RequestParser& parser)
{
    m_stream.expires_never();
    m_buffer.max_size(std::max(m_buffer.size(), limits().headerBytes + bufferMargin));
    asio::steady_timer timer(m_stream.get_executor(), limits().headerTimeout);
    auto isLate = std::make_shared<bool>(false);
    auto cancelReads = [self = shared_from_this(), isLate](const beast::error_code& error) {
        if (error)
            return;
        *isLate = true;
        beast::error_code ignored; // If this fails, no read is pending.
        self->m_stream.socket().cancel(ignored);
    };
    timer.async_wait(cancelReads);
    auto [headError, headBytes] = co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
    if (headError)
        co_return *isLate ? beast::error_code(beast::error::timeout) : headError;
    if (parser.get()[http::field::expect] == "100-continue") {
        constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(continueResponse), asTuple);
    }
    if (!hasSingleBodyLength(parser.get()))
        co_return http::error::bad_content_length;
    if (parser.is_done())
        co_return beast::error_code();
    timer.expires_after(bodyTimeout);
    timer.async_wait(cancelReads);
    auto [bodyError, bodyBytes] = co_await http::async_read(m_stream, m_buffer, parser, asTuple);
    co_return *isLate ? beast::error_code(beast::error::timeout) : bodyError;
}

asio::awaitable<bool> CallerSession::readRequest(RequestParser& parser)
{
    beast::error_code error = co_await readHeadAndBody(parser);
    if (!error)
        co_return true;
    if (error == http::error::header_limit)
        co_await refuse(http::status::request_header_fields_too_large, "the request head is too large");
    else if (error == http::error::buffer_overflow)
        co_await refuse(
            http::status::request_header_fields_too_large, "a chunk extension or the trailers are too large");
    else if (error == http::error::body_limit)
        co_await refuse(http::status::payload_too_large, "the request body is too large");
    else if (error == beast::error::timeout)
        co_await refuse(http::status::request_timeout, "timed out while reading the request");
    else if (error != http::error::end_of_stream && error != asio::error::connection_reset)
        co_await refuse(http::status::bad_request, error.message());
    co_return false;
}

asio::awaitable<bool> CallerSession::forward(RequestParser& parser)
{
    bool keepAlive = parser.keep_alive();
    HttpRequest request = parser.release();
    auto decoded = m_context.platform.call(request);
    if (auto* error = std::get_if<Error>(&decoded)) {
        co_await refuse(http::status::bad_request, error->detail);
        co_return false;
    }
    Call call = std::move(std::get<Call>(decoded));
    call.body = std::move(request.body());

    CallForwarder forwarder(m_context, m_stream, std::move(call), keepAlive);
    asio::co_spawn(m_stream.get_executor(), watchForDisconnect(forwarder.active()),
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
    forwarder.active()->isDone = true;
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
        co_await sleepFor(disconnectPollPeriod);
    }
}

asio::awaitable<void> CallerSession::refuse(http::status status, std::string_view reason)
{
    m_context.log.write("bad_request", { { "status", static_cast<unsigned>(status) }, { "reason", reason } });
    HttpResponse response(status, 11);
    response.keep_alive(false);
    response.set(http::field::content_type, "application/json");
    response.body() = nlohmann::json { { "error", reason } }.dump();
    response.prepare_payload();
    m_stream.expires_after(lingerTimeout);
    co_await http::async_write(m_stream, response, asTuple);
}

asio::awaitable<void> CallerSession::closeAfterLinger()
{
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
