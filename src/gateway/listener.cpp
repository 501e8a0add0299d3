#include "gateway/listener.h"

#include "gateway/asio.h"
#include "gateway/task.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Kumquatpick {

namespace {

    constexpr int backlog = 1024; // Connections that wait while the event loop is busy; the kernel may use less.
    constexpr Milliseconds acceptPause { 20 }; // Wait after running out of file descriptors until some are closed.
    constexpr Milliseconds requestTimeout { 15'000 };
    constexpr uint64_t maxRequestBytes = 16 << 20; // A peer may send a complete configuration.

}

GatewayListener::GatewayListener(asio::io_context& io, EventLog& log, Accept accept)
    : m_io(io)
    , m_log(log)
    , m_acceptor(io)
    , m_accept(std::move(accept))
{
}

Settled<uint16_t> GatewayListener::start(const Address& address)
{
    beast::error_code error;
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(backlog, error);
    if (error)
        return Error { ErrorCode::InvalidArgument, Step::Settings, address.toString(), error.message() };
    asio::co_spawn(m_io, run(), loggingFailure(m_log, "accepting connections"));
    return m_acceptor.local_endpoint().port();
}

void GatewayListener::stop()
{
    beast::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> GatewayListener::run()
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (!error)
            m_accept(std::move(socket));
        else if (m_acceptor.is_open())
            co_await sleepFor(acceptPause);
    }
}

SimpleHttpServer::SimpleHttpServer(asio::io_context& io, EventLog& log, Answer answer)
    : m_io(io)
    , m_log(log)
    , m_answer(std::move(answer))
    , m_listener(io, log, [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(m_io, serve(std::move(socket)), loggingFailure(m_log, "answering another program"));
    })
{
}

asio::awaitable<void> SimpleHttpServer::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxRequestBytes);
        stream.expires_after(requestTimeout);
        auto [readError, read] = co_await http::async_read(stream, buffer, parser, asTuple);
        if (readError)
            co_return;
        bool keepAlive = parser.keep_alive();
        HttpResponse response = co_await m_answer(parser.get());
        response.keep_alive(keepAlive);
        response.prepare_payload();
        auto [writeError, written] = co_await http::async_write(stream, response, asTuple);
        if (writeError || !keepAlive)
            co_return;
    }
}

} // namespace Kumquatpick
