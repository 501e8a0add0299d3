#pragma once

#include "gateway/http.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Kumquatpick {

// Why a call is cancelled before its response is complete.
enum class CancelReason : uint8_t {
    None,
    CallerDisconnected,
    DeadlineExceeded,
    NodeShutdown, // The shutdown grace period of the node is over.
};

// For logs.
constexpr const char* name(CancelReason reason)
{
    constexpr const char* names[] = { "none", "caller_left", "deadline", "shutdown" };
    return names[static_cast<size_t>(reason)];
}

// The cancellation state of a call in progress, used by the watch on the caller's connection, the deadline timer and
// the detection of stalled replicas. Cancelling closes the connection to the backend server, which then stops its work
// on the call.
struct ActiveCall {
    ActiveCall(std::string callId, asio::ip::tcp::socket& callerSocket, const asio::any_io_executor& executor)
        : id(std::move(callId))
        , caller(callerSocket)
        , timer(executor)
    {
    }

    std::string id; // Of the request, as the caller chose it.
    asio::ip::tcp::socket& caller;
    asio::steady_timer timer;
    std::string hostId; // Backend server that currently handles the call; empty if none.
    beast::tcp_stream* backend = nullptr;
    CancelReason cancelReason = CancelReason::None;
    bool isStalled = false; // The current send was cancelled because its replica is stalled.
    bool responseStarted = false; // The response head was sent to the caller.
    bool isDone = false;

    void cancel(CancelReason reason)
    {
        if (isDone || cancelReason != CancelReason::None)
            return;
        cancelReason = reason;
        closeBackend();
        // Once the response has started, only closing the connection can end it early.
        if (responseStarted || reason == CancelReason::CallerDisconnected) {
            beast::error_code ignored; // An error while closing a broken socket needs no handling.
            caller.close(ignored);
        }
    }

    void cancelStalledSend()
    {
        if (isDone || !backend)
            return;
        isStalled = true;
        closeBackend();
    }

private:
    void closeBackend()
    {
        if (!backend)
            return;
        beast::error_code ignored;
        backend->socket().close(ignored);
    }
};

} // namespace Kumquatpick
