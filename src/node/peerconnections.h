#pragma once

#include "base/clock.h"
#include "base/hash.h"
#include "base/ids.h"
#include "node/node.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <memory>
#include <unordered_map>

namespace Kumquatpick {

// Limits on messages of a peer. A malicious or faulty peer then causes the loss of a connection and not of the node.
capnp::ReaderOptions peerReaderOptions();

// One persistent connection to a peer's server.
struct PeerConnection {
    explicit PeerConnection(kj::Own<kj::AsyncIoStream>);

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    Rpc::Node::Client node;
    MonotonicTime lastReceivedAt = monotonicNow();
};

// Connections to peers. They are opened on first use and reopened after a backoff. Used only on the event loop's
// thread.
class PeerConnections : private kj::TaskSet::ErrorHandler {
public:
    enum class BackoffMode : uint8_t {
        RespectBackoff,
        IgnoreBackoff, // Used by probes, so that a restarted peer is detected at once.
    };

    PeerConnections(kj::Network&, kj::Timer&);

    // The promise is rejected with DISCONNECTED if there is no connection and none can be opened now.
    kj::Promise<std::shared_ptr<PeerConnection>> connect(const Address&, BackoffMode);
    // Closes the connection if nothing was received on it since the given time. The next call opens a new one.
    void dropIfSilentSince(const Address&, MonotonicTime);

    // Adds one to the number of sends in flight to a peer. Returns false if the limit is reached.
    bool enterBacklog(const Address&);
    void leaveBacklog(const Address&);

private:
    struct AddressHash {
        size_t operator()(const Address& address) const { return hash64(address.ip, address.port); }
    };

    struct Peer {
        std::shared_ptr<PeerConnection> connection;
        kj::Maybe<kj::ForkedPromise<void>> connectAttempt;
        bool connecting = false;
        MonotonicTime retryAt {};
        Milliseconds backoff {};
        size_t backlog = 0;
    };

    void startAttempt(const Address&, Peer&);
    void connected(const Address&, kj::Own<kj::AsyncIoStream>);
    void attemptFailed(const Address&);
    void disconnected(const Address&, const PeerConnection*);
    void dispose(std::shared_ptr<PeerConnection>);
    void forgetIdlePeers();
    void taskFailed(kj::Exception&&) override;

    kj::Network& m_network;
    kj::Timer& m_timer;
    std::unordered_map<Address, Peer, AddressHash> m_peers;
    kj::TaskSet m_tasks;
};

} // namespace Kumquatpick
