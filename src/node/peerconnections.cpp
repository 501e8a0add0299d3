#include "node/peerconnections.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Limit on the memory that one message takes. A part of a copied journal or a stored answer must fit.
    constexpr uint64_t maxMessageWords = 2 << 20; // 16 MiB
    constexpr int maxNesting = 16;
    constexpr size_t maxBacklogPerPeer = 1024;
    constexpr size_t maxTrackedPeers = 2048;
    constexpr Milliseconds initialBackoff { 50 };
    constexpr Milliseconds maxBackoff { 1000 };
    constexpr Milliseconds connectTimeout { 2000 };

    constexpr auto clientSide = capnp::rpc::twoparty::Side::CLIENT;

    kj::Exception connectionError(kj::StringPtr reason)
    {
        return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason) };
    }

    Rpc::Node::Client bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc)
    {
        capnp::word scratch[4] = {};
        capnp::MallocMessageBuilder message(scratch);
        auto server = message.getRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc.bootstrap(server).castAs<Rpc::Node>();
    }

}

capnp::ReaderOptions peerReaderOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    options.nestingLimit = maxNesting;
    return options;
}

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> newStream)
    : stream(kj::mv(newStream))
    , network(*stream, clientSide, peerReaderOptions())
    , rpc(capnp::makeRpcClient(network))
    , node(bootstrap(rpc))
{
}

PeerConnections::PeerConnections(kj::Network& network, kj::Timer& timer)
    : m_network(network)
    , m_timer(timer)
    , m_tasks(*this)
{
}

kj::Promise<std::shared_ptr<PeerConnection>> PeerConnections::connect(const Address& address, BackoffMode backoffMode)
{
    forgetIdlePeers();
    Peer& peer = m_peers[address];
    if (peer.connection)
        return peer.connection;
    if (!peer.connecting) {
        if (backoffMode == BackoffMode::RespectBackoff && monotonicNow() < peer.retryAt)
            return connectionError("reconnect backoff has not ended"_kj);
        startAttempt(address, peer);
    }
    return KJ_ASSERT_NONNULL(peer.connectAttempt)
        .addBranch()
        .then([this, address]() -> kj::Promise<std::shared_ptr<PeerConnection>> {
            Peer& peer = m_peers[address];
            if (!peer.connection)
                return connectionError("connection closed immediately after it was opened"_kj);
            return peer.connection;
        });
}

void PeerConnections::startAttempt(const Address& address, Peer& peer)
{
    peer.connecting = true;
    auto stream = m_network.parseAddress(kj::heapString(address.toString().c_str()))
                      .then([](kj::Own<kj::NetworkAddress>&& target) {
                          auto connecting = target->connect();
                          return connecting.attach(kj::mv(target));
                      });
    peer.connectAttempt
        = m_timer.timeoutAfter(connectTimeout.count() * kj::MILLISECONDS, kj::mv(stream))
              .then([this, address](kj::Own<kj::AsyncIoStream>&& ready) { connected(address, kj::mv(ready)); })
              .catch_([this, address](kj::Exception&& exception) -> kj::Promise<void> {
                  attemptFailed(address);
                  return kj::mv(exception);
              })
              .fork();
}

void PeerConnections::connected(const Address& address, kj::Own<kj::AsyncIoStream> stream)
{
    Peer& peer = m_peers[address];
    peer.connecting = false;
    peer.backoff = {};
    peer.connection = std::make_shared<PeerConnection>(kj::mv(stream));
    const PeerConnection* expected = peer.connection.get();
    m_tasks.add(
        peer.connection->network.onDisconnect().then([this, address, expected] { disconnected(address, expected); }));
}

void PeerConnections::attemptFailed(const Address& address)
{
    Peer& peer = m_peers[address];
    peer.connecting = false;
    peer.backoff = std::clamp(peer.backoff * 2, initialBackoff, maxBackoff);
    peer.retryAt = monotonicNow() + peer.backoff;
}

void PeerConnections::disconnected(const Address& address, const PeerConnection* expected)
{
    auto found = m_peers.find(address);
    if (found != m_peers.end() && found->second.connection.get() == expected)
        dispose(std::move(found->second.connection));
}

// A connection may be closed from one of its own callbacks, so it is destroyed only after the callback has returned.
void PeerConnections::dispose(std::shared_ptr<PeerConnection> connection)
{
    m_tasks.add(kj::evalLater([held = std::move(connection)]() mutable { held.reset(); }));
}

void PeerConnections::dropIfSilentSince(const Address& address, MonotonicTime time)
{
    auto found = m_peers.find(address);
    if (found == m_peers.end() || !found->second.connection || found->second.connection->lastReceivedAt >= time)
        return;
    dispose(std::move(found->second.connection));
}

bool PeerConnections::enterBacklog(const Address& address)
{
    Peer& peer = m_peers[address];
    if (peer.backlog >= maxBacklogPerPeer)
        return false;
    ++peer.backlog;
    return true;
}

void PeerConnections::leaveBacklog(const Address& address) { --m_peers[address].backlog; }

// Replaced hosts leave unused addresses behind. Removing an address without a connection loses only its backoff.
void PeerConnections::forgetIdlePeers()
{
    if (m_peers.size() < maxTrackedPeers)
        return;
    std::erase_if(m_peers, [](const auto& entry) {
        const Peer& peer = entry.second;
        return !peer.connection && !peer.connecting && peer.backlog == 0;
    });
}

// Failures are reported by the calls that they affect, so there is nothing to do here.
void PeerConnections::taskFailed(kj::Exception&&) { }

} // namespace Kumquatpick
