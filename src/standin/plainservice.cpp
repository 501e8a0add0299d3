#include "standin/plainservice.h"

#include "base/hash.h"
#include "base/random.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr size_t serverThreads = 512;
    constexpr Milliseconds stallCheckPeriod { 20 };
    constexpr const char* requestHeader = "Kumquatpick-Request";

    Run runOf(const httplib::Request& request)
    {
        Run run;
        run.key = request.get_header_value("Kumquatpick-Key");
        run.request = request.get_header_value(requestHeader);
        if (request.has_header("Kumquatpick-Attempt"))
            run.attempt = std::stoull(request.get_header_value("Kumquatpick-Attempt"));
        run.promptHash = hash64(request.body);
        return run;
    }

} // namespace

PlainService::PlainService(PlainSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(seededFromSystem()())
    , m_runs(m_settings.host, m_settings.recordPath)
    , m_server(serverThreads)
{
    addRoutes();
}

PlainService::~PlainService()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopped.notify_all();
    }
    m_server.stop();
}

void PlainService::addRoutes()
{
    httplib::Server& routes = m_server.routes();
    routes.Get(
        "/v1/status", [this](const httplib::Request&, httplib::Response& response) { answerJson(response, status()); });
    routes.Get("/v1/runs",
        [this](const httplib::Request&, httplib::Response& response) { answerJson(response, m_runs.all()); });
    auto anyCall = [this](const httplib::Request& request, httplib::Response& response) { call(request, response); };
    routes.Get(".*", anyCall);
    routes.Post(".*", anyCall);
    routes.Put(".*", anyCall);
    routes.Patch(".*", anyCall);
    routes.Delete(".*", anyCall);
}

void PlainService::call(const httplib::Request& request, httplib::Response& response)
{
    if (m_running.fetch_add(1) >= m_settings.calls) {
        --m_running;
        response.set_header("Retry-After", "1");
        response.set_header(requestHeader, request.get_header_value(requestHeader));
        answerJson(response, { { "error", "full" } }, 503);
        return;
    }
    Run run = runOf(request);
    m_runs.add(run, RunPhase::Started);
    if (!m_settings.crashMarker.empty() && request.body.find(m_settings.crashMarker) != std::string::npos)
        _exit(1);
    bool isForeign = m_server.faults().take(&Faults::wrongRequestIds);
    bool isCut = m_server.faults().take(&Faults::truncateStreams);
    bool whole = waitForEnd() && !isCut;
    m_runs.add(run, whole ? RunPhase::Finished : RunPhase::Cancelled);
    --m_running;
    if (!whole) {
        cutConnection(request);
        return;
    }
    response.set_header(requestHeader, isForeign ? incarnation() : run.request);
    std::string body = isForeign ? request.body + " of another" : request.body;
    response.set_content(expectedPlainAnswer(request.method, request.path, body), "application/json");
}

bool PlainService::waitForEnd()
{
    auto stopped = [this] { return m_stopping; };
    std::chrono::duration<double, std::milli> time(
        static_cast<double>(m_settings.callTime.count()) * m_server.faults().current().slowFactor);
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, time, stopped);
    while (!m_stopping && m_server.faults().current().stall)
        m_stopped.wait_for(lock, stallCheckPeriod, stopped);
    return !m_stopping;
}

nlohmann::json PlainService::status()
{
    Faults faults = m_server.faults().current();
    return {
        { "host", m_settings.host },
        { "incarnation", incarnation() },
        { "state", "ready" },
        { "leaving", faults.leaving },
        { "claim", 0 },
        { "service", m_settings.service },
        { "replica", m_settings.host },
        { "model", "" },
        { "model_version", "" },
        { "running", faults.lieAboutLoad ? 0 : m_running.load() },
        { "queued", 0 },
        { "cache_used", 0.0 },
    };
}

} // namespace Kumquatpick
