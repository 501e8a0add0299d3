#include "node/codec.h"
#include "node/transport.h"

#include "node/generators.h"

#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    // Time-out for operations that should succeed. It is long enough to expire only if there is a fault.
    constexpr Milliseconds testTimeout { 20000 };

    NodeInfo nodeNamed(std::string name, uint64_t incarnation, uint16_t port = 0)
    {
        return { { std::move(name), incarnation }, "howrah", { "127.0.0.1", port }, { "127.0.0.1", 7100 } };
    }

    std::unique_ptr<NodeTransport> startNode(const NodeInfo& self, PeerHandlers handlers = {})
    {
        return std::move(NodeTransport::start(self, std::move(handlers)).value());
    }

    class Inbox {
    public:
        std::function<void(const SlotMessage&)> receiver()
        {
            return [this](const SlotMessage& message) {
                std::lock_guard lock(m_mutex);
                m_messages.push_back(message);
                m_changed.notify_all();
            };
        }

        std::vector<SlotMessage> waitFor(size_t count)
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, testTimeout, [&] { return m_messages.size() >= count; });
            return std::exchange(m_messages, {});
        }

    private:
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<SlotMessage> m_messages;
    };

    template <typename Operation> ErrorCode codeOf(Operation&& operation)
    {
        auto outcome = settle(operation);
        EXPECT_TRUE(std::holds_alternative<Error>(outcome));
        const Error* error = std::get_if<Error>(&outcome);
        return error ? error->code : ErrorCode::Internal;
    }

    // Accepts connections and never answers.
    class SilentListener {
    public:
        SilentListener()
            : m_socket(socket(AF_INET, SOCK_STREAM, 0))
        {
            m_address.sin_family = AF_INET;
            m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t size = sizeof(m_address);
            EXPECT_EQ(bind(m_socket, reinterpret_cast<sockaddr*>(&m_address), size), 0);
            EXPECT_EQ(listen(m_socket, 8), 0);
            EXPECT_EQ(getsockname(m_socket, reinterpret_cast<sockaddr*>(&m_address), &size), 0);
        }

        ~SilentListener()
        {
            close(m_accepted);
            close(m_socket);
        }

        Address address() const { return { "127.0.0.1", ntohs(m_address.sin_port) }; }

        void waitForBytes()
        {
            m_accepted = accept(m_socket, nullptr, nullptr);
            char byte = 0;
            EXPECT_EQ(::read(m_accepted, &byte, 1), 1);
        }

    private:
        int m_socket;
        int m_accepted = -1;
        sockaddr_in m_address {};
    };

    class RawSocket {
    public:
        explicit RawSocket(uint16_t port)
            : m_socket(socket(AF_INET, SOCK_STREAM, 0))
        {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            EXPECT_EQ(connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        }

        ~RawSocket() { close(m_socket); }

        void write(const std::string& bytes) const { ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

        void endWriting() const { shutdown(m_socket, SHUT_WR); }

        // Reads until the other side closes.
        void drain() const
        {
            char buffer[256];
            while (::read(m_socket, buffer, sizeof(buffer)) > 0) { }
        }

    private:
        int m_socket;
    };

}

TEST(Transport, HelloReturnsNodeInfo)
{
    auto node = startNode(nodeNamed("n1", 7));
    auto peer = startNode(nodeNamed("n2", 8));
    EXPECT_NE(peer->self().peerAddress.port, 0);
    EXPECT_EQ(node->hello(peer->self().peerAddress, testTimeout).value(), peer->self());
}

RC_GTEST_PROP(Transport, DeliversEachKindOfSlotMessage, ())
{
    static Inbox inbox;
    static auto receiver = startNode(nodeNamed("n1", 7), { inbox.receiver(), {}, {}, {} });
    static auto sender = startNode(nodeNamed("n2", 8));
    auto messages = oneMessageOfEachKind();
    RC_ASSERT(messages.size() == std::variant_size_v<SlotMessage>);
    for (const SlotMessage& message : messages)
        sender->send(receiver->self(), message);
    auto received = inbox.waitFor(messages.size());
    RC_ASSERT(received.size() == messages.size());
    for (size_t i = 0; i < messages.size(); ++i)
        RC_ASSERT(isSameMessage(messages[i], received[i]));
}

RC_GTEST_PROP(Codec, GossipRoundTripKeepsAllFields, ())
{
    GossipMessage message;
    message.zone = *anyText();
    message.complete = *rc::gen::arbitrary<bool>();
    message.zones.push_back({ *anyText(), *rc::gen::arbitrary<uint64_t>(), { 1, 2, 65535 }, {} });
    message.zones.push_back({ *anyText(), 0, {}, { { *rc::gen::arbitrary<uint64_t>(), 3 } } });
    message.wanted = *rc::gen::arbitrary<std::vector<uint64_t>>();
    message.unknown = *rc::gen::arbitrary<std::vector<uint64_t>>();
    message.updates.push_back(anyDigest());
    auto decoded = decodeGossip(encode(message));
    // The encoding omits all node fields but the incarnation if the name is empty.
    if (message.updates[0].node.id.name.empty())
        message.updates[0].node = { { {}, message.updates[0].node.id.incarnation }, {}, {}, {} };
    RC_ASSERT(fields(decoded.value()) == fields(message));
}

RC_GTEST_PROP(Codec, DamagedGossipIsRejectedOrDecoded, (const std::vector<unsigned char>& bytes))
{
    GossipMessage message { "howrah", true, {}, { 1 }, {}, { anyDigest() } };
    auto damaged = encode(message);
    for (size_t i = 0; i + 1 < bytes.size(); i += 2)
        damaged[bytes[i] % damaged.size()] = bytes[i + 1];
    damaged.resize(*rc::gen::inRange<size_t>(0, damaged.size() + 1));
    auto outcome = settle([&] { return decodeGossip(damaged); });
    if (const Error* error = std::get_if<Error>(&outcome))
        RC_ASSERT((error->code == ErrorCode::Malformed || error->code == ErrorCode::InvalidArgument));
}

// Guards against a stored answer being given to a caller whose status or content type no answer may have.
TEST(Transport, TakesNoBrokenAnswerOfANode)
{
    StoredAnswer answer { StoredAnswer::Phase::Finished, 200, "text/plain", "body" };
    PeerHandlers handlers;
    handlers.storedAnswer = [&](const std::string&) { return answer; };
    auto peer = startNode(nodeNamed("n1", 7), handlers);
    auto node = startNode(nodeNamed("n2", 8));
    auto fetch = [&] { return settle([&] { return node->fetchAnswer(peer->self().peerAddress, "k1", testTimeout); }); };
    EXPECT_EQ(fetch().index(), 0U);
    for (int status : { 0, 1, 99, 100, 101, 199, 600, 999, -200 }) {
        answer.status = status;
        auto fetched = fetch();
        auto* error = std::get_if<Error>(&fetched);
        ASSERT_TRUE(error) << status;
        EXPECT_EQ(error->code, ErrorCode::Malformed);
    }
    answer = { StoredAnswer::Phase::Finished, 200, "text/plain\r\nOther: field", "body" };
    EXPECT_EQ(fetch().index(), 1U);
    answer = { StoredAnswer::Phase::Running, 0, "", "" };
    EXPECT_EQ(fetch().index(), 0U) << "it has no status yet";
}

TEST(Transport, PassesCallsToHandlers)
{
    PeerHandlers handlers;
    handlers.storedAnswer = [](const std::string& key) {
        return StoredAnswer { StoredAnswer::Phase::Finished, 200, "text/plain", key + std::string("\0!", 2) };
    };
    handlers.acceptedText = [] { return AcceptedText { 41, "services" }; };
    handlers.exchangeDigests = [](const GossipMessage& message) {
        GossipMessage reply = message;
        reply.wanted.push_back(99);
        return reply;
    };
    auto peer = startNode(nodeNamed("n1", 7), handlers);
    auto node = startNode(nodeNamed("n2", 8));
    const Address& address = peer->self().peerAddress;
    auto answer = node->fetchAnswer(address, "k1", testTimeout).value();
    EXPECT_EQ(answer.phase, StoredAnswer::Phase::Finished);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.contentType, "text/plain");
    EXPECT_EQ(answer.body, std::string("k1\0!", 4));
    auto accepted = node->fetchAcceptedText(address, testTimeout).value();
    EXPECT_EQ(accepted.version, 41u);
    EXPECT_EQ(accepted.text, "services");
    auto reply = node->exchange(address, { "howrah", false, {}, { 5 }, {}, {} }, testTimeout).value();
    EXPECT_EQ(reply.wanted, (std::vector<uint64_t> { 5, 99 }));
}

