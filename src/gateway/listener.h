#pragma once

#include "base/address.h"
#include "gateway/http.h"
#include "gateway/platform.h"

#include <functional>
#include <memory>

namespace Kumquatpick {

class EventLog;

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

    SimpleHttpServer(asio::io_context&, EventLog&, Answer);
    Settled<uint16_t> start(const Address& address) { return m_listener.start(address); }

private:
    asio::awaitable<void> serve(asio::ip::tcp::socket);

    asio::io_context& m_io;
    EventLog& m_log;
    Answer m_answer;
    GatewayListener m_listener;
};

} // namespace Kumquatpick
