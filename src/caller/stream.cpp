#include "caller/requesthandler.h"

#include "base/metrics.h"
#include "policy/router.h"
#include "suspicion/suspicion.h"

namespace Kumquatpick {

// Reads one piece of the answer into m_ready, or sets m_bodyEnded at its end.
Result<void> RequestHandler::readPiece()
{
    auto settled = settle([&] { return m_call->next(); });
    if (auto* error = std::get_if<Error>(&settled)) {
        if (!isStreamComplete())
            return fail(std::move(*error));
        settled = std::string(); // The answer is complete after [DONE].
    }
    const std::string& piece = std::get<std::string>(settled);
    if (!piece.empty()) {
        storeForResend(piece);
        m_unsentBody += m_eventStream ? m_eventStream->push(piece) : piece;
        return {};
    }
    if (m_eventStream && m_request.kind == RequestKind::Chat && !isStreamComplete())
        return fail({ ErrorCode::BrokenOff, Step::Stream, m_replica.leader.toString(),
            "the stream ended without its last event" });
    if (m_eventStream)
        m_unsentBody += m_eventStream->takeRemaining();
    m_bodyEnded = true;
    return {};
}

// Whether the stream has had its last event, so that a later error of the connection loses nothing.
bool RequestHandler::isStreamComplete() const
{
    return m_eventStream && m_request.kind == RequestKind::Chat && m_eventStream->isDone();
}

void RequestHandler::storeForResend(std::string_view piece)
{
    if (!m_isStoringBody)
        return;
    m_isStoringBody = m_storedBody.size() + piece.size() <= m_context.settings.maxStoredBodyBytes;
    if (m_isStoringBody)
        m_storedBody += piece;
    else
        m_storedBody = {};
}

void RequestHandler::respondWhole(httplib::Response& response)
{
    std::string body = std::move(m_unsentBody);
    completeAnswer();
    setHeaders(Outcome::Answered, response);
    response.status = m_head.status;
    response.set_content(body, m_head.contentType);
}

void RequestHandler::respondStreaming(httplib::Response& response)
{
    m_streamHop.emplace(*m_trace, threadRandom(), "stream");
    m_streamHop->setPeer(m_replica.leader.toString());
    setHeaders(Outcome::Answered, response);
    response.status = m_head.status;
    response.set_chunked_content_provider(
        m_head.contentType,
        [self = shared_from_this()](size_t, httplib::DataSink& sink) { return self->sendNextPiece(sink); },
        [self = shared_from_this()](bool) {
            if (!self->m_isFinished)
                self->handleDisconnect();
        });
}

// Called repeatedly until it ends the stream or returns false, which closes the connection.
bool RequestHandler::sendNextPiece(httplib::DataSink& sink)
{
    if (!m_unsentBody.empty())
        return sendUnsent(sink);
    if (m_bodyEnded) {
        completeAnswer();
        sink.done();
        return true;
    }
    auto settled = settle([&] { return readPiece(); });
    if (auto* error = std::get_if<Error>(&settled))
        return endBrokenStream(sink, *error);
    return true;
}

bool RequestHandler::sendUnsent(httplib::DataSink& sink)
{
    std::string piece = std::move(m_unsentBody);
    m_unsentBody.clear();
    if (!m_connection->isCallerGone() && sink.write(piece.data(), piece.size()))
        return true;
    handleDisconnect();
    return false;
}

// Ends an event stream with an error event. Any other body ends without its last chunk, so that the caller can detect
// that it is truncated.
bool RequestHandler::endBrokenStream(httplib::DataSink& sink, const Error& error)
{
    Refusal refused = dispatchRefusal(error);
    recordBackendFailure(error);
    recordRefusal(refused);
    if (!m_eventStream)
        return false;
    std::string event = m_eventStream->isMidEvent() ? "\n\n" : "";
    event += "event: error\ndata: " + refusalBody(refused, m_trace->requestId()) + "\n\n";
    if (!sink.write(event.data(), event.size()))
        return false;
    sink.done();
    return true;
}

bool RequestHandler::finishesForResend() const { return m_isStoringBody && m_context.settings.finishForResend; }

// A repeatable request is cancelled at the engine, as its answer is no longer needed. A non-repeatable request can't
// run a second time, so its answer is read to the end and stored for a resend.
void RequestHandler::handleDisconnect()
{
    m_trace->addField("caller", "disconnected");
    if (m_call && finishesForResend() && readRestForResend())
        return completeAnswer();
    if (!m_replica.replica.empty()) {
        m_call.reset();
        MonotonicTime now = monotonicNow();
        m_dependencies.suspicion.withdrawn(m_poisonFingerprint, m_replica.replica);
        m_dependencies.router.ended(m_request.service, m_replica.replica, DispatchEnd::CallerGone, now);
        m_replica = {};
    }
    finish("caller-gone", {}, false);
}

bool RequestHandler::readRestForResend()
{
    while (!m_bodyEnded && m_isStoringBody) {
        m_unsentBody.clear();
        auto settled = settle([&] { return readPiece(); });
        if (settled.index() != 0)
            return false;
    }
    return m_isStoringBody;
}

} // namespace Kumquatpick
