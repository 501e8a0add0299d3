#pragma once

#include "gateway/gateway.h"
#include "platform/platformcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Kumquatpick {

// A gateway node on local ports, with its event loop on its own thread.
class TestNode {
public:
    // codec: replaces the platform's own; it has to outlive the node.
    TestNode(std::string name, Address store, std::string seeds = {}, const Platform* codec = nullptr);
    ~TestNode();
    TestNode(const TestNode&) = delete;
    TestNode& operator=(const TestNode&) = delete;

    // Stops the node gracefully, as SIGTERM does.
    void stop();
    bool hasEnded() const { return m_hasEnded; }
    Address callers() const { return m_settings.callers; }
    Address readiness() const { return m_settings.readiness; }
    Address entries() const { return m_settings.entries; }
    Address peers() const { return m_settings.peers; }

private:
    Address reserveAddress();

    GatewaySettings& m_settings; // Never destroyed, as the gateway refers to it.
    const Platform& m_codec;
    asio::io_context m_io;
    std::vector<asio::ip::tcp::acceptor> m_reservations; // Keep the node's ports from being given to other sockets.
    Gateway* m_gateway; // Never destroyed, as suspended coroutines refer to it until the event loop is gone.
    std::atomic<bool> m_hasEnded { false };
    std::thread m_thread;
};

} // namespace Kumquatpick
