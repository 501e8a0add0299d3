#include "backend/httpexchange.h"

#include <algorithm>
#include <strings.h>

namespace Kumquatpick {

namespace {

    // A host that is up accepts within a round trip; a longer wait only holds a request back from another one.
    constexpr Milliseconds connectTimeout { 1000 };

}

bool isChunked(const httplib::Response& response)
{
    return ::strcasecmp(response.get_header_value("Transfer-Encoding").c_str(), "chunked") == 0;
}

HttpExchange::HttpExchange(const Address& address, MonotonicTime deadline, int cancelDescriptor)
    : httplib::ClientImpl(address.ip, address.port)
    , m_deadline(deadline)
    , m_cancelDescriptor(cancelDescriptor)
{
    set_tcp_nodelay(true);
    set_hostname_addr_map({ { address.ip, address.ip } }); // An IP number: nothing to look up.
    set_url_encode(false);
    set_decompress(false);
}

// The library takes a chunk that is not followed by a line end for the end of the body, also where the
// connection closed in the middle of that line end; only the closing blank line proves a chunked body whole.
ExchangeEnd HttpExchange::run(httplib::Request& request, httplib::Response& response)
{
    auto remaining = std::chrono::duration_cast<Milliseconds>(m_deadline - monotonicNow());
    if (remaining <= Milliseconds::zero())
        return ExchangeEnd::NotConnected;
    set_connection_timeout(std::min(remaining, connectTimeout));
    request.content_receiver = [this, receive = std::move(request.content_receiver)](
                                   const char* bytes, size_t size, uint64_t offset, uint64_t total) {
        m_stream->notePieceOfBody();
        return !receive || receive(bytes, size, offset, total);
    };
    httplib::Error error = httplib::Error::Success;
    bool isAnswered = send(request, response, error);
    if (!m_connected)
        return ExchangeEnd::NotConnected;
    if (error == httplib::Error::Canceled)
        return ExchangeEnd::Stopped;
    if (m_streamState == WatchedStream::State::TimedOut)
        return ExchangeEnd::TimedOut;
    if (m_streamState == WatchedStream::State::Cancelled)
        return ExchangeEnd::Cancelled;
    if (m_streamState == WatchedStream::State::Excessive)
        return ExchangeEnd::Endless;
    if (m_streamState == WatchedStream::State::Malformed)
        return ExchangeEnd::Malformed;
    bool hasBody = request.method != "HEAD" && response.status != 204;
    bool isCutShort = hasBody && isChunked(response) && !m_endedWithBlankLine;
    return isAnswered && !isCutShort ? ExchangeEnd::Whole : ExchangeEnd::BrokenOff;
}

Error HttpExchange::error(ExchangeEnd end, Step step, std::string peer) const
{
    switch (end) {
    case ExchangeEnd::NotConnected:
        return { ErrorCode::Unreachable, step, std::move(peer), "no connection could be made" };
    case ExchangeEnd::TimedOut:
        return { ErrorCode::Timeout, step, std::move(peer), "no whole answer in time" };
    case ExchangeEnd::Cancelled:
        return { ErrorCode::ShuttingDown, step, std::move(peer), "cancelled" };
    case ExchangeEnd::Stopped:
        return { ErrorCode::Malformed, step, std::move(peer), "the answer is too large" };
    case ExchangeEnd::Endless:
        return { ErrorCode::BrokenOff, step, std::move(peer), "the answer has a head or a line without end" };
    case ExchangeEnd::Malformed: {
        bool hasNoEnd = *m_headProblem == HeadProblem::BodyLength;
        auto code = hasNoEnd ? ErrorCode::Malformed : ErrorCode::BrokenOff;
        return { code, step, std::move(peer), std::string(describe(*m_headProblem)) };
    }
    case ExchangeEnd::Whole:
    case ExchangeEnd::BrokenOff:
        break;
    }
    return { ErrorCode::BrokenOff, step, std::move(peer), "the connection ended before the answer did" };
}

bool HttpExchange::process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> exchange)
{
    m_connected = true;
    WatchedStream stream(socket.sock, m_deadline, m_cancelDescriptor);
    m_stream = &stream;
    bool isDone = exchange(stream);
    m_stream = nullptr;
    m_streamState = stream.state();
    m_headProblem = stream.headProblem();
    m_endedWithBlankLine = stream.endedWithBlankLine();
    return isDone;
}

} // namespace Kumquatpick