// A handler may send on the RPC thread. A blocking call on that thread must return an error instead of deadlocking.
TEST(Transport, HandlersMaySendButNotBlock)
{
    Inbox inbox;
    auto asker = startNode(nodeNamed("asker", 1), { inbox.receiver(), {}, {}, {} });
    NodeTransport* echo = nullptr;
    std::atomic<ErrorCode> blocked = ErrorCode::Timeout;
    PeerHandlers handlers;
    handlers.deliverSlotMessage = [&](const SlotMessage& message) {
        blocked = codeOf([&] { return echo->hello(asker->self().peerAddress, testTimeout); });
        echo->send(asker->self(), message);
    };
    auto owned = startNode(nodeNamed("echo", 2), handlers);
    echo = owned.get();
    asker->send(owned->self(), RecordReply { 3, 4, 5, true });
    auto received = inbox.waitFor(1);
    ASSERT_EQ(received.size(), 1u);
    EXPECT_TRUE(isSameMessage(received[0], RecordReply { 3, 4, 5, true }));
    EXPECT_EQ(blocked, ErrorCode::Internal);
}

TEST(Transport, DeadPeerIsUnreachable)
{
    auto node = startNode(nodeNamed("n1", 1));
    auto gone = startNode(nodeNamed("n2", 2));
    NodeInfo target = gone->self();
    EXPECT_EQ(node->hello(target.peerAddress, testTimeout).value(), target);
    gone.reset();
    // The first call may still be sent on the old connection. After it, nothing can be sent.
    ErrorCode first = codeOf([&] { return node->hello(target.peerAddress, testTimeout); });
    EXPECT_TRUE(first == ErrorCode::Unreachable || first == ErrorCode::BrokenOff);
    EXPECT_EQ(codeOf([&] { return node->hello(target.peerAddress, testTimeout); }), ErrorCode::Unreachable);
    EXPECT_EQ(codeOf([&] { return node->fetchAnswer(target.peerAddress, "k", testTimeout); }), ErrorCode::Unreachable);
}

