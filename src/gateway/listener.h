#pragma once

#include "base/address.h"
#include "gateway/clientconnections.h"
#include "gateway/http.h"
#include "gateway/platform.h"

#include <functional>
#include <memory>
#include <string>

namespace Kumquatpick {

class EventLog;
struct GatewayContext;

// Accepts connections at one address and passes them to a handler.
class GatewayListener {
public:
    using Accept = std::function<void(asio::ip::tcp::socket)>;

    GatewayListener(asio::io_context&, EventLog&, Accept);

    // Fails with InvalidArgument if the address cannot be bound.
    Settled<uint16_t> start(const Address&);
    void stop();

private:
    asio::awaitable<void> run();

    asio::io_context& m_io;
    EventLog& m_log;
    asio::ip::tcp::acceptor m_acceptor;
    Accept m_accept;
};

// Answers short HTTP requests of other programs.
class SimpleHttpServer {
public:
    using Answer = std::function<asio::awaitable<HttpResponse>(const HttpRequest&)>;

    // The name is for logs and metrics.
    SimpleHttpServer(GatewayContext&, std::string name, ClientBudget::Limits, uint64_t maxRequestBytes, Answer);
    Settled<uint16_t> start(const Address& address) { return m_listener.start(address); }
    void publishMetrics() const { m_connections.publishMetrics(); }

private:
    class Connection;

    void accept(asio::ip::tcp::socket);

    GatewayContext& m_context;
    uint64_t m_maxRequestBytes;
    Answer m_answer;
    ClientConnections m_connections;
    GatewayListener m_listener;
};

} // namespace Kumquatpick
