#include "node/nodeserver.h"

#include "node/codec.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr size_t maxServedConnections = 2048;
    constexpr size_t maxBodyBytes = 12 << 20; // Leaves room for the other fields within a peer's message limit.
    constexpr uint64_t maxWordsInFlight = 4 << 20; // Limit on the calls in flight on one connection.
    constexpr uint32_t maxProbeTimeoutMs = 10000;
    constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS; // Delay after a failed accept, e.g. too many open files.

    constexpr auto serverSide = capnp::rpc::twoparty::Side::SERVER;

    // Throws the error as a kj::Exception, which Cap'n Proto returns to the caller.
    template <typename Value> Value valueOrThrow(std::variant<Value, Error> settled)
    {
        if (const Error* error = std::get_if<Error>(&settled))
            kj::throwFatalException(
                { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(describe(*error).c_str()) });
        return std::get<Value>(std::move(settled));
    }

    Rpc::AnswerPhase toWire(StoredAnswer::Phase phase)
    {
        switch (phase) {
        case StoredAnswer::Phase::Unknown:
            return Rpc::AnswerPhase::UNKNOWN;
        case StoredAnswer::Phase::Running:
            return Rpc::AnswerPhase::RUNNING;
        case StoredAnswer::Phase::Finished:
            return Rpc::AnswerPhase::FINISHED;
        }
        return Rpc::AnswerPhase::UNKNOWN;
    }

}

NodeServer::NodeServer(NodeInfo self, const PeerHandlers& handlers, PeerConnections& connections, kj::Timer& timer)
    : m_self(std::move(self))
    , m_handlers(handlers)
    , m_connections(connections)
    , m_timer(timer)
{
}

kj::Promise<void> NodeServer::hello(HelloContext context)
{
    write(context.getResults().initNode(), m_self);
    return kj::READY_NOW;
}

// Drops a message that is addressed to an earlier incarnation of this node.
kj::Promise<void> NodeServer::deliver(DeliverContext context)
{
    auto params = context.getParams();
    uint64_t targetIncarnation = params.getIncarnation();
    if (!m_handlers.deliverSlotMessage || (targetIncarnation != 0 && targetIncarnation != m_self.id.incarnation))
        return kj::READY_NOW;
    m_handlers.deliverSlotMessage(valueOrThrow(settle([&] { return read(params.getMessage()); })));
    return kj::READY_NOW;
}

kj::Promise<void> NodeServer::probe(ProbeContext context)
{
    auto params = context.getParams();
    auto address = valueOrThrow(settle([&] { return Address::parse(params.getAddress().cStr()); }));
    uint64_t expected = params.getIncarnation();
    auto timeout = std::min(params.getTimeoutMs(), maxProbeTimeoutMs) * kj::MILLISECONDS;
    auto reached = m_connections.connect(address, PeerConnections::BackoffMode::IgnoreBackoff)
                       .then([expected](const std::shared_ptr<PeerConnection>& connection) {
                           return connection->node.helloRequest().send().then([expected, connection](auto&& response) {
                               connection->lastReceivedAt = monotonicNow();
                               return expected == 0 || response.getNode().getIncarnation() == expected;
                           });
                       });
    return m_timer.timeoutAfter(timeout, kj::mv(reached))
        .catch_([](kj::Exception&&) { return false; })
        .then([context](bool wasReached) mutable { context.getResults().setReached(wasReached); });
}

kj::Promise<void> NodeServer::fetchAnswer(FetchAnswerContext context)
{
    StoredAnswer answer;
    if (m_handlers.storedAnswer)
        answer = m_handlers.storedAnswer(context.getParams().getKey().cStr());
    KJ_REQUIRE(answer.body.size() <= maxBodyBytes, "stored answer exceeds the size limit of RPC messages");
    auto out = context.getResults().initAnswer();
    out.setPhase(toWire(answer.phase));
    out.setStatus(answer.status);
    out.setContentType({ answer.contentType.c_str(), answer.contentType.size() });
    out.setBody({ reinterpret_cast<const kj::byte*>(answer.body.data()), answer.body.size() });
    return kj::READY_NOW;
}

kj::Promise<void> NodeServer::exchange(ExchangeContext context)
{
    KJ_REQUIRE(bool(m_handlers.exchangeDigests), "this node does not take part in gossip");
    auto bytes = context.getParams().getMessage();
    auto message = valueOrThrow(settle([&] { return decodeGossip({ bytes.begin(), bytes.size() }); }));
    auto reply = encode(m_handlers.exchangeDigests(message));
    context.getResults().setMessage({ reply.data(), reply.size() });
    return kj::READY_NOW;
}

kj::Promise<void> NodeServer::acceptedText(AcceptedTextContext context)
{
    AcceptedText accepted;
    if (m_handlers.acceptedText)
        accepted = m_handlers.acceptedText();
    context.getResults().setVersion(accepted.version);
    context.getResults().setText({ accepted.text.c_str(), accepted.text.size() });
    return kj::READY_NOW;
}

struct PeerListener::ServedConnection {
    ServedConnection(kj::Own<kj::AsyncIoStream> newStream, Rpc::Node::Client node)
        : stream(kj::mv(newStream))
        , network(*stream, serverSide, peerReaderOptions())
        , rpc(capnp::makeRpcServer(network, kj::mv(node)))
    {
        rpc.setFlowLimit(maxWordsInFlight);
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

PeerListener::PeerListener(kj::Own<kj::ConnectionReceiver> receiver, Rpc::Node::Client node, kj::Timer& timer)
    : m_receiver(kj::mv(receiver))
    , m_node(kj::mv(node))
    , m_timer(timer)
    , m_tasks(*this)
{
    m_tasks.add(acceptAll());
}

kj::Promise<void> PeerListener::acceptAll()
{
    return m_receiver->accept()
        .then([this](kj::Own<kj::AsyncIoStream>&& stream) { serve(kj::mv(stream)); })
        .catch_([this](kj::Exception&&) { return m_timer.afterDelay(acceptRetryDelay); })
        .then([this] { return acceptAll(); });
}

void PeerListener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (m_connectionCount >= maxServedConnections)
        return;
    ++m_connectionCount;
    auto served = kj::heap<ServedConnection>(kj::mv(stream), m_node);
    auto ended = served->network.onDisconnect();
    m_tasks.add(ended.attach(kj::mv(served))
                    .then([this] { --m_connectionCount; }, [this](kj::Exception&&) { --m_connectionCount; }));
}

// A connection that violated the protocol is closed already. The error lies with the peer and is not logged here.
void PeerListener::taskFailed(kj::Exception&&) { }

} // namespace Kumquatpick