TEST(Transport, RestartAtTheSameAddressIsANewIncarnation)
{
    Inbox inbox;
    auto node = startNode(nodeNamed("n1", 1));
    auto old = startNode(nodeNamed("n2", 2));
    NodeInfo before = old->self();
    EXPECT_EQ(node->hello(before.peerAddress, testTimeout).value().id.incarnation, 2u);
    old.reset();
    auto restarted = startNode(nodeNamed("n2", 3, before.peerAddress.port), { inbox.receiver(), {}, {}, {} });
    // The first call may fail because the old connection is being closed.
    auto first = settle([&] { return node->hello(before.peerAddress, testTimeout); });
    const Error* error = std::get_if<Error>(&first);
    EXPECT_TRUE(!error || error->code == ErrorCode::BrokenOff);
    EXPECT_EQ(node->hello(before.peerAddress, testTimeout).value().id.incarnation, 3u);
    // A message for the old incarnation is dropped by the new one.
    node->send(before, RecordReply { 1, 1, 1, true });
    node->send(restarted->self(), RecordReply { 2, 2, 2, true });
    auto received = inbox.waitFor(1);
    ASSERT_EQ(received.size(), 1u);
    EXPECT_TRUE(isSameMessage(received[0], RecordReply { 2, 2, 2, true }));
    // An indirect probe for the old incarnation reports that it was not reached.
    auto third = startNode(nodeNamed("n3", 4));
    EXPECT_FALSE(node->probeThrough(third->self().peerAddress, before, testTimeout).value());
    EXPECT_TRUE(node->probeThrough(third->self().peerAddress, restarted->self(), testTimeout).value());
}

