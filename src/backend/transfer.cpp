#include "backend/transfer.h"

#include "backend/httpexchange.h"

#include <algorithm>
#include <charconv>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds cancelTimeout { 500 };

    std::string_view priorityName(int priority)
    {
        if (priority <= 0)
            return "low";
        return priority == 1 ? "normal" : "high";
    }

    bool isNumber(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    // Where the body ends must be told by the answer: an end told by closing the connection looks the same
    // as a backend server that died.
    bool tellsItsEnd(const httplib::Response& response)
    {
        if (isChunked(response))
            return true;
        return !response.has_header("Transfer-Encoding") && response.get_header_value_count("Content-Length") == 1
            && isNumber(response.get_header_value("Content-Length"));
    }

    // We ask for none; a body in one could not be handed on, as its name is not.
    bool hasContentCoding(const httplib::Response& response)
    {
        std::string coding = response.get_header_value("Content-Encoding");
        return !coding.empty() && coding != "identity";
    }

    Milliseconds retryAfter(const httplib::Response& response)
    {
        std::string text = response.get_header_value("Retry-After");
        int64_t seconds = 0;
        constexpr int64_t longest = 24 * 3600;
        if (!isNumber(text) || std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc())
            return {};
        return std::chrono::seconds(std::min(seconds, longest));
    }

}

Transfer::Transfer(BackendRequest request)
    : m_request(std::move(request))
    , m_cancelDescriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

Transfer::~Transfer()
{
    if (m_cancelDescriptor >= 0)
        ::close(m_cancelDescriptor);
}

void Transfer::run(const std::function<void()>& release)
{
    httplib::Request request = httpRequest();
    httplib::Response response;
    HttpExchange exchange(m_request.address, m_request.deadline, m_cancelDescriptor);
    ExchangeEnd end = exchange.run(request, response);
    if (end == ExchangeEnd::Whole || end == ExchangeEnd::NotConnected)
        release();
    if (end == ExchangeEnd::Whole) {
        // The library skips the response handler where an answer has no body by its nature.
        if (takeHead(response, false))
            finish(std::nullopt);
        return;
    }
    // The handler that stopped the exchange has said why.
    if (end != ExchangeEnd::Stopped)
        finish(exchange.error(end, step(), peer()));
    if (end == ExchangeEnd::NotConnected)
        return;
    cancelAtEngine();
}

Result<BackendResponseHead> Transfer::head()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_head || m_isFinished; });
    m_isHeadTaken = true;
    if (m_head)
        return *m_head;
    return fail(*m_error);
}

bool Transfer::waitReady(Milliseconds longest)
{
    std::unique_lock lock(m_mutex);
    auto isReady = [this] { return m_isFinished || (m_isHeadTaken ? !m_buffer.empty() : m_head.has_value()); };
    return m_changed.wait_for(lock, longest, isReady);
}

Result<std::string> Transfer::next()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_buffer.empty() || m_isFinished; });
    if (m_buffer.empty() && m_error)
        return fail(*m_error);
    m_changed.notify_all();
    return std::exchange(m_buffer, {});
}

void Transfer::cancel()
{
    std::lock_guard lock(m_mutex);
    if (m_isFinished)
        return;
    m_isCancelled = true;
    m_changed.notify_all();
    constexpr uint64_t one = 1;
    [[maybe_unused]] ssize_t written = ::write(m_cancelDescriptor, &one, sizeof(one));
}

httplib::Request Transfer::httpRequest()
{
    httplib::Request request;
    request.method = m_request.method;
    request.path = m_request.path;
    request.body = std::move(m_request.body);
    request.headers = { { "Kumquatpick-Request", m_request.requestId },
        { "Kumquatpick-Claim", std::to_string(m_request.claim) },
        { "Kumquatpick-Priority", std::string(priorityName(m_request.priority)) }, { "Accept-Encoding", "identity" } };
    if (!m_request.key.empty())
        request.set_header("Kumquatpick-Key", m_request.key);
    if (m_request.attempt > 0)
        request.set_header("Kumquatpick-Attempt", std::to_string(m_request.attempt));
    if (!m_request.traceparent.empty())
        request.set_header("traceparent", m_request.traceparent);
    if (!m_request.contentType.empty())
        request.set_header("Content-Type", m_request.contentType);
    request.response_handler = [this](const httplib::Response& response) { return takeHead(response, true); };
    request.content_receiver = [this](const char* bytes, size_t size, uint64_t, uint64_t) {
        return takePiece({ bytes, size });
    };
    return request;
}

// Nothing of an answer is handed on before it has proved to be this request's.
bool Transfer::takeHead(const httplib::Response& response, bool hasBody)
{
    if (m_head)
        return true;
    constexpr const char* identity = "Kumquatpick-Request";
    bool isOurs
        = response.get_header_value_count(identity) == 1 && response.get_header_value(identity) == m_request.requestId;
    if (!isOurs) {
        finish(error(ErrorCode::Malformed, "the answer is another request's"));
        return false;
    }
    if (hasBody && (!tellsItsEnd(response) || hasContentCoding(response))) {
        finish(error(ErrorCode::Malformed, "the answer does not say where it ends, or is encoded"));
        return false;
    }
    std::lock_guard lock(m_mutex);
    m_head = { response.status, response.get_header_value("Content-Type"), retryAfter(response) };
    m_changed.notify_all();
    return true;
}

// Waits while the reader is slow; meanwhile the socket's buffers fill and hold the engine back.
bool Transfer::takePiece(std::string_view piece)
{
    std::unique_lock lock(m_mutex);
    bool isInTime = m_changed.wait_until(
        lock, m_request.deadline, [this] { return m_buffer.size() < bufferBytes || m_isCancelled; });
    if (isInTime && !m_isCancelled) {
        m_buffer += piece;
        m_changed.notify_all();
        return true;
    }
    lock.unlock();
    finish(isInTime ? error(ErrorCode::ShuttingDown, "cancelled")
                    : error(ErrorCode::Timeout, "the deadline passed while the reader was slow"));
    return false;
}

void Transfer::finish(std::optional<Error> error)
{
    std::lock_guard lock(m_mutex);
    m_isFinished = true;
    m_error = std::move(error);
    m_changed.notify_all();
}

// An engine whose connection closed may go on generating for nobody until it tries to write.
void Transfer::cancelAtEngine()
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/cancel/" + m_request.requestId;
    httplib::Response ignored;
    HttpExchange(m_request.address, monotonicNow() + cancelTimeout).run(request, ignored);
}

Step Transfer::step() const { return m_head ? Step::Stream : Step::Dispatch; }

std::string Transfer::peer() const { return m_request.host.empty() ? m_request.address.toString() : m_request.host; }

Error Transfer::error(ErrorCode code, std::string detail) const { return { code, step(), peer(), std::move(detail) }; }

} // namespace Kumquatpick
