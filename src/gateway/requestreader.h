#pragma once

#include "base/clock.h"
#include "gateway/http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>

namespace Kumquatpick {

class ClientShare;

// What one request may take of its reader.
struct RequestLimits {
    uint32_t headerBytes = 16 * 1024; // Also for the extension of a chunk, and for the trailers.
    uint64_t bodyBytes = 4 * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds bodyPeriod { 10'000 }; // In each of these, a body that is not complete has to grow at its lowest rate.
    uint64_t bodyBytesPerSecond = 1024;
};

// Reads one request of a client. What it holds for the request is counted in the connection's share, and memory for a
// body is taken as the body arrives, whatever length was announced.
class RequestReader {
public:
    // The stream has no timeout while requests are read, as one would close it before the client is told the reason.
    RequestReader(beast::tcp_stream&, beast::flat_buffer&, ClientShare&, const RequestLimits&);
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    // Fail with timeout, header_limit, body_limit, buffer_overflow (a chunk extension or the trailers are too long),
    // no_buffer_space (the connection has to end, as memory is short), or the error of the connection or the parser.
    asio::awaitable<beast::error_code> readHead();
    asio::awaitable<beast::error_code> readBody();

    // Without the trailers until the body was read, which the parser adds to the fields.
    const RequestHead& head() const { return m_parser.get(); }
    bool keepAlive() const { return m_parser.keep_alive(); }
    std::string takeBody();

private:
    // Ends reads that take too long. Shared with the handler of its timer, which may run after the reader is gone.
    struct Watch : std::enable_shared_from_this<Watch> {
        explicit Watch(beast::tcp_stream& watchedStream)
            : stream(&watchedStream)
            , timer(watchedStream.get_executor())
        {
        }

        // Allows another period each time that at least so many bytes were received in one.
        void start(Milliseconds period, uint64_t bytesPerPeriod);
        void stop() { timer.cancel(); }

        beast::tcp_stream* stream; // nullptr once the reader is gone.
        asio::steady_timer timer;
        uint64_t received = 0;
        bool isLate = false;
    };

    asio::awaitable<beast::error_code> growBody();
    beast::error_code resultOf(const beast::error_code&) const;

    beast::tcp_stream& m_stream;
    beast::flat_buffer& m_buffer;
    ClientShare& m_share;
    const RequestLimits m_limits;
    http::request_parser<http::buffer_body> m_parser;
    std::shared_ptr<Watch> m_watch;
    std::string m_body; // Its size is the memory taken for it while it is being read.
    size_t m_received = 0; // Bytes of the body.
};

} // namespace Kumquatpick
