#include "platform/testnode.h"

#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>

namespace Kumquatpick {

TestNode::TestNode(std::string name, Address store, std::string seeds, const Platform* codec)
    : m_settings(*new GatewaySettings)
    , m_codec(codec ? *codec : *new PlatformCodec)
{
    m_settings.name = std::move(name);
    m_settings.zone = "z1";
    m_settings.callers = reserveAddress();
    m_settings.readiness = reserveAddress();
    m_settings.entries = reserveAddress();
    m_settings.peers = reserveAddress();
    m_settings.seeds = std::move(seeds);
    m_settings.store = std::move(store);
    m_settings.stopGrace = Milliseconds(3000);
    m_settings.entriesLifetime = Milliseconds(100);
    m_settings.retryAllowance = 1000; // Tests have few requests.
    m_settings.firstStart = "true";
    static const int devNull = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    m_settings.logDescriptor = devNull;
    m_gateway = new Gateway(m_io, m_settings, m_codec);
    auto started = m_gateway->start();
    if (const auto* error = std::get_if<Error>(&started))
        ADD_FAILURE() << m_settings.name << ": " << describe(*error);
    m_thread = std::thread([this] {
        m_io.run();
        m_hasEnded = true;
    });
}

// The reservation is bound but does not listen: the node's listener may share the port, as both sockets allow address
// reuse, and no other socket is given it.
Address TestNode::reserveAddress()
{
    asio::ip::tcp::acceptor& reservation = m_reservations.emplace_back(m_io, asio::ip::tcp::v4());
    reservation.set_option(asio::socket_base::reuse_address(true));
    reservation.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    return { "127.0.0.1", reservation.local_endpoint().port() };
}

TestNode::~TestNode()
{
    m_io.stop();
    m_thread.join();
}

void TestNode::stop()
{
    asio::post(m_io, [this] { m_gateway->stop(); });
}

} // namespace Kumquatpick
