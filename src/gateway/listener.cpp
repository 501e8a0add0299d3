#include "gateway/listener.h"

#include "gateway/asio.h"
#include "gateway/context.h"
#include "gateway/requestreader.h"
#include "gateway/task.h"

#include <boost/beast/http/write.hpp>

namespace Kumquatpick {

namespace {

    constexpr int backlog = 1024; // Connections that wait while the event loop is busy; the kernel may use less.
    constexpr Milliseconds acceptPause { 20 }; // Wait after running out of file descriptors until some are closed.
    constexpr Milliseconds requestTimeout { 15'000 }; // For its head, and for a peer to take its answer.
    constexpr uint32_t maxHeadBytes = 8 * 1024;

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

// One connection of another program; ends at the first request that breaks a limit.
class SimpleHttpServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(SimpleHttpServer& server, asio::ip::tcp::socket socket)
        : m_server(server)
        , m_stream(std::move(socket))
    {
    }

    void setShare(std::unique_ptr<ClientShare> share) { m_share = std::move(share); }
    void end()
    {
        beast::error_code ignored; // The socket may be closed already.
        m_stream.socket().close(ignored);
    }

    asio::awaitable<void> run()
    {
        for (bool keep = true; keep && m_stream.socket().is_open();) {
            keep = co_await serveRequest();
            m_share->enter(ClientStage::Idle);
        }
    }

private:
    // Returns whether the connection may be used for another request.
    asio::awaitable<bool> serveRequest()
    {
        const GatewaySettings& settings = m_server.m_context.settings;
        RequestReader reader(m_stream, m_buffer, *m_share,
            { maxHeadBytes, m_server.m_maxRequestBytes, requestTimeout, settings.bodyPeriod,
                settings.bodyBytesPerSecond });
        beast::error_code error = co_await reader.readHead();
        if (error)
            co_return false;
        HttpRequest request(reader.head());
        m_share->enter(ClientStage::Receiving);
        error = co_await reader.readBody();
        if (error)
            co_return false;
        request.body() = reader.takeBody();
        m_share->enter(ClientStage::Running);
        HttpResponse response = co_await m_server.m_answer(request);
        m_share->hold(HeldPart::Body, 0);
        bool hasRoom = co_await m_share->reserve(HeldPart::Answer, response.body().capacity());
        if (!hasRoom)
            co_return false;
        m_share->enter(ClientStage::Answering);
        response.keep_alive(reader.keepAlive());
        response.prepare_payload();
        m_stream.expires_after(requestTimeout);
        auto [writeError, written] = co_await http::async_write(m_stream, response, asTuple);
        m_share->hold(HeldPart::Answer, 0);
        m_share->hold(HeldPart::Head, 0);
        co_return !writeError && reader.keepAlive();
    }

    SimpleHttpServer& m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::unique_ptr<ClientShare> m_share;
};

SimpleHttpServer::SimpleHttpServer(
    GatewayContext& context, std::string name, ClientBudget::Limits limits, uint64_t maxRequestBytes, Answer answer)
    : m_context(context)
    , m_maxRequestBytes(maxRequestBytes)
    , m_answer(std::move(answer))
    , m_connections(context.io, std::move(name), limits, context.log, context.metrics)
    , m_listener(context.io, context.log, [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); })
{
}

void SimpleHttpServer::accept(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    auto share = m_connections.admit([weak = connection->weak_from_this()](Shortage) {
        if (auto open = weak.lock())
            open->end();
    });
    if (!share)
        return; // Closes it.
    connection->setShare(std::move(share));
    asio::co_spawn(m_context.io, connection->run(), [this, connection](const std::exception_ptr& exception) {
        logTaskFailure(m_context.log, "answering another program", exception);
    });
}

} // namespace Kumquatpick