TEST(Transport, SilentPeerCausesTimeoutAfterSending)
{
    SilentListener listener;
    auto node = startNode(nodeNamed("n1", 1));
    EXPECT_EQ(codeOf([&] { return node->hello(listener.address(), Milliseconds(300)); }), ErrorCode::Timeout);
}

RC_GTEST_PROP(Transport, InvalidBytesCloseOnlyTheConnection, (const std::string& garbage))
{
    static auto peer = startNode(nodeNamed("n1", 7));
    static auto node = startNode(nodeNamed("n2", 8));
    RawSocket socket(peer->self().peerAddress.port);
    socket.write(garbage);
    socket.endWriting();
    socket.drain();
    RC_ASSERT(node->hello(peer->self().peerAddress, testTimeout).value() == peer->self());
}

// A message header announces a size far above the limit. The connection must be closed without waiting for the data.
TEST(Transport, OversizedMessageClosesConnection)
{
    auto peer = startNode(nodeNamed("n1", 7));
    RawSocket socket(peer->self().peerAddress.port);
    const std::string oneHugeSegment("\0\0\0\0\xff\xff\xff\x7f", 8);
    socket.write(oneHugeSegment);
    socket.drain();
    auto node = startNode(nodeNamed("n2", 8));
    EXPECT_EQ(node->hello(peer->self().peerAddress, testTimeout).value(), peer->self());
}

TEST(Transport, RejectsHostNamesAndPortsInUse)
{
    auto node = startNode(nodeNamed("n1", 7));
    EXPECT_EQ(codeOf([&] { return node->hello({ "localhost", 80 }, testTimeout); }), ErrorCode::InvalidArgument);
    NodeInfo taken = nodeNamed("n2", 8, node->self().peerAddress.port);
    EXPECT_EQ(codeOf([&] { return NodeTransport::start(taken, {}); }), ErrorCode::InvalidArgument);
}

// The backlog of a peer that does not read is limited. Further messages are dropped and counted.
TEST(Transport, BacklogOfSilentPeerIsBounded)
{
    constexpr uint64_t messages = 5000;
    SilentListener listener;
    auto node = startNode(nodeNamed("n1", 1));
    auto other = startNode(nodeNamed("n2", 2));
    for (uint64_t i = 0; i < messages; ++i)
        node->send({ {}, {}, listener.address(), {} }, RecordReply { 1, 1, i, true });
    // Tasks run in order, so all sends have been processed when this call returns.
    EXPECT_EQ(node->hello(other->self().peerAddress, testTimeout).value(), other->self());
    EXPECT_GT(node->droppedSends(), messages / 2);
    EXPECT_LT(node->droppedSends(), messages);
}

// Calls in flight must fail with ShuttingDown when the transport is destroyed.
TEST(Transport, ShutdownFailsCallsInFlight)
{
    SilentListener listener;
    auto node = startNode(nodeNamed("n1", 1));
    ErrorCode code {};
    std::thread waiting([&] { code = codeOf([&] { return node->hello(listener.address(), testTimeout); }); });
    listener.waitForBytes();
    node.reset();
    waiting.join();
    EXPECT_EQ(code, ErrorCode::ShuttingDown);
}

} // namespace Kumquatpick
