#pragma once

#include "base/address.h"
#include "gateway/http.h"
#include "gateway/platform.h"

#include <deque>
#include <map>
#include <memory>

namespace Kumquatpick {

// An open connection to one peer, with what was read of it and not used yet.
struct PeerConnection {
    explicit PeerConnection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Address peer;
    MonotonicTime idleSince {};
    bool wasUsed = false;
};

// Connections kept open between uses. Not thread-safe: used from one event loop.
class ConnectionPool {
public:
    explicit ConnectionPool(asio::any_io_executor);

    // One that lay idle for at most so long, or else a new one. Fails with Unreachable, or with
    // Refused where nothing listens: nothing was sent.
    asio::awaitable<Settled<std::unique_ptr<PeerConnection>>> acquire(
        Address, Milliseconds longestIdle, Milliseconds connectTimeout);
    // Takes back one that is between two answers.
    void release(std::unique_ptr<PeerConnection>);
    void closeIdle(MonotonicTime now);

    // One request and its whole answer. Fails with Unreachable or Refused if nothing was sent; else the peer may have
    // acted. A large body may take bodyTimeout longer than the head, so that a silent peer is seen soon all the same.
    asio::awaitable<Settled<HttpResponse>> exchange(
        Address, HttpRequest, Milliseconds timeout, Step, Milliseconds bodyTimeout = {});

    uint64_t opened() const { return m_opened; }

private:
    std::unique_ptr<PeerConnection> takeIdle(const Address&, Milliseconds longestIdle);

    asio::any_io_executor m_executor;
    std::map<Address, std::deque<std::unique_ptr<PeerConnection>>> m_idle;
    uint64_t m_opened = 0;
};

} // namespace Kumquatpick
