#pragma once

#include "base/address.h"
#include "fleet/idlelimits.h"
#include "gateway/answerlimits.h"
#include "gateway/http.h"
#include "gateway/platform.h"
#include "gateway/responsereader.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

class AnswerBudget;
class AnswerShare;
enum class AnswerFault : uint8_t;

// An open connection to one peer, with the bytes that were read but not consumed yet.
struct PeerConnection {
    explicit PeerConnection(const asio::any_io_executor& executor)
        : stream(executor)
        , buffer(AnswerLimits::bufferBytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Address peer;
    std::string service; // Of a backend server that was sent a call on it; else empty, like the id.
    std::string hostId;
    MonotonicTime idleSince {};
    MonotonicTime seenOpenAt {};
    bool wasUsed = false;
};

// Connections kept open between uses. Not thread-safe: used from one event loop.
class ConnectionPool {
public:
    // Told of an answer that was given up for a fault of its own, and of the reason.
    using AnswerFaultHandler = std::function<void(AnswerFault, const Address&, Step, std::string_view reason)>;

    // The budget: of what the answers of all exchanges hold at once.
    ConnectionPool(asio::any_io_executor, size_t answerBytes);

    void setAnswerFaultHandler(AnswerFaultHandler handler) { m_answerFault = std::move(handler); }

    // Returns a connection that was idle for at most longestIdle, or else a new one. Fails with Unreachable, or with
    // Refused if nothing listens at the address; in both cases nothing was sent.
    asio::awaitable<Settled<std::unique_ptr<PeerConnection>>> acquire(
        Address, Milliseconds longestIdle, Milliseconds connectTimeout);
    // Whether a new connection is accepted; it is kept for later use.
    asio::awaitable<bool> accepts(Address, Milliseconds connectTimeout);
    // Returns a connection to the pool after a complete response.
    void release(std::unique_ptr<PeerConnection>);
    // Closes connections that are idle for long or were closed by the peer. How long peers keep them is learned here.
    void closeIdle(MonotonicTime now);
    // Backend servers of the service to which a connection is idle for at most longestIdle and probably still open.
    std::vector<std::string> hostsWithIdle(std::string_view service, Milliseconds longestIdle, MonotonicTime now) const;
    IdleLimits& idleLimits() { return m_idleLimits; }

    // Sends one request and reads the complete response. Fails with Unreachable or Refused if nothing was sent; after
    // other errors the peer may have acted on the request. A bodyTimeout starts after the head, so that large bodies
    // may take long while a silent peer is still detected early. A body beyond maxBytes fails with BrokenOff; so does
    // one for which memory is short, and an answer whose head breaks the protocol.
    asio::awaitable<Settled<HttpResponse>> exchange(Address, HttpRequest, Milliseconds timeout, Step,
        Milliseconds bodyTimeout = {}, uint64_t maxBytes = AnswerLimits::reportBytes);

    uint64_t opened() const { return m_opened; }

private:
    // Returns what ended the reading, if not the end of the answer.
    asio::awaitable<beast::error_code> readAnswer(
        PeerConnection&, ResponseParser&, AnswerShare&, Milliseconds bodyTimeout, std::string& body);
    Error readFailure(const Address&, Step, const beast::error_code&) const;

    std::unique_ptr<PeerConnection> takeIdle(const Address&, Milliseconds longestIdle);
    asio::awaitable<Settled<std::unique_ptr<PeerConnection>>> open(Address, Milliseconds connectTimeout);

    bool isStillOpen(PeerConnection&, MonotonicTime now);

    asio::any_io_executor m_executor;
    std::map<Address, std::deque<std::unique_ptr<PeerConnection>>> m_idle;
    IdleLimits m_idleLimits;
    std::shared_ptr<AnswerBudget> m_answers; // Shared with the exchanges, whose coroutines may outlive this object.
    AnswerFaultHandler m_answerFault;
    uint64_t m_opened = 0;
};

} // namespace Kumquatpick
