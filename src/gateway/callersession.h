#pragma once

#include "gateway/clientconnections.h"
#include "gateway/context.h"
#include "gateway/http.h"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace Kumquatpick {

class ClientShare;
struct ActiveCall;
struct RequestLimits;

// One caller's connection: reads requests within the configured limits and forwards them one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(GatewayContext&, asio::ip::tcp::socket);
    ~CallerSession();

    // The share bounds what the connection may hold; to be set before run().
    void setShare(std::unique_ptr<ClientShare> share);
    asio::awaitable<void> run();
    // Closes the connection if no part of a request was read, so that the caller can safely repeat the request it was
    // about to send. Returns false if the session is busy with a request or its answer.
    bool closeIfIdle();
    // In place of run(): answers without reading a request, as far as that is possible without waiting, and closes.
    void refuseAtOnce();
    // Ends the connection as soon as possible, to make room for others.
    void end(Shortage);

private:
    asio::awaitable<bool> awaitFirstByte();
    // The next request; nothing if the connection has to be closed.
    asio::awaitable<std::optional<Call>> readRequest();
    asio::awaitable<std::variant<Call, beast::error_code, Error>> receive();
    asio::awaitable<bool> forward(Call);
    asio::awaitable<void> watchForDisconnect(std::shared_ptr<ActiveCall>);
    void countUnreadBytes();
    asio::awaitable<void> stopReading();
    asio::awaitable<void> refuseUnread(const beast::error_code&);
    asio::awaitable<void> refuse(http::status, std::string_view reason, std::optional<Milliseconds> retryAfter = {});
    asio::awaitable<void> closeAfterLinger();
    RequestLimits requestLimits() const;
    const CallerLimits& limits() const;

    GatewayContext& m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::unique_ptr<ClientShare> m_share;
    std::shared_ptr<ActiveCall> m_call; // While a request is forwarded.
    bool m_keepsAlive = false; // As the current request asks for.
    bool m_isIdle = true;
    bool m_isClosed = false; // Although the caller did not close it.
    bool m_isEvicted = false; // Memory was short while a request arrived.
};

} // namespace Kumquatpick
