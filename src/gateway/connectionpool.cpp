#include "gateway/connectionpool.h"

#include "gateway/answerfault.h"
#include "gateway/answershare.h"
#include "gateway/asio.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

namespace Kumquatpick {

namespace {

    // Shorter than the idle timeouts that backend servers usually announce.
    constexpr Milliseconds maxIdleTime { 4000 };
    constexpr size_t maxIdlePerPeer = 24;
    constexpr Milliseconds controlMaxIdle { 3000 };
    constexpr size_t minBodyGrowth = 4096;

    // False if the connection was closed by the peer or holds bytes that belong to no request.
    bool isOpenAndEmpty(asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    Error unreachable(const Address& peer, const beast::error_code& error)
    {
        auto code = error == asio::error::connection_refused ? ErrorCode::Refused : ErrorCode::Unreachable;
        return { code, Step::Dispatch, peer.toString(), error.message() };
    }

}

ConnectionPool::ConnectionPool(asio::any_io_executor executor, size_t answerBytes)
    : m_executor(std::move(executor))
    , m_answers(std::make_shared<AnswerBudget>(answerBytes))
{
}

std::unique_ptr<PeerConnection> ConnectionPool::takeIdle(const Address& peer, Milliseconds longestIdle)
{
    auto found = m_idle.find(peer);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    MonotonicTime now = monotonicNow();
    while (!idle.empty()) {
        // The most recently used connection is the least likely to be closed. If it is idle for too long, all are; they
        // are kept for uses with a longer limit.
        if (now - idle.back()->idleSince > longestIdle)
            return nullptr;
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isOpenAndEmpty(connection->stream.socket()))
            return connection;
    }
    return nullptr;
}

asio::awaitable<Settled<std::unique_ptr<PeerConnection>>> ConnectionPool::acquire(
    Address peer, Milliseconds longestIdle, Milliseconds connectTimeout)
{
    if (auto kept = takeIdle(peer, longestIdle))
        co_return std::move(kept);
    co_return co_await open(std::move(peer), connectTimeout);
}

asio::awaitable<bool> ConnectionPool::accepts(Address peer, Milliseconds connectTimeout)
{
    auto opened = co_await open(std::move(peer), connectTimeout);
    auto* connection = std::get_if<std::unique_ptr<PeerConnection>>(&opened);
    if (!connection)
        co_return false; // The caller logs it; why the connection failed is of no use to it.
    release(std::move(*connection));
    co_return true;
}

asio::awaitable<Settled<std::unique_ptr<PeerConnection>>> ConnectionPool::open(
    Address peer, Milliseconds connectTimeout)
{
    auto connection = std::make_unique<PeerConnection>(m_executor);
    connection->peer = peer;
    beast::error_code problem;
    auto ip = asio::ip::make_address(peer.ip, problem);
    if (problem)
        co_return unreachable(peer, problem);
    ++m_opened;
    connection->stream.expires_after(connectTimeout);
    auto [error] = co_await connection->stream.async_connect(asio::ip::tcp::endpoint(ip, peer.port), asTuple);
    if (error)
        co_return unreachable(peer, error);
    connection->stream.expires_never();
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), problem);
    co_return std::move(connection);
}

void ConnectionPool::release(std::unique_ptr<PeerConnection> connection)
{
    if (connection->buffer.size() > 0 || !connection->stream.socket().is_open())
        return;
    connection->stream.expires_never();
    connection->idleSince = monotonicNow();
    connection->seenOpenAt = connection->idleSince;
    connection->wasUsed = true;
    auto& idle = m_idle[connection->peer];
    if (idle.size() < maxIdlePerPeer)
        idle.push_back(std::move(connection));
}

