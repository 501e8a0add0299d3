#include "caller/listener.h"

#include "base/address.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr int backlog = 1024;
    constexpr Milliseconds pollInterval { 100 };
    constexpr Milliseconds lingerTimeout { 1'000 };
    // Without a free descriptor accept() fails at once, so the loop would use a full core without this pause.
    constexpr Milliseconds acceptPause { 10 };

    struct BindAddress {
        sockaddr_storage storage {};
        socklen_t length = 0;
    };

    std::optional<BindAddress> bindAddress(const std::string& ip, uint16_t port)
    {
        BindAddress address;
        auto& v4 = reinterpret_cast<sockaddr_in&>(address.storage);
        auto& v6 = reinterpret_cast<sockaddr_in6&>(address.storage);
        if (inet_pton(AF_INET, ip.c_str(), &v4.sin_addr) == 1) {
            v4.sin_family = AF_INET;
            v4.sin_port = htons(port);
            address.length = sizeof v4;
            return address;
        }
        if (inet_pton(AF_INET6, ip.c_str(), &v6.sin6_addr) == 1) {
            v6.sin6_family = AF_INET6;
            v6.sin6_port = htons(port);
            address.length = sizeof v6;
            return address;
        }
        return std::nullopt;
    }

    uint16_t boundPort(int socket)
    {
        sockaddr_storage bound {};
        socklen_t length = sizeof bound;
        getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &length);
        // The port has the same offset in both address families.
        return ntohs(reinterpret_cast<const sockaddr_in&>(bound).sin_port);
    }

    void addToEpoll(int epoll, int socket, uint32_t events)
    {
        epoll_event event {};
        event.events = events;
        event.data.fd = socket;
        epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event);
    }

}

Listener::Listener(const CallerSettings& settings, ConnectionLimits& limits, Serve serve, std::string busyAnswer)
    : m_settings(settings)
    , m_limits(limits)
    , m_serve(std::move(serve))
    , m_busyAnswer(std::move(busyAnswer))
{
}

Listener::~Listener() { stop(); }

Result<void> Listener::start()
{
    auto refused = [&](std::string why) {
        return fail({ ErrorCode::InvalidArgument, Step::Accept, Address { m_settings.ip, m_settings.port }.toString(),
            std::move(why) });
    };
    auto address = bindAddress(m_settings.ip, m_settings.port);
    if (!address)
        return refused("not a numeric IP address");
    m_socket = ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(m_socket, reinterpret_cast<const sockaddr*>(&address->storage), address->length) != 0
        || listen(m_socket, backlog) != 0)
        return refused(std::strerror(errno)); // NOLINT(concurrency-mt-unsafe)
    m_port = boundPort(m_socket);
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wakeEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    addToEpoll(m_epoll, m_socket, EPOLLIN);
    addToEpoll(m_epoll, m_wakeEvent, EPOLLIN);
    m_thread = std::thread([this] { run(); });
    return {};
}

void Listener::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable()) {
        uint64_t one = 1;
        (void)!write(m_wakeEvent, &one, sizeof one);
        m_thread.join();
    }
    m_watched.clear();
    for (int* descriptor : { &m_socket, &m_epoll, &m_wakeEvent }) {
        if (*descriptor >= 0)
            ::close(*descriptor);
        *descriptor = -1;
    }
}

void Listener::run()
{
    std::array<epoll_event, 64> events {};
    for (;;) {
        int count = epoll_wait(m_epoll, events.data(), events.size(), static_cast<int>(pollInterval.count()));
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
        }
        for (int i = 0; i < count; ++i) {
            if (events[i].data.fd == m_socket)
                accept();
            else
                onReadable(events[i].data.fd);
        }
        closeExpired(monotonicNow());
    }
}

void Listener::accept()
{
    int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            std::this_thread::sleep_for(acceptPause);
        return;
    }
    auto connection = std::make_unique<CallerConnection>(socket, m_settings, m_limits);
    if (connection->isAdmitted())
        watchIdle(std::move(connection));
    else
        connection->writeNonBlocking(m_busyAnswer);
}

void Listener::onReadable(int socket)
{
    if (discardInput(socket))
        return;
    auto connection = unwatch(socket);
    if (!connection)
        return;
    if (connection->isCallerGone())
        return;
    if (auto refused = m_serve(std::move(connection)))
        refuseBusy(std::move(refused));
}

// The request was not read, so the response can only ask the caller to retry.
void Listener::refuseBusy(std::unique_ptr<CallerConnection> connection)
{
    connection->writeNonBlocking(m_busyAnswer);
    closeLingering(std::move(connection));
}

// Discards the input of a socket that is being closed. Returns false for any other socket.
bool Listener::discardInput(int socket)
{
    std::lock_guard lock(m_mutex);
    auto found = m_watched.find(socket);
    if (found == m_watched.end() || !found->second.closing)
        return false;
    std::array<char, 16 * 1024> dropped; // NOLINT(cppcoreguidelines-pro-type-member-init)
    ssize_t got = recv(socket, dropped.data(), dropped.size(), MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
        m_watched.erase(found);
    return true;
}

void Listener::watchIdle(std::unique_ptr<CallerConnection> connection)
{
    connection->enter(ClientStage::Idle);
    watch(std::move(connection), m_settings.keepAlive, false);
}

void Listener::closeLingering(std::unique_ptr<CallerConnection> connection)
{
    connection->enter(ClientStage::Closing);
    connection->shutdownWriting();
    watch(std::move(connection), lingerTimeout, true);
}

void Listener::watch(std::unique_ptr<CallerConnection> connection, Milliseconds atMost, bool closing)
{
    int socket = connection->socket();
    std::lock_guard lock(m_mutex);
    if (m_stopping)
        return;
    m_watched[socket] = { std::move(connection), monotonicNow() + atMost, closing };
    addToEpoll(m_epoll, socket, EPOLLIN | EPOLLRDHUP);
}

std::unique_ptr<CallerConnection> Listener::unwatch(int socket)
{
    std::lock_guard lock(m_mutex);
    auto found = m_watched.find(socket);
    if (found == m_watched.end())
        return nullptr;
    auto connection = std::move(found->second.connection);
    m_watched.erase(found);
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
    return connection;
}

void Listener::closeExpired(MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_watched, [&](const auto& entry) { return entry.second.until <= now; });
}

} // namespace Kumquatpick
