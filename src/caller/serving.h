#pragma once

#include "backend/call.h"
#include "backend/directory.h"
#include "caller/abandoned.h"
#include "caller/answers.h"
#include "caller/collaborators.h"
#include "caller/connection.h"
#include "caller/explain.h"
#include "caller/refusal.h"
#include "caller/request.h"
#include "caller/ssestream.h"
#include "caller/trail.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// State shared by all requests of a server.
struct ServeContext {
    const CallerSettings& settings;
    Collaborators& parts;
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
class Serving : public std::enable_shared_from_this<Serving> {
public:
    Serving(ServeContext&, const httplib::Request&, const RequestLine&);
    ~Serving();
    Serving(const Serving&) = delete;
    Serving& operator=(const Serving&) = delete;

    // Runs the steps of the request and prepares the response.
    void serve(httplib::Response&);
    // Refuses a request that could not be read completely.
    void refuseUnread(Refusal, httplib::Response&);

private:
    // How a step ends the request: with a refusal or with a stored answer.
    using Ending = std::variant<Refusal, StoredAnswer>;
    using StepResult = std::optional<Ending>;
    using StepFunction = StepResult (Serving::*)();

    // serve.cpp: the steps of a request, in this order.
    static const StepFunction steps[];
    StepResult parse();
    StepResult recogniseResend();
    StepResult findService();
    StepResult checkPoison();
    StepResult admit();
    StepResult takePermit();
    StepResult dispatch();

    // dispatch.cpp: tries replicas until one has begun its answer.
    std::optional<ReplicaView> chooseReplica();
    Result<void> tryReplica(const ReplicaView&);
    BackendRequest backendRequest(const ReplicaView&, const RequestTrail::Hop&) const;
    Result<void> startCall(BackendRequest);
    Result<void> awaitEngine();
    Result<void> readHead();
    Result<void> readBeginning();
    void noteFailure(const Error&);
    bool mayTryAgain(const Error&);
    Refusal dispatchRefusal(const Error&) const;
    Refusal noReplica() const;

    // stream.cpp: sends the answer to the caller.
    Result<void> readPiece();
    bool isWhole() const;
    void keep(std::string_view);
    void answerWhole(httplib::Response&);
    void answerStreaming(httplib::Response&);
    bool pump(httplib::DataSink&);
    bool passOn(httplib::DataSink&);
    bool breakStream(httplib::DataSink&, const Error&);
    void callerLeft();
    bool runsOnForResend() const;
    bool readRestForResend();

    // outcome.cpp: determines the outcome and writes it to the response.
    void end(Ending, httplib::Response&);
    Ending confirm(Refusal);
    Ending withoutPermit(const PermitOutcome&);
    Ending answerOfHolder(const JournalEntry&);
    Ending ownEarlierArrival(const JournalEntry&);
    Refusal refusal(Outcome, RefusalType, Step, std::string message) const;
    Refusal voided(const JournalEntry&) const;
    Refusal expired() const;
    void respondRefused(const Refusal&, httplib::Response&);
    void respondStored(const StoredAnswer&, httplib::Response&);
    void setHeaders(Outcome, httplib::Response&) const;
    void answeredWhole();
    void lost(const Refusal&);
    void finish(std::string_view outcome, std::string_view type, bool failed);

    bool isKeyed() const { return m_identity.key && !m_identity.repeatable; }
    AnswerKey answerKey() const { return { m_request.key.key, m_request.fingerprint, m_request.team }; }

    ServeContext& m_context;
    Collaborators& m_parts;
    const RequestLine& m_line;
    const httplib::Request& m_http;
    CallerConnection* m_connection;
    MonotonicTime m_arrivedAt;
    ArrivalId m_arrival;
    RequestIdentity m_identity;
    CallerRequest m_request;
    MonotonicTime m_deadline {};
    std::shared_ptr<const OperatorsText> m_text;
    std::shared_ptr<RequestTrail> m_trail;

    bool m_begun = false; // The key is reserved in the answer store.
    bool m_admitted = false;
    bool m_everSent = false; // A try may have reached a backend server.
    bool m_ended = false; // The outcome is final and counted in the metrics.
    MonotonicTime m_admittedAt {};
    uint64_t m_poisonFingerprint = 0;

    std::vector<std::string> m_tried;
    ReplicaView m_replica; // The replica that is serving the request; its name is empty if there is none.
    MonotonicTime m_dispatchedAt {};
    bool m_sent = false; // The latest try may have reached its backend server.
    std::unique_ptr<BackendCall> m_call;
    BackendResponseHead m_head;
    std::optional<RequestTrail::Hop> m_streamHop;
    std::optional<SseStream> m_events; // Set if the answer is an event stream.
    std::string m_ready; // Part of the body that was read but not yet sent to the caller.
    bool m_bodyEnded = false;
    bool m_keeps = false; // The body is being stored for resends.
    std::string m_kept;
};

} // namespace Kumquatpick
