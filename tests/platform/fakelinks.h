#pragma once

#include "base/address.h"
#include "gateway/http.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace Kumquatpick {

// The links of one node to the backend servers, which can be cut. Each server has a local port of its own, from which
// bytes are passed on in both directions.
class FakeLinks {
public:
    // What happens to connections. New ones are refused while a link is cut.
    enum class Mode : uint8_t {
        Open,
        Hanging, // Open connections carry nothing; what was sent meanwhile arrives once the links are open again.
        Reset, // Open connections are reset.
        RefusingNew, // Open connections live on.
    };

    FakeLinks();
    ~FakeLinks();
    FakeLinks(const FakeLinks&) = delete;
    FakeLinks& operator=(const FakeLinks&) = delete;

    // The address at which the node reaches the server.
    Address via(const Address& server);
    void setMode(Mode);

private:
    struct Link;

    asio::awaitable<void> accept(std::shared_ptr<Link>);
    asio::awaitable<void> pass(std::shared_ptr<asio::ip::tcp::socket> from, std::shared_ptr<asio::ip::tcp::socket> to);

    asio::io_context m_io;
    std::mutex m_mutex;
    std::map<Address, std::shared_ptr<Link>> m_links; // By server.
    std::atomic<Mode> m_mode { Mode::Open };
    std::thread m_thread;
};

} // namespace Kumquatpick
