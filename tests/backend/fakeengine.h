#pragma once

#include "base/address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Kumquatpick {

// One accepted connection, spoken byte by byte so that a test can break the protocol where it likes.
class FakeConnection {
public:
    explicit FakeConnection(int socket)
        : m_socket(socket)
    {
    }

    // The whole request, body included; empty if the client closed first.
    std::string readRequest()
    {
        std::string text;
        while (!isWhole(text)) {
            std::array<char, 4096> buffer;
            ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return {};
            text.append(buffer.data(), static_cast<size_t>(count));
        }
        return text;
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(count));
        }
        return true;
    }

    // Returns when the client has closed.
    void waitForClose()
    {
        char byte = 0;
        while (::recv(m_socket, &byte, 1, 0) > 0) { }
    }

    int socket() const { return m_socket; }

private:
    static bool isWhole(const std::string& text)
    {
        auto end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        auto length = text.find("Content-Length: ");
        size_t body = length < end ? std::stoull(text.substr(length + 16)) : 0;
        return text.size() >= end + 4 + body;
    }

    int m_socket;
};

// A server on a free loopback port; each connection gets a thread that reads a request and plays the script.
// Cancels are only recorded. The connection closes when the script returns.
class FakeEngine {
public:
    using Script = std::function<void(FakeConnection&, const std::string& request)>;

    explicit FakeEngine(Script script)
        : m_script(std::move(script))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in loopback {};
        loopback.sin_family = AF_INET;
        loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(loopback);
        auto* any = reinterpret_cast<sockaddr*>(&loopback);
        if (::bind(m_listener, any, size) != 0 || ::listen(m_listener, SOMAXCONN) != 0
            || ::getsockname(m_listener, any, &size) != 0)
            std::abort();
        m_address = { "127.0.0.1", ntohs(loopback.sin_port) };
        m_thread = std::thread([this] { acceptAll(); });
    }

    ~FakeEngine()
    {
        stopListening();
        for (auto& thread : m_connections)
            thread.join();
    }

    // From now on connections are refused and those open are cut.
    void stopListening()
    {
        if (!m_thread.joinable())
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        std::lock_guard lock(m_mutex);
        for (int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }

    const Address& address() const { return m_address; }

    // Waits for a request whose first line starts so.
    void waitForRequest(std::string_view firstLine)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] {
            return std::any_of(m_requests.begin(), m_requests.end(),
                [&](const std::string& request) { return request.starts_with(firstLine); });
        });
    }

    size_t requestCount()
    {
        std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

    // How many requests did not begin so.
    size_t requestsOtherThan(std::string_view firstLine)
    {
        std::lock_guard lock(m_mutex);
        return static_cast<size_t>(std::ranges::count_if(
            m_requests, [&](const std::string& request) { return !request.starts_with(firstLine); }));
    }

private:
    void acceptAll()
    {
        while (true) {
            int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
            m_connections.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(int socket)
    {
        FakeConnection connection(socket);
        std::string request = connection.readRequest();
        if (!request.empty()) {
            {
                std::lock_guard lock(m_mutex);
                m_requests.push_back(request);
                m_changed.notify_all();
            }
            if (request.starts_with("POST /v1/cancel/"))
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); // Nobody reads the body.
            else
                m_script(connection, request);
        }
        std::lock_guard lock(m_mutex);
        m_sockets.erase(socket);
        ::close(socket);
    }

    Script m_script;
    int m_listener;
    Address m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_requests;
    std::set<int> m_sockets;
    std::vector<std::thread> m_connections; // Grown by the accepting thread only.
    std::thread m_thread;
};

// Answers every request with these bytes and closes.
inline FakeEngine::Script always(std::string bytes)
{
    return [bytes = std::move(bytes)](FakeConnection& connection, const std::string&) { connection.send(bytes); };
}

} // namespace Kumquatpick
