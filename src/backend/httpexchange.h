#pragma once

#include "backend/watchedstream.h"
#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include <httplib.h>

#include <functional>

namespace Kumquatpick {

enum class ExchangeEnd : uint8_t {
    Whole,
    NotConnected, // Nothing was sent.
    TimedOut,
    Cancelled,
    BrokenOff,
    Endless, // A head, or a line between pieces of the body, is longer than any that a sound peer sends.
    Malformed, // The head breaks the protocol.
    Stopped, // By one of the request's own handlers.
};

// One HTTP request and its answer on a connection of its own.
//
// A connection is never reused: one that the peer closed meanwhile fails with no telling whether the request
// was read, and a request that may run once only could not be told from one that was never sent. On loopback a
// connection of its own costs a call some 30 us of processor time and 60 to 80 us of waiting.
class HttpExchange final : private httplib::ClientImpl {
public:
    HttpExchange(const Address&, MonotonicTime deadline, int cancelDescriptor = -1);

    // Blocks until the end, at the latest the deadline. To be called once. Without a content receiver the body is
    // read and dropped.
    ExchangeEnd run(httplib::Request&, httplib::Response&);
    // What the end means to who made the request, unless that is Whole. An answer that breaks the protocol counts as
    // one that was broken off; one that does not tell where its body ends is Malformed.
    Error error(ExchangeEnd, Step, std::string peer) const;

private:
    bool process_socket(const Socket&, std::function<bool(httplib::Stream&)> exchange) override;

    MonotonicTime m_deadline;
    int m_cancelDescriptor;
    bool m_connected = false;
    bool m_endedWithBlankLine = false;
    WatchedStream* m_stream = nullptr; // During the exchange.
    WatchedStream::State m_streamState = WatchedStream::State::Open;
    std::optional<HeadProblem> m_headProblem;
};

// Whether the answer's header says "chunked".
bool isChunked(const httplib::Response&);

} // namespace Kumquatpick
