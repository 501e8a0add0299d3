#include "server.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Review {

namespace {

    constexpr int backlog = 256;
    constexpr Connection::Milliseconds idleLimit { 60'000 };

}

// The port is bound once more without listening, so that it stays this server's own while it refuses connections.
Server::Server(Handler handler)
    : m_handler(std::move(handler))
{
    bind();
    listen();
}

int Server::bind()
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(m_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("no loopback port is free");
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    return descriptor;
}

void Server::listen()
{
    int listener = bind();
    if (::listen(listener, backlog) != 0)
        throw std::runtime_error("the loopback port is taken");
    m_listener = listener;
    std::thread([this, listener] { accept(listener); }).detach();
}

void Server::accept(int listener)
{
    for (;;) {
        int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    Connection connection(descriptor);
    {
        std::lock_guard lock(m_mutex);
        m_connections.insert(&connection);
    }
    Message request;
    while (connection.read(request, idleLimit) && request.isWhole && m_handler(request, connection)) { }
    std::lock_guard lock(m_mutex);
    m_connections.erase(&connection);
}

void Server::refuseNew()
{
    std::lock_guard lock(m_mutex);
    if (m_listener < 0)
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    m_listener = -1;
}

// A shutdown wakes the threads that read; each of them closes its own connection.
void Server::stopListening()
{
    refuseNew();
    std::lock_guard lock(m_mutex);
    for (Connection* connection : m_connections)
        connection->shutdown();
}

void Server::listenAgain()
{
    std::lock_guard lock(m_mutex);
    if (m_listener < 0)
        listen();
}

} // namespace Review
