#include "platform/testnode.h"

#include <boost/asio/post.hpp>
#include <fcntl.h>

namespace Kumquatpick {

namespace {

    // An address whose port was free when it was checked.
    Address freeAddress()
    {
        asio::io_context io;
        asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

}

TestNode::TestNode(std::string name, Address store, std::string seeds)
    : m_settings(*new GatewaySettings)
    , m_codec(*new PlatformCodec)
{
    m_settings.name = std::move(name);
    m_settings.zone = "z1";
    m_settings.callers = freeAddress();
    m_settings.readiness = freeAddress();
    m_settings.entries = freeAddress();
    m_settings.peers = freeAddress();
    m_settings.seeds = std::move(seeds);
    m_settings.store = std::move(store);
    m_settings.stopGrace = Milliseconds(3000);
    m_settings.entriesLifetime = Milliseconds(100);
    m_settings.retryAllowance = 1000; // It grows from zero over the first window, and tests are short.
    static const int devNull = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    m_settings.logDescriptor = devNull;
    m_gateway = new Gateway(m_io, m_settings, m_codec);
    m_gateway->start();
    m_thread = std::thread([this] {
        m_io.run();
        m_hasEnded = true;
    });
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
