#pragma once

#include "base/error.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <variant>

namespace Kumquatpick {

// An RPC call that a caller's thread passes to the event loop. Exactly one of two events takes effect: the loop starts
// sending, or the caller times out. Unreachable therefore always means that nothing was sent.
template <typename Value> class PendingCall {
public:
    using Outcome = std::variant<Value, Error>;

    // The event loop's side of the call. Its destructor settles the call, so that no caller waits after a shutdown.
    class Sender {
    public:
        explicit Sender(std::shared_ptr<PendingCall> call)
            : m_call(std::move(call))
        {
        }

        ~Sender() { settle(Error { ErrorCode::ShuttingDown, Step::Stop, {}, "transport is shutting down" }); }

        Sender(const Sender&) = delete;
        Sender& operator=(const Sender&) = delete;

        bool beginSending() { return m_call->advance(Stage::Sent); }
        bool sent() const { return m_call->m_stage == Stage::Sent; }

        // Only the first outcome takes effect.
        void settle(Outcome outcome)
        {
            if (!m_settled)
                m_call->m_outcome.set_value(std::move(outcome));
            m_settled = true;
        }

        void expire(const Error& where) { settle(m_call->expired(where)); }

    private:
        std::shared_ptr<PendingCall> m_call;
        bool m_settled = false;
    };

    // Waits for the outcome. On a time-out the error is Timeout if the request may have been sent, else Unreachable.
    Outcome wait(std::chrono::milliseconds timeout, const Error& where)
    {
        auto future = m_outcome.get_future();
        if (future.wait_for(timeout) == std::future_status::ready)
            return future.get();
        return expired(where);
    }

private:
    enum class Stage : uint8_t {
        Queued,
        Sent,
        Abandoned,
    };

    Error expired(const Error& where)
    {
        advance(Stage::Abandoned);
        bool wasSent = m_stage == Stage::Sent;
        Error error = where;
        error.code = wasSent ? ErrorCode::Timeout : ErrorCode::Unreachable;
        error.detail = wasSent ? "no answer from peer within the time-out" : "no connection within the time-out";
        return error;
    }

    bool advance(Stage to)
    {
        Stage expected = Stage::Queued;
        return m_stage.compare_exchange_strong(expected, to);
    }

    std::atomic<Stage> m_stage = Stage::Queued;
    std::promise<Outcome> m_outcome;
};

} // namespace Kumquatpick
