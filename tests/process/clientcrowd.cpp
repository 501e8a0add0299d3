#include "process/clientcrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    using Clock = std::chrono::steady_clock;

    // The other side takes no more: it holds the clients back, or has stopped reading.
    constexpr std::chrono::seconds noProgressLimit { 2 };
    constexpr std::chrono::seconds sendLimit { 120 };
    constexpr int pollMs = 20;
    constexpr size_t sendsAtOnce = 16; // Of one client, before the next one's turn.

    // -1 if the connection is refused.
    int connectTo(uint16_t port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return socket;
        close(socket);
        return -1;
    }

    bool isClosedByOtherSide(int socket)
    {
        pollfd entry { socket, POLLRDHUP, 0 };
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

}

ClientCrowd::ClientCrowd(uint16_t port, std::vector<CrowdScript> scripts)
{
    for (CrowdScript& script : scripts) {
        Client client;
        client.socket = connectTo(port);
        client.script = std::move(script);
        m_clients.push_back(std::move(client));
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const Client& client : m_clients) {
        if (client.socket >= 0)
            close(client.socket);
    }
}

size_t ClientCrowd::Client::sendSome()
{
    size_t taken = 0;
    for (size_t i = 0; i < sendsAtOnce && isSending(); ++i) {
        const std::string* parts[] = { &script.begin, &script.unit, &script.end };
        std::string_view rest = std::string_view(*parts[part]).substr(position);
        bool hasNothing = rest.empty() || (part == 1 && unitsSent == script.units);
        if (!hasNothing) {
            ssize_t count = send(socket, rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return taken;
            if (count < 0) {
                close(socket);
                socket = -1;
                return taken;
            }
            taken += static_cast<size_t>(count);
            position += static_cast<size_t>(count);
            if (static_cast<size_t>(count) < rest.size())
                return taken;
        }
        position = 0;
        bool isUnitDone = part == 1 && !hasNothing && ++unitsSent < script.units;
        part += isUnitDone ? 0 : 1;
    }
    return taken;
}

void ClientCrowd::sendAll(const std::function<void()>& watch)
{
    auto begun = Clock::now();
    auto progressAt = begun;
    while (std::ranges::any_of(m_clients, &Client::isSending)) {
        size_t taken = 0;
        for (Client& client : m_clients)
            taken += client.sendSome();
        watch();
        auto now = Clock::now();
        if (taken > 0)
            progressAt = now;
        else
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
        if (now - progressAt >= noProgressLimit || now - begun >= sendLimit)
            return;
    }
    watch();
}

size_t ClientCrowd::openConnections() const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_clients, [](const Client& client) { return client.socket >= 0 && !isClosedByOtherSide(client.socket); }));
}

} // namespace Kumquatpick
