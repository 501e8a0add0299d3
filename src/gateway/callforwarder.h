#pragma once

#include "gateway/activecall.h"
#include "gateway/call.h"
#include "gateway/context.h"
#include "gateway/eventstream.h"
#include "gateway/http.h"
#include "gateway/responsereader.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

class ClientShare;
enum class AnswerFault : uint8_t;
enum class HeldPart : uint8_t;

// Handles one call until its final response: finds its route and team, sends it to a backend server, sends it to
// another one where that is safe, and returns the response. Lives as long as the call.
//
// Two facts determine which responses are allowed: whether any send may have run the call, and whether the caller has
// received a response head. A refusal that guarantees "not run" is only sent while no send may have run the call.
class CallForwarder {
public:
    CallForwarder(GatewayContext&, beast::tcp_stream& caller, ClientShare&, Call, bool keepAlive);
    ~CallForwarder();
    CallForwarder(const CallForwarder&) = delete;
    CallForwarder& operator=(const CallForwarder&) = delete;

    // Returns whether the caller's connection may carry another request.
    asio::awaitable<bool> run();
    // Gives the caller its final answer after an exception ended run().
    asio::awaitable<void> respondAfterException(std::string_view problem);
    const std::shared_ptr<ActiveCall>& active() const { return m_active; }

private:
    enum class SendOutcome : uint8_t {
        Answered, // The complete response was sent to the caller.
        NotRun, // The request reached no backend server, or the server guarantees that it will not run it.
        Unusable, // The response cannot be forwarded, or reports a failure that another server may not have.
        Broken, // The connection was closed, or the replica stalled, before the response was complete.
        CallerBroken, // The caller's connection failed.
    };

    // Routing and scheduling of the call.
    bool findRoute();
    bool authenticateTeam();
    void startDeadlineTimer();
    bool fitsStop() const;
    bool isCallerRetry();
    int priority() const;
    MonotonicTime hostWaitDeadline() const;
    std::string chooseHost(MonotonicTime now, std::span<const std::string> excluded, bool hasStarted);
    bool isForecastUsed(bool hasStarted) const;
    bool isModelKnown() const;
    std::string chooseHostInTime(ChoiceRequest, MonotonicTime now);
    bool reserveOtherServer();
    void releaseReservation();
    asio::awaitable<bool> awaitHost();
    bool maySendAgain(SendOutcome, MonotonicTime now);
    bool mayRetry(MonotonicTime now);
    // Whether the request must not run now because servers ended while running it.
    bool isHeldAsSuspect();
    Milliseconds timeLeft() const;
    Milliseconds longestIdle() const;
    std::vector<std::string> hostsWithIdleConnection(MonotonicTime) const;
    bool mayRepeat() const { return m_route->idempotent || m_route->resumable; }

    // One send to a backend server.
    asio::awaitable<SendOutcome> sendOnce();
    asio::awaitable<SendOutcome> sendToServer();
    asio::awaitable<SendOutcome> sendOver(PeerConnection&);
    asio::awaitable<SendOutcome> readReply(PeerConnection&);
    asio::awaitable<bool> readMatchingHead(PeerConnection&, std::unique_ptr<ResponseParser>&, ReplyHead&);
    // Status that the backend server reports along with its response.
    void applyServerNotice(const ReplyHead&);
    void applyDrainingNotice(const ReplyHead&);
    void applyBackoffNotice(const ReplyHead&);
    void applyLimitNotice(const ReplyHead&);
    asio::awaitable<bool> readBody(PeerConnection&, ResponseParser&, std::string& body);
    asio::awaitable<SendOutcome> forwardStream(PeerConnection&, ResponseParser&);
    // Whether an answer that ended with its connection ended because its server did.
    asio::awaitable<bool> hasEndedWithServer();
    asio::awaitable<bool> writeEvents(const ResponseHead&, std::string events);
    void startForecast(const std::string& hostId, MonotonicTime now);
    void endForecast(const std::string& hostId, MonotonicTime now);
    void recordFirstEvent(MonotonicTime now);
    void recordData(); // A part of the answer arrived.
    void recordBackendError(std::string_view step, const beast::error_code&);
    void recordAnswerFault(AnswerFault, std::string_view step, std::string_view reason);
    asio::awaitable<void> recordRunEnd(SendOutcome, Address);
    asio::awaitable<SendOutcome> forwardResponse(const ResponseHead&, const ReplyHead&, std::string body);

