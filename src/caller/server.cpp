#include "caller/server.h"

#include "caller/connectionlimits.h"
#include "caller/endpoints.h"
#include "caller/httpserver.h"
#include "caller/requesthandler.h"
#include "caller/respond.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds drainPollInterval { 10 };

    constexpr std::string_view requestsPath = "/v1/requests/";
    constexpr std::string_view explainPath = "/v1/explain/";

    // Sent if no thread is free to read the request. Its key is not known then, so the outcome is "undecided".
    std::string busyAnswer(const CallerSettings& settings)
    {
        Refusal refusal { Outcome::Undecided, RefusalType::QueueFull, "every thread of this node is busy", Step::Accept,
            {}, settings.retryAfter, {} };
        std::string body = refusalBody(refusal, "");
        return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nKumquatpick-Outcome: undecided\r\n"
               "Content-Type: application/json\r\nRetry-After: "
            + std::to_string(retryAfterSeconds(settings.retryAfter))
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Refusal refusalForStatus(int status, const CallerSettings& settings)
    {
        if (status == 413)
            return { Outcome::NotRun, RefusalType::TooLarge,
                "the request body exceeds the limit of " + std::to_string(settings.bodyLimitBytes) + " bytes" };
        if (status >= 500)
            return { Outcome::Undecided, RefusalType::Undecided, "internal error of this node", Step::Accept, {},
                settings.retryAfter, {} };
        const auto* connection = CallerConnection::forCurrentThread();
        std::string framingProblem = connection ? connection->line().framingProblem : "";
        return { Outcome::NotRun, RefusalType::Malformed,
            framingProblem.empty() ? "the request is malformed" : framingProblem };
    }

    template <typename Condition> bool waitUntil(MonotonicTime deadline, Condition&& condition)
    {
        while (!condition() && monotonicNow() < deadline)
            std::this_thread::sleep_for(drainPollInterval);
        return condition();
    }

    bool isRequestPath(std::string_view path) { return path == chatPath || isServicePath(path); }

}

struct CallerServer::Impl {
    Impl(CallerSettings settings, CallerDependencies callerDependencies)
        : settings(std::move(settings))
        , dependencies(std::move(callerDependencies))
        , context { this->settings, dependencies, { this->settings.answerStoreBytes, this->settings.answerLifetime },
            {}, RecentRequests(this->settings.recentRequestLimit) }
        , limits(this->settings.clients, dependencies.metrics)
        , http(
              this->settings, limits,
              [this](const httplib::Request& request, const RequestLine& line, httplib::Response& response) {
                  handle(request, line, response);
              },
              [this](const httplib::Request& request, httplib::Response& response) { handleError(request, response); },
              busyAnswer(this->settings))
    {
    }

    void handle(const httplib::Request&, const RequestLine&, httplib::Response&);
    void handleEndpoint(const httplib::Request&, const RequestLine&, httplib::Response&);
    void handleError(const httplib::Request&, httplib::Response&);

    const CallerSettings settings;
    CallerDependencies dependencies;
    ServerContext context;
    ConnectionLimits limits;
    HttpServer http;
};

void CallerServer::Impl::handle(const httplib::Request& request, const RequestLine& line, httplib::Response& response)
{
    if (isRequestPath(line.path()))
        std::make_shared<RequestHandler>(context, request, line)->serve(response);
    else
        handleEndpoint(request, line, response);
}

void CallerServer::Impl::handleEndpoint(
    const httplib::Request& request, const RequestLine& line, httplib::Response& response)
{
    std::string_view path = line.path();
    bool isPost = request.method == "POST";
    bool isGet = request.method == "GET" || request.method == "HEAD";
    if (isGet && path == "/v1/entries")
        return answerEntries(context, line, response);
    if (isPost && path == "/v1/keys")
        return answerKeys(context, request, response);
    if (isGet && path.starts_with(requestsPath))
        return answerRequest(context, path.substr(requestsPath.size()), request, response);
    if (isGet && path == "/healthz")
        return response.set_content("ok\n", "text/plain");
    if (isGet && path == "/readyz")
        return answerReady(context, response);
    if (isGet && path == "/metrics")
        return answerMetrics(context, response);
    if (isGet && path == "/v1/config")
        return answerConfig(context, response);
    if (isPost && path == "/v1/config")
        return answerPublish(context, request, response);
    if (isGet && path == "/v1/status")
        return answerStatus(context, response);
    if (isGet && path.starts_with(explainPath))
        return answerExplain(context, path.substr(explainPath.size()), response);
    response.status = 404;
}

// Writes the response for errors of the HTTP library and of the read limits. Responses that already have an outcome
// are not changed.
void CallerServer::Impl::handleError(const httplib::Request& request, httplib::Response& response)
{
    if (!response.body.empty() || response.has_header("Kumquatpick-Outcome"))
        return;
    int status = response.status;
    Refusal refusal = refusalForStatus(status, settings);
    const auto* connection = CallerConnection::forCurrentThread();
    if (connection && !connection->isBodyConsumed())
        response.set_header("Connection", "close");
    if (connection && isRequestPath(connection->line().path()))
        std::make_shared<RequestHandler>(context, request, connection->line())->refuseUnread(refusal, response);
    else
        writeRefusal(refusal, "", response);
    if (status == 404)
        response.status = 404;
}

CallerServer::CallerServer(CallerSettings settings, CallerDependencies dependencies)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(dependencies)))
{
}

CallerServer::~CallerServer() = default;

Result<void> CallerServer::start() { return m_impl->http.start(); }

Address CallerServer::address() const { return { m_impl->settings.ip, m_impl->http.port() }; }

void CallerServer::beginDrain() { m_impl->context.stopping = true; }

// New requests are still answered with "stopping" while requests are in flight. The listener is stopped only after
// that.
bool CallerServer::drain(MonotonicTime deadline)
{
    beginDrain();
    waitUntil(deadline, [this] { return inFlight() == 0; });
    m_impl->http.stopListening();
    bool isComplete = waitUntil(deadline, [this] { return m_impl->http.inProgress() == 0; });
    m_impl->http.stopNow();
    return isComplete;
}

uint32_t CallerServer::inFlight() const { return m_impl->context.inFlight; }

StoredAnswer CallerServer::storedAnswer(const std::string& lookup)
{
    auto found = m_impl->context.answers.find(AnswerKey::fromLookupText(lookup), monotonicNow());
    if (found.state == AnswerStore::State::Running)
        found.answer.phase = StoredAnswer::Phase::Running;
    return found.answer;
}

} // namespace Kumquatpick
