#pragma once

#include "base/address.h"

// Must match Debian's build of the library: the layout of its classes depends on these macros.
#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_ZLIB_SUPPORT
#define CPPHTTPLIB_BROTLI_SUPPORT
#endif
#include <httplib.h>
#include <mutex>
#include <string>
#include <thread>

namespace Kumquatpick {

// An HTTP server on a free loopback port that returns the configured answer to every GET.
class FakeServer {
public:
    FakeServer()
    {
        m_server.Get(".*", [this](const httplib::Request&, httplib::Response& response) {
            std::lock_guard lock(m_mutex);
            ++m_reads;
            response.status = m_status;
            response.set_content(m_body, "application/json");
        });
        m_address = { "127.0.0.1", static_cast<uint16_t>(m_server.bind_to_any_port("127.0.0.1")) };
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~FakeServer() { stop(); }

    void stop()
    {
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void answer(int status, std::string body)
    {
        std::lock_guard lock(m_mutex);
        m_status = status;
        m_body = std::move(body);
    }

    size_t reads()
    {
        std::lock_guard lock(m_mutex);
        return m_reads;
    }

    const Address& address() const { return m_address; }

private:
    std::mutex m_mutex;
    size_t m_reads = 0;
    int m_status = 200;
    std::string m_body;
    httplib::Server m_server;
    Address m_address;
    std::thread m_thread;
};

} // namespace Kumquatpick
