#pragma once

#include "node/peerconnections.h"
#include "node/transport.h"

#include <kj/async-io.h>

namespace Kumquatpick {

// Serves RPC calls of peers through the handlers. Used only on the event loop's thread.
class NodeServer final : public Rpc::Node::Server {
public:
    NodeServer(NodeInfo self, const PeerHandlers&, PeerConnections&, kj::Timer&);

    kj::Promise<void> hello(HelloContext) override;
    kj::Promise<void> deliver(DeliverContext) override;
    kj::Promise<void> probe(ProbeContext) override;
    kj::Promise<void> fetchAnswer(FetchAnswerContext) override;
    kj::Promise<void> exchange(ExchangeContext) override;
    kj::Promise<void> acceptedText(AcceptedTextContext) override;

private:
    NodeInfo m_self;
    const PeerHandlers& m_handlers;
    PeerConnections& m_connections;
    kj::Timer& m_timer;
};

// Accepts connections of peers, up to a limit, and serves RPC calls on each.
class PeerListener final : private kj::TaskSet::ErrorHandler {
public:
    PeerListener(kj::Own<kj::ConnectionReceiver>, Rpc::Node::Client, kj::Timer&);

private:
    struct ServedConnection;

    kj::Promise<void> acceptAll();
    void serve(kj::Own<kj::AsyncIoStream>);
    void taskFailed(kj::Exception&&) override;

    kj::Own<kj::ConnectionReceiver> m_receiver;
    Rpc::Node::Client m_node;
    kj::Timer& m_timer;
    size_t m_connectionCount = 0;
    kj::TaskSet m_tasks;
};

} // namespace Kumquatpick
