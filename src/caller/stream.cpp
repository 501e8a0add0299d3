#include "caller/serving.h"

#include "base/metrics.h"
#include "policy/router.h"
#include "policy/suspicion.h"

namespace Kumquatpick {

// Reads one piece of the answer into m_ready, or sets m_bodyEnded at its end.
Result<void> Serving::readPiece()
{
    auto settled = settle([&] { return m_call->next(); });
    if (auto* error = std::get_if<Error>(&settled)) {
        if (!isWhole())
            return fail(std::move(*error));
        settled = std::string(); // The answer is complete after [DONE].
    }
    const std::string& piece = std::get<std::string>(settled);
    if (!piece.empty()) {
        keep(piece);
        m_ready += m_events ? m_events->push(piece) : piece;
        return {};
    }
    if (m_events && m_request.kind == RequestKind::Chat && !isWhole())
        return fail({ ErrorCode::BrokenOff, Step::Stream, m_replica.leader.toString(),
            "the stream ended without its last event" });
    if (m_events)
        m_ready += m_events->takeRest();
    m_bodyEnded = true;
    return {};
}

// Whether the stream has had its last event, so that a later error of the connection loses nothing.
bool Serving::isWhole() const { return m_events && m_request.kind == RequestKind::Chat && m_events->isDone(); }

void Serving::keep(std::string_view piece)
{
    if (!m_keeps)
        return;
    m_keeps = m_kept.size() + piece.size() <= m_context.settings.answerBodyBytes;
    if (m_keeps)
        m_kept += piece;
    else
        m_kept = {};
}

void Serving::answerWhole(httplib::Response& response)
{
    std::string body = std::move(m_ready);
    answeredWhole();
    setHeaders(Outcome::Answered, response);
    response.status = m_head.status;
    response.set_content(body, m_head.contentType);
}

void Serving::answerStreaming(httplib::Response& response)
{
    m_streamHop.emplace(*m_trail, threadRandom(), "stream");
    m_streamHop->setPeer(m_replica.leader.toString());
    setHeaders(Outcome::Answered, response);
    response.status = m_head.status;
    response.set_chunked_content_provider(
        m_head.contentType, [self = shared_from_this()](size_t, httplib::DataSink& sink) { return self->pump(sink); },
        [self = shared_from_this()](bool) {
            if (!self->m_ended)
                self->callerLeft();
        });
}

// Called repeatedly until it ends the stream or returns false, which closes the connection.
bool Serving::pump(httplib::DataSink& sink)
{
    if (!m_ready.empty())
        return passOn(sink);
    if (m_bodyEnded) {
        answeredWhole();
        sink.done();
        return true;
    }
    auto settled = settle([&] { return readPiece(); });
    if (auto* error = std::get_if<Error>(&settled))
        return breakStream(sink, *error);
    return true;
}

bool Serving::passOn(httplib::DataSink& sink)
{
    std::string piece = std::move(m_ready);
    m_ready.clear();
    if (!m_connection->callerGone() && sink.write(piece.data(), piece.size()))
        return true;
    callerLeft();
    return false;
}

// Ends an event stream with an error event. Any other body ends without its last chunk, so that the caller can detect
// that it is truncated.
bool Serving::breakStream(httplib::DataSink& sink, const Error& error)
{
    Refusal refused = dispatchRefusal(error);
    noteFailure(error);
    lost(refused);
    if (!m_events)
        return false;
    std::string event = m_events->isMidEvent() ? "\n\n" : "";
    event += "event: error\ndata: " + refusalBody(refused, m_trail->requestId()) + "\n\n";
    if (!sink.write(event.data(), event.size()))
        return false;
    sink.done();
    return true;
}

bool Serving::runsOnForResend() const { return m_keeps && m_context.settings.finishForResend; }

// A repeatable request is cancelled at the engine, as its answer is no longer needed. A non-repeatable request can't
// run a second time, so its answer is read to the end and stored for a resend.
void Serving::callerLeft()
{
    m_trail->describe("caller", "disconnected");
    if (m_call && runsOnForResend() && readRestForResend())
        return answeredWhole();
    if (!m_replica.replica.empty()) {
        m_call.reset();
        MonotonicTime now = monotonicNow();
        m_parts.suspicion.withdrawn(m_poisonFingerprint, m_replica.replica);
        m_parts.router.ended(m_request.service, m_replica.replica, DispatchEnd::CallerGone, now);
        m_replica = {};
    }
    finish("caller-gone", {}, false);
}

bool Serving::readRestForResend()
{
    while (!m_bodyEnded && m_keeps) {
        m_ready.clear();
        auto settled = settle([&] { return readPiece(); });
        if (settled.index() != 0)
            return false;
    }
    return m_keeps;
}

} // namespace Kumquatpick