    // One send through another node, which reaches the servers that this one does not.
    bool chooseNode();
    bool mayUseNode() const;
    asio::awaitable<SendOutcome> sendThroughNode();
    asio::awaitable<SendOutcome> readNodeReply(PeerConnection&);

    // Makes room for more memory of the caller's connection. Cancels the call if there is none.
    asio::awaitable<bool> reserve(HeldPart, size_t bytes);

    // The final response.
    asio::awaitable<void> respond(HttpResponse);
    asio::awaitable<void> respondWithFailure();
    HttpResponse refusalResponse(http::status, std::string_view reason, std::optional<Milliseconds> retryAfter = {});
    HttpResponse notConfiguredResponse(http::status, std::string_view reason);
    Milliseconds retryAfterDelay();
    void recordOutcome(std::string_view outcome, std::string_view reason);

    GatewayContext& m_context;
    beast::tcp_stream& m_caller;
    ClientShare& m_share; // Of the caller's connection.
    Call m_call;
    bool m_keepAlive;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
    const TeamSpec* m_team = nullptr;
    std::string m_service;
    RunSuspects m_suspects { 0 }; // The same for each attempt at this request, on each node.
    bool m_servesModels = false;
    bool m_isHeldAsSuspect = false;
    bool m_isCallerRetry = false; // Refused before, judged by its shorter timeout.
    MonotonicTime m_arrived;
    MonotonicTime m_deadline;
    std::shared_ptr<ActiveCall> m_active;
    EventStream m_eventStream;

    std::string m_hostId; // Host of the current send.
    MonotonicTime m_sentAt {}; // Time of the current send.
    std::vector<std::string> m_triedHostIds;
    std::string m_reservedHostId; // Counted as a send in flight there; empty if none is reserved.
    // A send was given up for another server, so the call waits for one until its deadline.
    bool m_hasLeftServer = false;
    bool m_needsRetry = false; // The next send counts as a retry.
    bool m_isServerReached = false; // A send got a connection to a server.
    uint32_t m_sends = 0;
    uint32_t m_possibleRuns = 0; // Sends that may have run the call.
    std::string m_node; // Address of the node for the current send; empty if it goes to a server directly.
    std::vector<std::string> m_triedNodes;
    std::optional<HttpResponse> m_nodeRefusal; // Returned as the final answer.
    bool m_hadConnection = false; // The latest send got a connection.
    uint32_t m_inFlightBefore = 0; // At the host of the latest send, over all nodes known here.
    uint64_t m_forecastedSend = 0; // Of the current send; 0 if there is no prediction or the first event has come.
    std::optional<ForecastedTime> m_forecast; // Of the latest send.
    bool m_isRefusedByForecast = false; // There are free places, but none where the call would be in time.
    bool m_mayReuseConnection = false; // Set after a refusal.
    bool m_hasSucceeded = false; // The current send got a complete and successful response.
    bool m_isEndMarked = true; // The length or the last chunk of the current send's response shows that it is complete.
    bool m_isClosedByServer = false; // The server closed the connection of the current send before its answer ended.
    SendResult m_sendEnd = SendResult::RefusedFull; // Result of the current send, for the balancer.
    bool m_headForwarded = false;
    std::optional<MonotonicTime> m_firstEventAt;
    // Failure reported by a backend server, returned if no later send succeeds.
    std::optional<HttpResponse> m_lastFailureResponse;
    std::string m_lastError;
    bool m_isLogged = false;
};

} // namespace Kumquatpick
