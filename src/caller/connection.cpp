#include "caller/connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr size_t readBufferBytes = 16 * 1024;
    // The library's string grows to twice what has arrived, and the request is decoded and copied to be sent.
    constexpr size_t heldPerByte = 3;
    constexpr size_t reserveStep = 64 * 1024; // Taken ahead, as each reservation takes a lock.

    thread_local CallerConnection* currentConnection = nullptr;

    void describeAddress(const sockaddr_storage& address, std::string& ip, int& port)
    {
        char text[INET6_ADDRSTRLEN] = {};
        if (address.ss_family == AF_INET6) {
            const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
            inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof text);
            port = ntohs(v6.sin6_port);
        } else {
            const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
            inet_ntop(AF_INET, &v4.sin_addr, text, sizeof text);
            port = ntohs(v4.sin_port);
        }
        ip = text;
    }

    std::optional<size_t> parseLength(std::string_view text)
    {
        size_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    bool mayHaveBody(std::string_view method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE" || method == "PRI";
    }

    // The target is forwarded to backend servers, so it must not contain bytes that end the request line.
    bool isPlainTarget(std::string_view target)
    {
        auto plain = [](char c) { return c > ' ' && c < 0x7f; };
        return target.starts_with('/') && std::ranges::all_of(target, plain);
    }

    std::string takeHeader(httplib::Request& request, const std::string& name)
    {
        std::string value = request.get_header_value(name);
        request.headers.erase(name);
        return value;
    }

}

std::string_view RequestLine::path() const { return std::string_view(target).substr(0, target.find('?')); }

