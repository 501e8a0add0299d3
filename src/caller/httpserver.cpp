#include "caller/httpserver.h"

namespace Kumquatpick {

namespace {

    constexpr size_t requestsPerConnection = 1'000'000;
    constexpr CallerConnection* stopSignal = nullptr;

    // The response to a request so malformed that the library closes the connection without a response.
    std::string malformedResponse(const httplib::Response& response)
    {
        std::string text
            = response.status == 413 ? "HTTP/1.1 413 Payload Too Large\r\n" : "HTTP/1.1 400 Bad Request\r\n";
        text += "Connection: close\r\nContent-Type: application/json\r\n";
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
        return text + response.body;
    }

}

HttpServer::HttpServer(const CallerSettings& settings, ConnectionLimits& limits, Handle handle, HandleError handleError,
    std::string busyAnswer)
    : m_settings(settings)
    , m_handle(std::move(handle))
    , m_handleError(std::move(handleError))
    , m_listener(
          settings, limits, [this](auto connection) { return enqueue(std::move(connection)); }, std::move(busyAnswer))
{
    m_waiting.set_capacity(static_cast<std::ptrdiff_t>(2 * settings.threads));
    set_keep_alive_max_count(requestsPerConnection);
    set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(settings.keepAlive).count());
    set_payload_max_length(settings.bodyLimitBytes);
    setUpRoutes();
}

HttpServer::~HttpServer() { stopNow(); }

// CallerConnection sets the path of every request to "/", so a single route handles all paths.
void HttpServer::setUpRoutes()
{
    auto handle = [this](const httplib::Request& request, httplib::Response& response) {
        CallerConnection& connection = *CallerConnection::forCurrentThread();
        connection.enter(ClientStage::Running);
        m_handle(request, connection.line(), response);
    };
    Get("/", handle);
    Post("/", handle);
    Put("/", handle);
    Patch("/", handle);
    Delete("/", handle);
    Options("/", handle);
    // Runs before the body is read, as reading it requires valid framing.
    set_pre_routing_handler([](const httplib::Request&, httplib::Response& response) {
        if (CallerConnection::forCurrentThread()->line().framingProblem.empty())
            return HandlerResponse::Unhandled;
        response.status = 400;
        response.set_header("Connection", "close");
        return HandlerResponse::Handled;
    });
    set_error_handler(HandlerWithResponse([this](const httplib::Request& request, httplib::Response& response) {
        m_handleError(request, response);
        return HandlerResponse::Handled;
    }));
    set_exception_handler(
        [](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) { response.status = 500; });
}

Result<void> HttpServer::start()
{
    m_idleThreads = static_cast<int64_t>(m_settings.threads);
    for (size_t i = 0; i < m_settings.threads; ++i)
        m_threads.emplace_back([this] { runWorker(); });
    BOOST_LEAF_CHECK(m_listener.start());
    // The library ends streams once this is INVALID_SOCKET.
    svr_sock_ = m_listener.socket();
    return {};
}

void HttpServer::stopNow()
{
    m_listener.stop();
    svr_sock_ = INVALID_SOCKET;
    {
        std::lock_guard lock(m_activeMutex);
        m_stopped = true;
        for (auto* connection : m_active)
            connection->shutdownSocket();
    }
    for (size_t i = 0; i < m_threads.size(); ++i)
        m_waiting.push(stopSignal);
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

// Queues the connection if a thread is idle, otherwise returns it.
std::unique_ptr<CallerConnection> HttpServer::enqueue(std::unique_ptr<CallerConnection> connection)
{
    if (m_idleThreads.fetch_sub(1) <= 0) {
        m_idleThreads.fetch_add(1);
        return connection;
    }
    m_waiting.push(connection.release());
    return nullptr;
}

void HttpServer::runWorker()
{
    for (;;) {
        CallerConnection* next = nullptr;
        m_waiting.pop(next);
        if (next == stopSignal)
            return;
        serveRequests(std::unique_ptr<CallerConnection>(next));
        m_idleThreads.fetch_add(1);
    }
}

void HttpServer::serveRequests(std::unique_ptr<CallerConnection> connection)
{
    {
        std::lock_guard lock(m_activeMutex);
        if (m_stopped)
            return;
        m_active.insert(connection.get());
    }
    bool isReusable = true;
    do
        isReusable = serveRequest(*connection);
    while (isReusable && connection->hasBufferedInput());
    {
        std::lock_guard lock(m_activeMutex);
        m_active.erase(connection.get());
    }
    if (isReusable)
        m_listener.watchIdle(std::move(connection));
    else
        m_listener.closeLingering(std::move(connection));
}

// Returns true if the connection may be used for another request.
bool HttpServer::serveRequest(CallerConnection& connection)
{
    ++m_inProgress;
    CurrentConnectionScope current(connection);
    connection.beginRequest();
    bool closing = false;
    bool isComplete = process_request(
        connection, false, closing, [&](httplib::Request& request) { connection.processHead(request); });
    if (!connection.hasWrittenOutput() && connection.hasReadInput())
        respondMalformed(connection);
    --m_inProgress;
    return isComplete && !closing && connection.line().framingProblem.empty() && connection.isBodyConsumed();
}

void HttpServer::respondMalformed(CallerConnection& connection)
{
    httplib::Request none;
    httplib::Response response;
    response.status = connection.isOverLimit() ? 413 : 400;
    m_handleError(none, response);
    std::string text = malformedResponse(response);
    connection.write(text.data(), text.size());
}

} // namespace Kumquatpick
