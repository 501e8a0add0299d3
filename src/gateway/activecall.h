#pragma once

#include "base/clock.h"
#include "gateway/http.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Kumquatpick {

// Why a call is cancelled before its response is complete.
enum class CancelReason : uint8_t {
    None,
    CallerDisconnected,
    DeadlineExceeded,
    NodeShutdown, // The shutdown grace period of the node is over.
    MemoryShort, // Its connection holds more than others, for longer.
};

// For logs.
constexpr const char* name(CancelReason reason)
{
    constexpr const char* names[] = { "none", "caller_left", "deadline", "shutdown", "memory" };
    return names[static_cast<size_t>(reason)];
}

// Why a send was given up although its server had neither answered nor closed the connection.
enum class LeaveReason : uint8_t {
    None,
    Stalled, // The streams of its replica have stopped.
    Slow, // The answer takes longer than is usual for its route.
    CutOff, // This node is cut off from the servers of its service.
    Retiring, // Its replica gives way to another model as soon as its requests have ended.
};

// For logs.
constexpr const char* name(LeaveReason reason)
{
    constexpr const char* names[] = { "none", "stalled", "slow", "cut_off", "retiring" };
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
    std::string service; // Of the current send; empty if none.
    MonotonicTime heardAt {}; // Start of the current send, or the latest data from its server.
    beast::tcp_stream* backend = nullptr;
    CancelReason cancelReason = CancelReason::None;
    LeaveReason left = LeaveReason::None; // Of the current send.
    std::optional<MonotonicTime> slowAt; // When the current send counts as slow; nothing if it never does.
    // Reserves a place at another server for the call; false if there is none or the call may not run there.
    std::function<bool()> reserveOtherServer;
    bool responseStarted = false; // The response head was sent to the caller.
    bool hasWholeAnswer = false; // What is sent to the caller is complete; no server works on the call any more.
    bool isDone = false;

    void cancel(CancelReason reason)
    {
        if (isDone || cancelReason != CancelReason::None)
            return;
        // The caller may still take it before the process ends.
        if (hasWholeAnswer && reason == CancelReason::NodeShutdown)
            return;
        cancelReason = reason;
        closeBackend();
        // Once the response has started, only closing the connection can end it early.
        if (responseStarted || reason == CancelReason::CallerDisconnected) {
            beast::error_code ignored; // An error while closing a broken socket needs no handling.
            caller.close(ignored);
        }
    }

    // Gives the current send up if the call can go on at another server. Returns whether it did.
    bool leaveServer(LeaveReason reason)
    {
        bool isSending = !isDone && backend && cancelReason == CancelReason::None && left == LeaveReason::None;
        if (!isSending || !reserveOtherServer())
            return false;
        left = reason;
        closeBackend();
        return true;
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
