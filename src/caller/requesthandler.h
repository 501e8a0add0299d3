#pragma once

#include "backend/call.h"
#include "backend/directory.h"
#include "caller/abandoned.h"
#include "caller/answers.h"
#include "caller/connection.h"
#include "caller/dependencies.h"
#include "caller/recentrequests.h"
#include "caller/refusal.h"
#include "caller/request.h"
#include "caller/requesttrace.h"
#include "caller/ssestream.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// State shared by all requests of a server.
struct ServerContext {
    const CallerSettings& settings;
    CallerDependencies& dependencies;
    AnswerStore answers;
    AbandonedArrivals abandoned {};
    RecentRequests recent;
    std::atomic<bool> stopping { false };
    std::atomic<uint32_t> inFlight { 0 };
    std::atomic<uint64_t> lastSerial { 0 };
};

// Random number generator of this thread, for request and span ids.
Random& threadRandom();

RefusalType admissionRefusal(AdmissionVerdict);
std::string_view permitText(PermitAnswer);

// Serves one arrival of a request, from parsing to its outcome. Used by one thread; owned by the response while that
// is written.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    RequestHandler(ServerContext&, const httplib::Request&, const RequestLine&);
    ~RequestHandler();
    RequestHandler(const RequestHandler&) = delete;
    RequestHandler& operator=(const RequestHandler&) = delete;

    // Runs the steps of the request and prepares the response.
    void serve(httplib::Response&);
    // Refuses a request that could not be read completely.
    void refuseUnread(Refusal, httplib::Response&);

private:
    // How a step ends the request: with a refusal or with a stored answer.
    using Ending = std::variant<Refusal, StoredAnswer>;
    using StepResult = std::optional<Ending>;
    using StepFunction = StepResult (RequestHandler::*)();

    // serve.cpp: the steps of a request, in this order.
    static const StepFunction steps[];
    StepResult parse();
    StepResult checkResend();
    StepResult findService();
    StepResult checkPoison();
    StepResult admit();
    StepResult acquirePermit();
    StepResult dispatch();

    // dispatch.cpp: tries replicas until one has begun its answer.
    std::optional<ReplicaView> chooseReplica();
    Result<void> tryReplica(const ReplicaView&);
    BackendRequest backendRequest(const ReplicaView&, const RequestTrace::Hop&) const;
    Result<void> startCall(BackendRequest);
    Result<void> waitForBackend();
    Result<void> readHead();
    Result<void> readBeginning();
    void recordBackendFailure(const Error&);
    bool canRetry(const Error&);
    Refusal dispatchRefusal(const Error&) const;
    Refusal noReplica() const;

    // stream.cpp: sends the answer to the caller.
    Result<void> readPiece();
    bool isStreamComplete() const;
    void storeForResend(std::string_view);
    void respondWhole(httplib::Response&);
    void respondStreaming(httplib::Response&);
    bool sendNextPiece(httplib::DataSink&);
    bool sendUnsent(httplib::DataSink&);
    bool endBrokenStream(httplib::DataSink&, const Error&);
    void handleDisconnect();
    bool finishesForResend() const;
    bool readRestForResend();

    // outcome.cpp: determines the outcome and writes it to the response.
    void end(Ending, httplib::Response&);
    Ending confirmNotRun(Refusal);
    Ending resolvePermitDenial(const PermitOutcome&);
    Ending fetchHolderAnswer(const JournalEntry&);
    Ending resolveOwnArrival(const JournalEntry&);
    Refusal refusal(Outcome, RefusalType, Step, std::string message) const;
    Refusal voidedRefusal(const JournalEntry&) const;
    Refusal expiredRefusal() const;
    void respondRefused(const Refusal&, httplib::Response&);
    void respondStored(const StoredAnswer&, httplib::Response&);
    void setHeaders(Outcome, httplib::Response&) const;
    void completeAnswer();
    void recordRefusal(const Refusal&);
    void finish(std::string_view outcome, std::string_view type, bool failed);

    bool isKeyed() const { return m_identity.key && !m_identity.repeatable; }
    AnswerKey answerKey() const { return { m_request.key.key, m_request.fingerprint, m_request.team }; }

    ServerContext& m_context;
    CallerDependencies& m_dependencies;
    const RequestLine& m_line;
    const httplib::Request& m_httpRequest;
    CallerConnection* m_connection;
    MonotonicTime m_arrivedAt;
    ArrivalId m_arrivalId;
    RequestIdentity m_identity;
    CallerRequest m_request;
    MonotonicTime m_deadline {};
    std::shared_ptr<const OperatorConfig> m_text;
    std::shared_ptr<RequestTrace> m_trace;

    bool m_isKeyReserved = false; // The key is reserved in the answer store.
    bool m_admitted = false;
    bool m_anyTrySent = false; // A try may have reached a backend server.
    bool m_isFinished = false; // The outcome is final and counted in the metrics.
    MonotonicTime m_admittedAt {};
    uint64_t m_poisonFingerprint = 0;

    std::vector<std::string> m_triedReplicas;
    ReplicaView m_replica; // The replica that is serving the request; its name is empty if there is none.
    MonotonicTime m_dispatchedAt {};
    bool m_latestTrySent = false; // The latest try may have reached its backend server.
    std::unique_ptr<BackendCall> m_call;
    BackendResponseHead m_head;
    std::optional<RequestTrace::Hop> m_streamHop;
    std::optional<SseStream> m_eventStream; // Set if the answer is an event stream.
    std::string m_unsentBody; // Part of the body that was read but not yet sent to the caller.
    bool m_bodyEnded = false;
    bool m_isStoringBody = false; // The body is being stored for resends.
    std::string m_storedBody;
};

} // namespace Kumquatpick
