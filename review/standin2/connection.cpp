#include "connection.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

    constexpr size_t readBytes = 16 * 1024;
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";

    void parseHead(const std::string& head, Message& message)
    {
        size_t begin = head.find(lineEnd);
        message.startLine = head.substr(0, begin);
        while (begin < head.size()) {
            begin += lineEnd.size();
            size_t end = std::min(head.find(lineEnd, begin), head.size());
            std::string line = head.substr(begin, end - begin);
            begin = end;
            size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }

}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    int on = 1;
    if (m_descriptor >= 0)
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection() { close(); }

int Connection::connectTo(int port)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty() && isOpen()) {
        ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return isOpen();
}

bool Connection::fill(Time until)
{
    auto left = std::chrono::duration_cast<Milliseconds>(until - std::chrono::steady_clock::now()).count();
    pollfd entry { m_descriptor, POLLIN, 0 };
    if (!isOpen() || ::poll(&entry, 1, static_cast<int>(std::max<long>(left, 0))) <= 0)
        return false;
    char bytes[readBytes];
    ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

bool Connection::readChunks(Message& message, Time until)
{
    for (;;) {
        size_t end = m_buffer.find(lineEnd);
        size_t size = end == std::string::npos ? 0 : std::strtoul(m_buffer.c_str(), nullptr, 16);
        if (end == std::string::npos || m_buffer.size() < end + size + 2 * lineEnd.size()) {
            if (!fill(until))
                return false;
            continue;
        }
        message.body += m_buffer.substr(end + lineEnd.size(), size);
        m_buffer.erase(0, end + size + 2 * lineEnd.size());
        if (size == 0)
            return true;
    }
}

bool Connection::read(Message& message, Milliseconds limit)
{
    Time until = std::chrono::steady_clock::now() + limit;
    message = {};
    size_t end = m_buffer.find(headEnd);
    for (; end == std::string::npos; end = m_buffer.find(headEnd)) {
        if (!fill(until))
            return false;
    }
    parseHead(m_buffer.substr(0, end), message);
    m_buffer.erase(0, end + headEnd.size());
    if (message.header("Transfer-Encoding") == "chunked") {
        message.isWhole = readChunks(message, until);
        return true;
    }
    size_t size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < size && fill(until)) { }
    message.isWhole = m_buffer.size() >= size;
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

bool Connection::isClosedByPeer()
{
    pollfd entry { m_descriptor, POLLRDHUP, 0 };
    return !isOpen() || (::poll(&entry, 1, 0) > 0 && entry.revents != 0);
}

void Connection::close()
{
    if (isOpen())
        ::close(m_descriptor);
    m_descriptor = -1;
}

void Connection::shutdown()
{
    if (isOpen())
        ::shutdown(m_descriptor, SHUT_RDWR);
}

std::string format(const Message& message)
{
    std::string text = message.startLine + "\r\n";
    for (const auto& [name, value] : message.headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

} // namespace Review
