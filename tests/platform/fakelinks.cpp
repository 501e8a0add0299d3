#include "platform/fakelinks.h"

#include "base/clock.h"
#include "gateway/asio.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>

namespace Kumquatpick {

namespace {

    using asio::ip::tcp;

    constexpr Milliseconds modePollPeriod { 5 };

    void reset(tcp::socket& socket)
    {
        boost::system::error_code ignored; // It may be closed already.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    void listen(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
    {
        acceptor.open(tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }

}

struct FakeLinks::Link {
    explicit Link(asio::io_context& io)
        : acceptor(io)
    {
    }

    tcp::endpoint server;
    tcp::endpoint local;
    tcp::acceptor acceptor;
};

FakeLinks::FakeLinks()
    : m_thread([this] {
        auto work = asio::make_work_guard(m_io);
        m_io.run();
    })
{
}

FakeLinks::~FakeLinks()
{
    m_io.stop();
    m_thread.join();
}

Address FakeLinks::via(const Address& server)
{
    std::lock_guard lock(m_mutex);
    auto [found, isNew] = m_links.try_emplace(server);
    if (isNew) {
        auto link = std::make_shared<Link>(m_io);
        link->server = { asio::ip::make_address(server.ip), server.port };
        listen(link->acceptor, { asio::ip::make_address("127.0.0.1"), 0 });
        link->local = link->acceptor.local_endpoint();
        found->second = link;
        asio::co_spawn(m_io, accept(link), asio::detached);
    }
    return { "127.0.0.1", found->second->local.port() };
}

void FakeLinks::setMode(Mode mode) { m_mode = mode; }

asio::awaitable<void> FakeLinks::accept(std::shared_ptr<Link> link)
{
    for (;;) {
        if (m_mode != Mode::Open) {
            link->acceptor.close();
            while (m_mode != Mode::Open)
                co_await sleepFor(modePollPeriod);
            listen(link->acceptor, link->local);
        }
        link->acceptor.non_blocking(true);
        auto client = std::make_shared<tcp::socket>(m_io);
        boost::system::error_code error;
        link->acceptor.accept(*client, error);
        if (error) {
            co_await sleepFor(modePollPeriod);
            continue;
        }
        auto server = std::make_shared<tcp::socket>(m_io);
        auto [connectError] = co_await server->async_connect(link->server, asTuple);
        if (connectError) {
            reset(*client);
            continue;
        }
        asio::co_spawn(m_io, pass(client, server), asio::detached);
        asio::co_spawn(m_io, pass(server, client), asio::detached);
    }
}

asio::awaitable<void> FakeLinks::pass(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
{
    std::array<char, 16 * 1024> bytes {};
    from->non_blocking(true);
    for (;;) {
        while (m_mode == Mode::Hanging)
            co_await sleepFor(modePollPeriod);
        if (m_mode == Mode::Reset) {
            reset(*from);
            reset(*to);
            co_return;
        }
        boost::system::error_code error;
        size_t count = from->read_some(asio::buffer(bytes), error);
        if (error == asio::error::would_block) {
            co_await sleepFor(modePollPeriod);
            continue;
        }
        if (error)
            break;
        auto [writeError, written] = co_await asio::async_write(*to, asio::buffer(bytes.data(), count), asTuple);
        if (writeError)
            break;
    }
    // The connection ends as a whole: no side of these protocols uses half of one.
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
}

} // namespace Kumquatpick
