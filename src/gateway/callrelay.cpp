#include "gateway/callforwarder.h"

#include "gateway/asio.h"
#include "gateway/clientconnections.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

// The part of CallForwarder that passes a call on to another node while this one is cut off from the backend servers.
// The other node treats it as a caller's: it chooses the servers, repeats what may be repeated, counts the slots and
// the ends of servers, and answers with the server's response. It passes the call on to no further node.

namespace Kumquatpick {

namespace {

    // Nodes are asked for calls all the time; one that does not accept within a round trip has ended or is cut off,
    // too.
    constexpr Milliseconds nodeConnectTimeout { 200 };
    constexpr Milliseconds maxIdleForSingleRun { 300 };
    constexpr Milliseconds maxIdleForRepeatable { 2500 };
    constexpr uint64_t maxStreamBytes = 64 << 20;
    constexpr uint64_t maxResponseBytes = 8 << 20;

    // With these a node guarantees that the request was not run, and never will be.
    bool isRefusal(int status) { return status == 429 || status == 503 || status == 408; }

}

bool CallForwarder::mayUseNode() const
{
    return !m_call.isRelayed && m_context.reach.isCutOff(m_service)
        && !m_context.disabledMechanisms.contains(Mechanism::CallRelay) && !m_context.nodesReaching(m_service).empty();
}

// Spreads calls over the nodes that reach the servers.
bool CallForwarder::chooseNode()
{
    m_node.clear();
    if (!mayUseNode())
        return false;
    std::vector<std::string> nodes = m_context.nodesReaching(m_service);
    std::erase_if(nodes, [&](const std::string& node) { return std::ranges::count(m_triedNodes, node) > 0; });
    if (nodes.empty())
        return false;
    m_node = nodes[m_context.random() % nodes.size()];
    m_hostId.clear();
    return true;
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::sendThroughNode()
{
    MonotonicTime begun = m_context.now();
    m_sentAt = begun;
    ++m_sends;
    m_mayReuseConnection = false;
    uint64_t eventsBefore = m_eventStream.events();
    auto address = settle([&] { return Address::parse(m_node); });
    if (auto* error = std::get_if<Error>(&address)) {
        m_lastError = describe(*error);
        co_return SendOutcome::NotRun;
    }
    auto acquired = co_await m_context.pool.acquire(
        std::get<Address>(address), mayRepeat() ? maxIdleForRepeatable : maxIdleForSingleRun, nodeConnectTimeout);
    m_hadConnection = std::holds_alternative<std::unique_ptr<PeerConnection>>(acquired);
    SendOutcome outcome = SendOutcome::NotRun;
    if (!m_hadConnection) {
        m_lastError = describe(std::get<Error>(acquired));
    } else if (m_active->cancelReason == CancelReason::None) {
        auto connection = std::move(std::get<0>(acquired));
        m_active->backend = &connection->stream;
        outcome = co_await readNodeReply(*connection);
        m_active->backend = nullptr;
        if (outcome == SendOutcome::Answered || m_mayReuseConnection)
            m_context.pool.release(std::move(connection));
    }
    m_eventStream.dropPartialEvent();
    if (outcome != SendOutcome::NotRun)
        ++m_possibleRuns;
    m_context.metrics.count(
        fmt::format("calls_through_nodes_total{{answered=\"{}\"}}", outcome == SendOutcome::Answered ? "yes" : "no"));
    if (outcome != SendOutcome::Answered) {
        m_context.log.writeRoutine("send_ended",
            { { "id", m_call.id }, { "through", m_node }, { "cancelled", name(m_active->cancelReason) },
                { "problem", m_lastError }, { "events", m_eventStream.events() - eventsBefore },
                { "ms", 1000 * toSeconds(m_context.now() - begun) } });
    }
    co_return outcome;
}

asio::awaitable<CallForwarder::SendOutcome> CallForwarder::readNodeReply(PeerConnection& connection)
{
    SendParameters send;
    send.lastEventId = m_eventStream.lastId();
    send.timeLeft = timeLeft();
    send.earlierRuns = m_possibleRuns;
    send.isRetry = m_isServerReached;
    bool hasRoom = co_await reserve(HeldPart::SentCopy, m_call.body.size());
    if (!hasRoom)
        co_return SendOutcome::NotRun;
    std::optional<HttpRequest> request = m_context.platform.relay(m_call, send);
    connection.stream.expires_never();
    auto [writeError, written] = co_await http::async_write(connection.stream, *request, asTuple);
    request.reset();
    m_share.hold(HeldPart::SentCopy, 0);
    if (writeError) {
        recordBackendError("sending the request to a node", writeError);
        co_return SendOutcome::Broken;
    }
    ResponseParser parser;
    parser.body_limit(maxResponseBytes);
    if (auto readError = co_await readResponseHead(connection, parser)) {
        recordBackendError("reading the response head of a node", readError);
        co_return SendOutcome::Broken;
    }
    recordData();
    ReplyHead reply = m_context.platform.reply(parser.get());
    bool isStream = m_route->streaming && reply.status == 200 && reply.isSealed && reply.isUnencoded;
    if (isStream) {
        parser.body_limit(maxStreamBytes);
        co_return co_await forwardStream(connection, parser);
    }
    std::string body;
    bool keepsConnection = parser.keep_alive();
    if (!co_await readBody(connection, parser, body))
        co_return SendOutcome::Broken;
    m_mayReuseConnection = keepsConnection;
    ResponseHead head = parser.get().base();
    if (isRefusal(reply.status)) {
        m_lastError = fmt::format("another node refused the request with status {}", reply.status);
        m_nodeRefusal.emplace();
        static_cast<ResponseHead&>(*m_nodeRefusal) = head;
        m_context.platform.removeInternalHeaders(*m_nodeRefusal);
        m_nodeRefusal->version(11);
        m_nodeRefusal->body() = std::move(body);
        co_return SendOutcome::NotRun;
    }
    co_return co_await forwardResponse(head, reply, std::move(body));
}

} // namespace Kumquatpick