CallerConnection::CallerConnection(int socket, const CallerSettings& settings, ConnectionLimits& limits)
    : m_socket(socket)
    , m_limits(limits)
    , m_id(limits.admit(socket))
    , m_settings(settings)
{
    int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

CallerConnection::~CallerConnection()
{
    if (m_id)
        m_limits.remove(*m_id);
    ::close(m_socket);
}

void CallerConnection::enter(ClientStage stage)
{
    if (m_id)
        m_limits.enter(*m_id, stage);
}

// Makes room for what was read of the request. Returns false if the connection has to end.
bool CallerConnection::reserveForRequest()
{
    size_t bytes = readBufferBytes + heldPerByte * m_bytesRead;
    if (!m_id || bytes <= m_reserved)
        return m_id.has_value();
    m_reserved = bytes + reserveStep;
    return m_limits.reserve(*m_id, m_reserved, m_readDeadline);
}

CallerConnection* CallerConnection::forCurrentThread() { return currentConnection; }

void CallerConnection::beginRequest()
{
    m_buffer.erase(0, m_position);
    m_position = 0;
    m_line = {};
    m_readDeadline = monotonicNow() + m_settings.requestReadTimeout;
    m_bytesRead = 0;
    m_readLimit = m_settings.headerLimitBytes;
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_bodyHasLength = true;
    m_isOverLimit = false;
    m_bytesWritten = 0;
    m_reserved = 0;
    enter(ClientStage::Receiving);
}

void CallerConnection::processHead(httplib::Request& request)
{
    m_headBytes = m_bytesRead;
    m_line.target = std::move(request.target);
    request.path = "/";
    m_line.contentType = takeHeader(request, "Content-Type");
    request.headers.erase("Accept-Encoding");
    request.headers.erase("Range");
    request.ranges.clear();
    checkFraming(request);
    // Chunk headers add to the bytes of the body.
    m_readLimit = m_headBytes + m_settings.bodyLimitBytes + m_settings.bodyLimitBytes / 4 + m_settings.headerLimitBytes;
}

// Rejects ambiguous body lengths, as part of a body could otherwise be parsed as another request.
void CallerConnection::checkFraming(httplib::Request& request)
{
    if (!isPlainTarget(m_line.target))
        m_line.framingProblem = "the request target must be a path of printable ASCII characters";
    std::string encoding = takeHeader(request, "Content-Encoding");
    if (!encoding.empty() && encoding != "identity")
        m_line.framingProblem = "encoded request bodies are not supported";
    size_t lengths = request.get_header_value_count("Content-Length");
    bool transferEncoding = request.has_header("Transfer-Encoding");
    if (lengths > 1 || (lengths > 0 && transferEncoding))
        m_line.framingProblem = "the request has more than one body length";
    if (transferEncoding && request.get_header_value("Transfer-Encoding") != "chunked")
        m_line.framingProblem = "unsupported transfer encoding";
    if (lengths == 1) {
        auto length = parseLength(request.get_header_value("Content-Length"));
        if (!length)
            m_line.framingProblem = "invalid Content-Length";
        m_bodyBytes = length.value_or(0);
        m_bodyHasLength = length.has_value();
    } else if (transferEncoding) {
        m_bodyHasLength = false;
        request.set_header("Connection", "close");
    } else if (mayHaveBody(request.method)) {
        // Without a length there is no body. The library would read until the end of the connection.
        request.set_header("Content-Length", "0");
    }
}

bool CallerConnection::isBodyConsumed() const
{
    return m_headBytes > 0 && m_bodyHasLength && m_bytesRead >= m_headBytes + m_bodyBytes;
}

bool CallerConnection::isCallerGone() const
{
    char byte = 0;
    ssize_t got = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void CallerConnection::writeNonBlocking(std::string_view text)
{
    (void)!send(m_socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void CallerConnection::shutdownWriting() { ::shutdown(m_socket, SHUT_WR); }

void CallerConnection::shutdownSocket() { ::shutdown(m_socket, SHUT_RDWR); }

bool CallerConnection::waitFor(short events, MonotonicTime until) const
{
    for (;;) {
        auto remaining = std::chrono::ceil<Milliseconds>(until - monotonicNow());
        if (remaining.count() <= 0)
            return false;
        pollfd entry { m_socket, events, 0 };
        int ready = poll(&entry, 1, static_cast<int>(std::min<int64_t>(remaining.count(), 3'600'000)));
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
    }
}

bool CallerConnection::is_readable() const { return hasBufferedInput() || waitFor(POLLIN, m_readDeadline); }

bool CallerConnection::is_writable() const { return waitFor(POLLOUT, monotonicNow() + m_settings.stallTimeout); }

bool CallerConnection::fillBuffer()
{
    m_buffer.resize(readBufferBytes);
    m_position = 0;
    for (;;) {
        ssize_t got = recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (got >= 0) {
            m_buffer.resize(static_cast<size_t>(got));
            return got > 0;
        }
        bool isTransient = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        if (!isTransient || !waitFor(POLLIN, m_readDeadline)) {
            m_buffer.clear();
            return false;
        }
    }
}

ssize_t CallerConnection::read(char* target, size_t size)
{
    if (m_bytesRead >= m_readLimit) {
        m_isOverLimit = true;
        return -1;
    }
    if (!hasBufferedInput() && !fillBuffer())
        return -1;
    size_t count = std::min({ size, m_buffer.size() - m_position, m_readLimit - m_bytesRead });
    std::copy_n(m_buffer.data() + m_position, count, target);
    m_position += count;
    m_bytesRead += count;
    if (!reserveForRequest())
        return -1;
    return static_cast<ssize_t>(count);
}

// Writes all bytes or fails. Fails if the caller accepts no bytes for the stall timeout.
ssize_t CallerConnection::write(const char* data, size_t size)
{
    size_t sent = 0;
    while (sent < size) {
        ssize_t count = send(m_socket, data + sent, size - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<size_t>(count);
            continue;
        }
        bool isTransient = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        if (!isTransient || !waitFor(POLLOUT, monotonicNow() + m_settings.stallTimeout))
            return -1;
    }
    m_bytesWritten += sent;
    return static_cast<ssize_t>(sent);
}

void CallerConnection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof address;
    if (getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

void CallerConnection::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof address;
    if (getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

CurrentConnectionScope::CurrentConnectionScope(CallerConnection& connection) { currentConnection = &connection; }

CurrentConnectionScope::~CurrentConnectionScope() { currentConnection = nullptr; }

} // namespace Kumquatpick
