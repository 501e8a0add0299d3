#pragma once

#include "gateway/http.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Kumquatpick {

// Why a call ends before its answer is whole.
enum class CallEnd : uint8_t {
    None,
    CallerLeft,
    TimeUp,
    Stopping, // The node's time to stop is over.
};

// A call in progress as those see it who may have to cut it off: the watch on the caller, the clock, and what watches
// the replicas. Cutting closes the connection to the backend server, which ends its work there.
struct ActiveCall {
    ActiveCall(asio::ip::tcp::socket& callerSocket, const asio::any_io_executor& executor)
        : caller(callerSocket)
        , timer(executor)
    {
    }

    asio::ip::tcp::socket& caller;
    asio::steady_timer timer;
    std::string hostId; // Of the backend server that has the call now; empty if none.
    beast::tcp_stream* backend = nullptr;
    CallEnd end = CallEnd::None;
    bool isStalled = false; // The present send was cut because its replica stands still.
    bool answerBegun = false; // The caller has the head of an answer.
    bool isDone = false;

    void cut(CallEnd why)
    {
        if (isDone || end != CallEnd::None)
            return;
        end = why;
        closeBackend();
        // An answer that has begun can only be ended by its connection.
        if (answerBegun || why == CallEnd::CallerLeft) {
            beast::error_code ignored; // Closing a broken socket has nothing to report.
            caller.close(ignored);
        }
    }

    void cutStalledSend()
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