void ConnectionPool::closeIdle(MonotonicTime now)
{
    for (auto& [peer, idle] : m_idle) {
        while (!idle.empty() && (now - idle.front()->idleSince > maxIdleTime || !isStillOpen(*idle.front(), now)))
            idle.pop_front(); // The longest idle one, so it is closed first.
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

bool ConnectionPool::isStillOpen(PeerConnection& connection, MonotonicTime now)
{
    bool isOpen = isOpenAndEmpty(connection.stream.socket());
    if (isOpen)
        connection.seenOpenAt = now;
    if (connection.service.empty())
        return isOpen;
    auto idle = std::chrono::floor<Milliseconds>(connection.seenOpenAt - connection.idleSince);
    if (isOpen)
        m_idleLimits.seenOpen(connection.service, idle);
    else
        m_idleLimits.seenClosed(connection.service, idle);
    return isOpen;
}

std::vector<std::string> ConnectionPool::hostsWithIdle(
    std::string_view service, Milliseconds longestIdle, MonotonicTime now) const
{
    Milliseconds longest = std::min(longestIdle, m_idleLimits.usable(service).value_or(longestIdle));
    std::vector<std::string> result;
    for (const auto& [peer, idle] : m_idle) {
        if (idle.empty())
            continue;
        const PeerConnection& latest = *idle.back();
        if (latest.service == service && now - latest.idleSince <= longest)
            result.push_back(latest.hostId);
    }
    return result;
}

asio::awaitable<beast::error_code> ConnectionPool::readAnswer(
    PeerConnection& connection, ResponseParser& parser, AnswerShare& share, Milliseconds bodyTimeout, std::string& body)
{
    if (auto headError = co_await readResponseHead(connection, parser))
        co_return headError;
    if (bodyTimeout.count() > 0)
        connection.stream.expires_after(bodyTimeout);
    parser.eager(true); // Else each chunk would be an operation of its own.
    size_t received = 0;
    while (!parser.is_done()) {
        if (received == body.size()) {
            // The memory is taken as the body arrives, whatever length was announced; both strings exist while the
            // bytes are copied.
            size_t size = std::max(minBodyGrowth, 2 * body.size());
            if (!co_await share.reserve(size + body.size()))
                co_return asio::error::no_buffer_space;
            std::string larger(size, '\0');
            std::ranges::copy(body, larger.begin());
            body = std::move(larger);
            share.reduce(size);
        }
        auto& target = parser.get().body();
        target.data = body.data() + received;
        target.size = body.size() - received;
        auto [error, read] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asTuple);
        received = body.size() - target.size;
        if (share.isEnded())
            co_return asio::error::no_buffer_space;
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    body.resize(received);
    co_return beast::error_code();
}

Error ConnectionPool::readFailure(const Address& peer, Step step, const beast::error_code& error) const
{
    auto fault = answerFault(error);
    if (fault && m_answerFault)
        m_answerFault(*fault, peer, step, error.message());
    auto code = error == beast::error::timeout ? ErrorCode::Timeout : ErrorCode::BrokenOff;
    return { code, step, peer.toString(), error.message() };
}

asio::awaitable<Settled<HttpResponse>> ConnectionPool::exchange(
    Address peer, HttpRequest request, Milliseconds timeout, Step step, Milliseconds bodyTimeout, uint64_t maxBytes)
{
    auto acquired = co_await acquire(peer, controlMaxIdle, timeout);
    if (auto* error = std::get_if<Error>(&acquired))
        co_return *error;
    auto connection = std::move(std::get<0>(acquired));
    request.set(http::field::host, peer.toString());
    connection->stream.expires_after(timeout);
    auto [writeError, written] = co_await http::async_write(connection->stream, request, asTuple);
    if (writeError)
        co_return Error { ErrorCode::BrokenOff, step, peer.toString(), writeError.message() };
    ResponseParser parser;
    parser.body_limit(maxBytes);
    HttpResponse response;
    {
        auto share = m_answers->begin(connection->stream);
        beast::error_code error = co_await readAnswer(*connection, parser, *share, bodyTimeout, response.body());
        if (error)
            co_return readFailure(peer, step, error);
    }
    static_cast<ResponseHead&>(response) = std::move(parser.get().base());
    if (parser.keep_alive())
        release(std::move(connection));
    co_return response;
}

} // namespace Kumquatpick
