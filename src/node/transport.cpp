#include "node/transport.h"

#include "base/logline.h"
#include "base/responsehead.h"
#include "node/codec.h"
#include "node/nodeserver.h"
#include "node/pendingcall.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr size_t maxQueuedTasks = 1 << 16;
    constexpr Milliseconds sendTimeout { 5000 };

    // Writes Cap'n Proto's own messages to the application log.
    class LibraryLog : public kj::ExceptionCallback {
    public:
        void logMessage(kj::LogSeverity, const char*, int, int, kj::String&& text) override
        {
            logLine(LogLevel::Warning, "rpc", { { "detail", text.cStr() } });
        }
    };

    // Objects that are used only on the event loop's thread.
    struct EventLoop : private kj::TaskSet::ErrorHandler {
        EventLoop(kj::AsyncIoContext& io)
            : timer(io.provider->getTimer())
            , connections(io.provider->getNetwork(), timer)
            , tasks(*this)
        {
        }

        void taskFailed(kj::Exception&&) override { }

        kj::Timer& timer;
        PeerConnections connections;
        kj::TaskSet tasks;
    };

    StoredAnswer::Phase fromWire(Rpc::AnswerPhase phase)
    {
        switch (phase) {
        case Rpc::AnswerPhase::RUNNING:
            return StoredAnswer::Phase::Running;
        case Rpc::AnswerPhase::FINISHED:
            return StoredAnswer::Phase::Finished;
        case Rpc::AnswerPhase::UNKNOWN:
            break;
        }
        return StoredAnswer::Phase::Unknown;
    }

    // A finished answer goes to a caller as it is.
    std::variant<StoredAnswer, Error> readAnswer(Rpc::StoredAnswer::Reader in)
    {
        StoredAnswer answer;
        answer.phase = fromWire(in.getPhase());
        answer.status = in.getStatus();
        answer.contentType = in.getContentType().cStr();
        auto body = in.getBody();
        answer.body.assign(reinterpret_cast<const char*>(body.begin()), body.size());
        bool isSound = isFinalStatus(static_cast<unsigned>(answer.status)) && isFieldValue(answer.contentType);
        if (answer.phase == StoredAnswer::Phase::Finished && !isSound)
            return Error { ErrorCode::Malformed, Step::Answer, {},
                fmt::format("no answer has status {} with this content type", answer.status) };
        return answer;
    }

    ErrorCode codeOf(const kj::Exception& exception, bool sent)
    {
        if (!sent)
            return ErrorCode::Unreachable;
        switch (exception.getType()) {
        case kj::Exception::Type::DISCONNECTED:
            return ErrorCode::BrokenOff;
        case kj::Exception::Type::OVERLOADED:
            return ErrorCode::Overloaded;
        default:
            return ErrorCode::Refused;
        }
    }

    class RpcTransport final : public NodeTransport {
    public:
        explicit RpcTransport(PeerHandlers handlers)
            : m_handlers(std::move(handlers))
        {
        }

        ~RpcTransport() noexcept override
        {
            stop();
            if (m_thread.joinable())
                m_thread.join();
        }

        Result<void> open(const NodeInfo& self)
        {
            if (auto parsed = settle([&] { return Address::parse(self.peerAddress.toString()); });
                std::holds_alternative<Error>(parsed))
                return fail(std::get<Error>(std::move(parsed)));
            std::promise<std::variant<NodeInfo, Error>> opened;
            auto outcome = opened.get_future();
            m_thread = std::thread([this, self, &opened] { run(self, opened); });
            auto bound = outcome.get();
            if (Error* error = std::get_if<Error>(&bound))
                return fail(std::move(*error));
            m_self = std::get<NodeInfo>(std::move(bound));
            return {};
        }

        const NodeInfo& self() const override { return m_self; }
        uint64_t droppedSends() const override { return m_droppedSends; }

        void send(const NodeInfo& to, const SlotMessage& message) override
        {
            bool queued = post([this, to, message](EventLoop& loop) { deliver(loop, to, message); });
            if (!queued)
                ++m_droppedSends;
        }

        Result<NodeInfo> hello(const Address& peer, Milliseconds timeout) override
        {
            return call<NodeInfo>(peer, Step::Probe, timeout, [](Rpc::Node::Client& node) {
                return node.helloRequest().send().then(
                    [](auto&& response) { return settle([&] { return read(response.getNode()); }); });
            });
        }

        // The peer gets a shorter time-out than the call, so that a negative answer arrives before the call ends.
        Result<bool> probeThrough(const Address& peer, const NodeInfo& target, Milliseconds timeout) override
        {
            auto peerTimeoutMs = static_cast<uint32_t>(std::max<int64_t>(timeout.count() * 2 / 3, 1));
            return call<bool>(peer, Step::Probe, timeout, [target, peerTimeoutMs](Rpc::Node::Client& node) {
                auto request = node.probeRequest();
                request.setAddress(target.peerAddress.toString().c_str());
                request.setIncarnation(target.id.incarnation);
                request.setTimeoutMs(peerTimeoutMs);
                return request.send().then(
                    [](auto&& response) { return std::variant<bool, Error>(response.getReached()); });
            });
        }

        Result<StoredAnswer> fetchAnswer(const Address& peer, const std::string& key, Milliseconds timeout) override
        {
            return call<StoredAnswer>(peer, Step::Answer, timeout, [key](Rpc::Node::Client& node) {
                auto request = node.fetchAnswerRequest();
                request.setKey({ key.c_str(), key.size() });
                return request.send().then([](auto&& response) { return readAnswer(response.getAnswer()); });
            });
        }

        Result<GossipMessage> exchange(const Address& peer, const GossipMessage& message, Milliseconds timeout) override
        {
            return call<GossipMessage>(peer, Step::Gossip, timeout, [bytes = encode(message)](Rpc::Node::Client& node) {
                auto request = node.exchangeRequest();
                request.setMessage({ bytes.data(), bytes.size() });
                return request.send().then([](auto&& response) {
                    auto reply = response.getMessage();
                    return settle([&] { return decodeGossip({ reply.begin(), reply.size() }); });
                });
            });
        }

        Result<AcceptedText> fetchAcceptedText(const Address& peer, Milliseconds timeout) override
        {
            return call<AcceptedText>(peer, Step::Gossip, timeout, [](Rpc::Node::Client& node) {
                return node.acceptedTextRequest().send().then([](auto&& response) {
                    return std::variant<AcceptedText, Error>(
                        AcceptedText { response.getVersion(), response.getText().cStr() });
                });
            });
        }

    private:
        using Task = std::function<void(EventLoop&)>;

        // Queues a task for the event loop. Returns false if the transport is stopping or the queue is full.
        bool post(Task task)
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping || m_queue.size() >= maxQueuedTasks)
                return false;
            m_queue.push_back(std::move(task));
            wake();
            return true;
        }

        void stop()
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
            wake();
        }

        // The caller must hold m_mutex.
        void wake()
        {
            if (m_wake)
                m_wake->fulfill();
            m_wake = nullptr;
        }

        void run(NodeInfo self, std::promise<std::variant<NodeInfo, Error>>& opened)
        {
            LibraryLog log;
            auto io = kj::setupAsyncIo();
            EventLoop loop(io);
            kj::Maybe<PeerListener> listener;
            auto failure = kj::runCatchingExceptions([&] { listen(self, io, loop, listener); });
            KJ_IF_MAYBE (exception, failure) {
                opened.set_value(Error { ErrorCode::InvalidArgument, Step::Settings, self.peerAddress.toString(),
                    exception->getDescription().cStr() });
                return;
            }
            opened.set_value(self);
            while (runQueuedTasks(loop, io.waitScope)) { }
        }

        void listen(NodeInfo& self, kj::AsyncIoContext& io, EventLoop& loop, kj::Maybe<PeerListener>& listener)
        {
            auto text = kj::heapString(self.peerAddress.toString().c_str());
            auto address = io.provider->getNetwork().parseAddress(text).wait(io.waitScope);
            auto receiver = address->listen();
            self.peerAddress.port = static_cast<uint16_t>(receiver->getPort());
            auto server = kj::heap<NodeServer>(self, m_handlers, loop.connections, loop.timer);
            listener.emplace(kj::mv(receiver), Rpc::Node::Client(kj::mv(server)), loop.timer);
        }

        // Runs the event loop after each batch of tasks, so that a steady flow of tasks cannot starve socket I/O.
        bool runQueuedTasks(EventLoop& loop, kj::WaitScope& waitScope)
        {
            auto next = kj::newPromiseAndCrossThreadFulfiller<void>();
            std::deque<Task> tasks;
            {
                std::lock_guard lock(m_mutex);
                if (m_stopping)
                    return false;
                tasks.swap(m_queue);
                m_wake = kj::mv(next.fulfiller);
            }
            for (Task& task : tasks)
                task(loop);
            next.promise.wait(waitScope);
            return true;
        }

        template <typename Value, typename Start>
        Result<Value> call(const Address& peer, Step step, Milliseconds timeout, Start start)
        {
            Error where { ErrorCode::Internal, step, peer.toString(), {} };
            BOOST_LEAF_CHECK(Address::parse(where.peer));
            if (std::this_thread::get_id() == m_thread.get_id()) {
                where.detail = "blocking call made on the RPC thread";
                return fail(where);
            }
            auto pending = std::make_shared<PendingCall<Value>>();
            auto sender = std::make_shared<typename PendingCall<Value>::Sender>(pending);
            bool queued = post([this, peer, timeout, where, sender, start = std::move(start)](
                                   EventLoop& loop) { runCall<Value>(loop, peer, timeout, where, sender, start); });
            if (!queued)
                return fail({ ErrorCode::ShuttingDown, step, where.peer, "transport stopping or its queue full" });
            sender.reset();
            auto outcome = pending->wait(timeout, where);
            if (Error* error = std::get_if<Error>(&outcome))
                return fail(std::move(*error));
            return std::get<Value>(std::move(outcome));
        }

        template <typename Value, typename Start>
        void runCall(EventLoop& loop, const Address& peer, Milliseconds timeout, const Error& where,
            const std::shared_ptr<typename PendingCall<Value>::Sender>& sender, const Start& start)
        {
            // Probes have to detect a restarted peer at once. Other calls fail until the backoff has ended.
            auto backoffMode = where.step == Step::Probe ? PeerConnections::BackoffMode::IgnoreBackoff
                                                         : PeerConnections::BackoffMode::RespectBackoff;
            MonotonicTime startedAt = monotonicNow();
            kj::Promise<void> answered
                = loop.connections.connect(peer, backoffMode)
                      .then([sender, start](const std::shared_ptr<PeerConnection>& connection) -> kj::Promise<void> {
                          if (!sender->beginSending())
                              return kj::READY_NOW;
                          return start(connection->node)
                              .then([sender, connection](std::variant<Value, Error>&& outcome) {
                                  connection->lastReceivedAt = monotonicNow();
                                  sender->settle(std::move(outcome));
                              });
                      });
            kj::Promise<void> timedOut
                = loop.timer.afterDelay(timeout.count() * kj::MILLISECONDS).then([&loop, peer, startedAt] {
                      loop.connections.dropIfSilentSince(peer, startedAt);
                  });
            loop.tasks.add(answered.exclusiveJoin(kj::mv(timedOut)).catch_([sender, where](kj::Exception&& exception) {
                Error error = where;
                error.code = codeOf(exception, sender->sent());
                error.detail = exception.getDescription().cStr();
                sender->settle(std::move(error));
            }));
        }

        void deliver(EventLoop& loop, const NodeInfo& to, const SlotMessage& message)
        {
            const Address& peer = to.peerAddress;
            if (!loop.connections.enterBacklog(peer)) {
                ++m_droppedSends;
                return;
            }
            MonotonicTime startedAt = monotonicNow();
            kj::Promise<void> delivered = loop.connections.connect(peer, PeerConnections::BackoffMode::RespectBackoff)
                                              .then([incarnation = to.id.incarnation, message](
                                                        const std::shared_ptr<PeerConnection>& connection) {
                                                  auto request = connection->node.deliverRequest();
                                                  request.setIncarnation(incarnation);
                                                  write(request.initMessage(), message);
                                                  return request.send().ignoreResult().then(
                                                      [connection] { connection->lastReceivedAt = monotonicNow(); });
                                              });
            kj::Promise<void> timedOut
                = loop.timer.afterDelay(sendTimeout.count() * kj::MILLISECONDS).then([&loop, peer, startedAt] {
                      loop.connections.dropIfSilentSince(peer, startedAt);
                  });
            loop.tasks.add(delivered.exclusiveJoin(kj::mv(timedOut))
                               .catch_([this](kj::Exception&&) { ++m_droppedSends; })
                               .then([&loop, peer] { loop.connections.leaveBacklog(peer); }));
        }

        const PeerHandlers m_handlers;
        NodeInfo m_self;
        std::atomic<uint64_t> m_droppedSends = 0;
        std::mutex m_mutex;
        std::deque<Task> m_queue;
        kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake;
        bool m_stopping = false;
        std::thread m_thread;
    };

}

Result<std::unique_ptr<NodeTransport>> NodeTransport::start(const NodeInfo& self, PeerHandlers handlers)
{
    auto transport = std::make_unique<RpcTransport>(std::move(handlers));
    BOOST_LEAF_CHECK(transport->open(self));
    return std::unique_ptr<NodeTransport>(std::move(transport));
}

} // namespace Kumquatpick
