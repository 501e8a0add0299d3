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

// What all requests of a server share.
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

// This thread's own source of identities.
Random& threadRandom();

RefusalType admissionRefusal(AdmissionVerdict);
std::string_view permitText(PermitAnswer);

// One arrival of a request, from its parsing to its one typed outcome. Used by one thread; held by the response
// while that is written.
class Serving : public std::enable_shared_from_this<Serving> {
public:
    Serving(ServeContext&, const httplib::Request&, const RequestLine&);
    ~Serving();
    Serving(const Serving&) = delete;
    Serving& operator=(const Serving&) = delete;

    // Takes the request through its steps and prepares the response.
    void serve(httplib::Response&);
    // The same end for a request that could not be read whole.
    void refuseUnread(Refusal, httplib::Response&);

private:
    // A step that ends the request says how: with a refusal, or with an answer kept from before.
    using Ending = std::variant<Refusal, StoredAnswer>;
    using StepResult = std::optional<Ending>;
    using StepFunction = StepResult (Serving::*)();

    // serve.cpp: the way of a request, in this order.
    static const StepFunction steps[];
    StepResult parse();
    StepResult recogniseResend();
    StepResult findService();
    StepResult checkPoison();
    StepResult admit();
    StepResult takePermit();
    StepResult dispatch();

    // dispatch.cpp: one try after the other, until an answer has begun.
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

    // stream.cpp: the answer on its way to the caller.
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

    // outcome.cpp: what may be said, and saying it.
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
    std::shared_ptr<const OperatorConfig> m_text;
    std::shared_ptr<RequestTrail> m_trail;

    bool m_begun = false; // The key is taken in the answer store.
    bool m_admitted = false;
    bool m_everSent = false; // Some byte may have reached a backend server.
    bool m_ended = false; // The outcome is known and counted.
    MonotonicTime m_admittedAt {};
    uint64_t m_poisonFingerprint = 0;

    std::vector<std::string> m_tried;
    ReplicaView m_replica; // The one that has the request now; its name is empty if none has.
    MonotonicTime m_dispatchedAt {};
    bool m_sent = false; // Of the latest try.
    std::unique_ptr<BackendCall> m_call;
    BackendResponseHead m_head;
    std::optional<RequestTrail::Hop> m_streamHop;
    std::optional<SseStream> m_events; // If the answer is an event stream.
    std::string m_ready; // Of the body, read and not passed on yet.
    bool m_bodyEnded = false;
    bool m_keeps = false; // The body is collected for resends.
    std::string m_kept;
};

} // namespace Kumquatpick
