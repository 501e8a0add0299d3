#pragma once

#include "gateway/context.h"
#include "gateway/http.h"

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>

namespace Kumquatpick {

// One caller's connection: reads requests within the configured limits and forwards them one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(GatewayContext&, asio::ip::tcp::socket);

    asio::awaitable<void> run();
    // Closes the connection if no part of a request was read, so that the caller can safely repeat the request it was
    // about to send. Returns false if the session is busy with a request or its answer.
    bool closeIfIdle();

private:
    using RequestParser = http::request_parser<http::string_body>;

    asio::awaitable<bool> awaitFirstByte();
    asio::awaitable<bool> readRequest(RequestParser&);
    asio::awaitable<beast::error_code> readHeadAndBody(RequestParser&);
    asio::awaitable<bool> forward(RequestParser&);
    asio::awaitable<void> watchForDisconnect(std::shared_ptr<ActiveCall>);
    asio::awaitable<void> refuse(http::status, std::string_view reason);
    asio::awaitable<void> closeAfterLinger();
    const CallerLimits& limits() const;

    GatewayContext& m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isIdle = true;
    bool m_isClosed = false; // By closeIfIdle().
};

} // namespace Kumquatpick
