#pragma once

#include "gateway/activecall.h"
#include "gateway/call.h"
#include "gateway/context.h"
#include "gateway/eventstream.h"
#include "gateway/http.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

// Takes one call from its first byte of body to its one final answer: finds its route and team, sends it to a backend
// server, and to another one where that can do no harm, and hands the answer back. Lives as long as the call.
//
// Two facts decide everything that may be said: whether some send may have run the call, and whether the caller has
// the head of an answer. A refusal that promises "not run" is only given while the first is false.
class CallForwarder {
public:
    CallForwarder(GatewayContext&, beast::tcp_stream& caller, Call, bool keepAlive);
    ~CallForwarder();
    CallForwarder(const CallForwarder&) = delete;
    CallForwarder& operator=(const CallForwarder&) = delete;

    // Whether the caller's connection may carry another request.
    asio::awaitable<bool> run();
    const std::shared_ptr<ActiveCall>& active() const { return m_active; }

private:
    enum class SendOutcome : uint8_t {
        Answered, // The whole answer is with the caller.
        NotRun, // Nothing reached a backend server, or it promised not to run it.
        Unusable, // Its answer can't be given to the caller, or is a failure that another server may not repeat.
        Broken, // The connection ended, or the replica stands still, before the answer was whole.
        CallerBroken, // The caller's connection failed.
    };
    using BodyParser = http::response_parser<http::buffer_body>;

    // What to do with it.
    bool findRoute();
    bool checkKey();
    void startClock();
    bool cameBack();
    int priority() const;
    MonotonicTime waitsForHostUntil() const;
    bool chooseHost(MonotonicTime now);
    asio::awaitable<bool> awaitHost();
    bool mayTryAgain(SendOutcome, MonotonicTime now);
    Milliseconds patienceLeft() const;
    bool mayRepeat() const { return m_route->idempotent || m_route->resumable; }

    // One send.
    asio::awaitable<SendOutcome> sendOnce();
    asio::awaitable<SendOutcome> sendOver(PeerConnection&);
    asio::awaitable<SendOutcome> readReply(PeerConnection&);
    asio::awaitable<bool> readOwnHead(PeerConnection&, std::unique_ptr<BodyParser>&, Reply&);
    // What the backend server says of itself beside its answer.
    void noteServer(const Reply&);
    void noteDraining(const Reply&);
    void noteBackoff(const Reply&);
    void noteLimit(const Reply&);
    asio::awaitable<bool> readBody(PeerConnection&, BodyParser&, std::string& body);
    asio::awaitable<SendOutcome> passStream(PeerConnection&, BodyParser&);
    asio::awaitable<bool> writeEvents(const ResponseHead&, std::string events);
    asio::awaitable<SendOutcome> passWhole(const ResponseHead&, const Reply&, std::string body);

    // The final answer.
    asio::awaitable<void> answer(HttpResponse);
    asio::awaitable<void> answerFailed();
    HttpResponse refusal(http::status, std::string_view reason, std::optional<Milliseconds> retryAfter = {});
    HttpResponse notConfigured(http::status, std::string_view reason);
    Milliseconds comeBackIn();
    void finish(std::string_view outcome, std::string_view reason);

    GatewayContext& m_context;
    beast::tcp_stream& m_caller;
    Call m_call;
    bool m_keepAlive;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
    const TeamSpec* m_team = nullptr;
    std::string m_service;
    bool m_servesModels = false;
    bool m_cameBack = false; // It was refused before, as its patience tells.
    MonotonicTime m_arrived;
    MonotonicTime m_deadline;
    std::shared_ptr<ActiveCall> m_active;
    EventStream m_events;

    std::string m_hostId; // Of the present send.
    MonotonicTime m_sentAt {}; // Likewise.
    std::vector<std::string> m_tried;
    uint32_t m_sends = 0;
    uint32_t m_runs = 0; // Sends that may have run it.
    bool m_hasArrived = false; // The latest send had a connection.
    uint32_t m_inFlightBefore = 0; // At the host of the latest send, over all nodes as known here.
    bool m_mayReuseConnection = false; // After a refusal.
    SendEnd m_sendEnd = SendEnd::NotTaken; // How the present send ended, for the balancer.
    bool m_headPassed = false;
    std::optional<MonotonicTime> m_firstEventAt;
    std::optional<HttpResponse> m_lastFailure; // A backend server's own failure, to be given if nothing better comes.
    std::string m_lastProblem;
    bool m_isFinished = false;
};

} // namespace Kumquatpick
