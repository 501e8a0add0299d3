#include "gateway/requestreader.h"

#include "gateway/asio.h"
#include "gateway/clientconnections.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <iterator>

namespace Kumquatpick {

namespace {

    // Beyond the longest head, so that a longer one is recognized as such.
    constexpr size_t bufferMargin = 4096;
    // A field of a head is kept by the parser, in the decoded call and in the request that is sent to a server.
    constexpr size_t bytesPerField = 320;
    constexpr size_t copiesOfHead = 3;
    constexpr size_t minBodyGrowth = 4096;
    // A body of an announced length up to this one is given all of its memory at once.
    constexpr uint64_t maxBodyAtOnce = 64 * 1024;

    // With more than one length, two parsers could disagree on where the body ends and treat part of it as another
    // request (request smuggling).
    bool hasSingleBodyLength(const RequestHead& head)
    {
        auto [first, last] = head.equal_range(http::field::content_length);
        auto lengths = std::distance(first, last);
        bool isChunked = head.find(http::field::transfer_encoding) != head.end();
        return lengths + (isChunked ? 1 : 0) <= 1;
    }

}

RequestReader::RequestReader(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, ClientShare& share, const RequestLimits& limits)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_share(share)
    , m_limits(limits)
    , m_watch(std::make_shared<Watch>(stream))
{
    m_parser.header_limit(limits.headerBytes);
    m_parser.body_limit(limits.bodyBytes);
    m_buffer.max_size(std::max(m_buffer.size(), limits.headerBytes + bufferMargin));
    m_stream.expires_never();
}

RequestReader::~RequestReader()
{
    m_watch->stream = nullptr;
    m_watch->stop();
}

void RequestReader::Watch::start(Milliseconds period, uint64_t bytesPerPeriod)
{
    timer.expires_after(period);
    timer.async_wait(
        [watch = shared_from_this(), period, bytesPerPeriod, before = received](const beast::error_code& error) {
            if (error || !watch->stream)
                return;
            if (bytesPerPeriod > 0 && watch->received - before >= bytesPerPeriod)
                return watch->start(period, bytesPerPeriod);
            watch->isLate = true;
            beast::error_code ignored; // If this fails, no operation is pending.
            watch->stream->socket().cancel(ignored);
        });
}

beast::error_code RequestReader::resultOf(const beast::error_code& error) const
{
    return m_watch->isLate ? beast::error_code(beast::error::timeout) : error;
}

asio::awaitable<beast::error_code> RequestReader::readHead()
{
    m_watch->start(m_limits.headerTimeout, 0);
    auto [error, read] = co_await http::async_read_header(m_stream, m_buffer, m_parser, asTuple);
    m_watch->stop();
    if (error)
        co_return resultOf(error);
    auto fields = static_cast<size_t>(std::distance(head().begin(), head().end()));
    bool hasRoom = co_await m_share.reserve(HeldPart::Head, fields * bytesPerField + copiesOfHead * read);
    if (hasRoom)
        hasRoom = co_await m_share.reserve(HeldPart::Buffer, m_buffer.capacity());
    if (!hasRoom)
        co_return asio::error::no_buffer_space;
    co_return hasSingleBodyLength(head()) ? beast::error_code() : http::error::bad_content_length;
}

// Makes room for further bytes, all of which are in the parser's buffer at most.
asio::awaitable<beast::error_code> RequestReader::growBody()
{
    auto announced = m_parser.content_length();
    uint64_t most = announced ? *announced : m_limits.bodyBytes;
    bool isShort = announced && *announced <= maxBodyAtOnce;
    size_t size = isShort ? *announced : std::min<uint64_t>(most, std::max(minBodyGrowth, 2 * m_body.size()));
    // A full body is followed by the end of its chunks, for which the parser still wants some space.
    size = std::max(size, m_received + 1);
    bool hasRoom
        = co_await m_share.reserve(HeldPart::Body, size + m_body.size()); // Both exist while the bytes are copied.
    if (!hasRoom)
        co_return asio::error::no_buffer_space;
    std::string larger;
    larger.reserve(size);
    larger.assign(m_body, 0, m_received);
    larger.resize(size);
    m_body = std::move(larger);
    m_share.hold(HeldPart::Body, size);
    co_return beast::error_code();
}

asio::awaitable<beast::error_code> RequestReader::readBody()
{
    if (m_parser.is_done())
        co_return beast::error_code();
    m_parser.eager(true); // Else each chunk would be an operation of its own.
    auto perSecond = static_cast<double>(m_limits.bodyBytesPerSecond);
    m_watch->start(m_limits.bodyPeriod, static_cast<uint64_t>(perSecond * toSeconds(m_limits.bodyPeriod)));
    if (head()[http::field::expect] == "100-continue") {
        constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        auto [error, written] = co_await asio::async_write(m_stream, asio::buffer(continueResponse), asTuple);
        if (error)
            co_return resultOf(error);
    }
    while (!m_parser.is_done()) {
        if (m_share.isLeaving())
            co_return asio::error::no_buffer_space;
        if (m_received == m_body.size()) {
            beast::error_code problem = co_await growBody();
            if (problem)
                co_return problem;
        }
        auto& target = m_parser.get().body();
        target.data = m_body.data() + m_received;
        target.size = m_body.size() - m_received;
        auto [error, read] = co_await http::async_read_some(m_stream, m_buffer, m_parser, asTuple);
        m_received = m_body.size() - target.size;
        m_watch->received = m_received;
        if ((error && error != http::error::need_buffer) || m_watch->isLate)
            co_return resultOf(error);
        m_share.hold(HeldPart::Buffer, m_buffer.capacity());
    }
    m_watch->stop();
    co_return beast::error_code();
}

std::string RequestReader::takeBody()
{
    m_body.resize(m_received);
    return std::move(m_body);
}

} // namespace Kumquatpick
