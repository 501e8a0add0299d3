#include "standin/logservice.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr size_t serverThreads = 256;
    constexpr uint64_t defaultReadLimit = 1000;
    constexpr const char* logPath = R"(/v1/logs/([^/]+))";

} // namespace

LogService::LogService(Milliseconds retention)
    : m_retention(retention)
    , m_server(serverThreads)
{
    m_server.routes().Post(
        logPath, [this](const httplib::Request& request, httplib::Response& response) { append(request, response); });
    m_server.routes().Get(
        logPath, [this](const httplib::Request& request, httplib::Response& response) { read(request, response); });
}

LogService::~LogService()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_server.stop();
}

void LogService::append(const httplib::Request& request, httplib::Response& response)
{
    std::unique_lock lock(m_mutex);
    waitForTurn(lock);
    Log& log = m_logs[request.matches[1]];
    Offset offset = log.next++;
    log.records.push_back({ offset, wallNow(), request.body });
    expire(log);
    m_changed.notify_all();
    answerJson(response, { { "offset", offset } });
}

// Appends beyond the rate that the service takes wait in line.
void LogService::waitForTurn(std::unique_lock<std::mutex>& lock)
{
    double rate = m_server.faults().current().appendRate;
    if (rate <= 0)
        return;
    auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / rate));
    MonotonicTime turn = std::max(m_nextAppend, monotonicNow());
    m_nextAppend = turn + interval;
    m_changed.wait_until(lock, turn, [this] { return m_stopping; });
}

void LogService::read(const httplib::Request& request, httplib::Response& response)
{
    Offset from = std::max<Offset>(1, numberParam(request, "from", 1));
    uint64_t limit = numberParam(request, "limit", defaultReadLimit);
    Milliseconds wait(numberParam(request, "wait_ms", 0));

    std::unique_lock lock(m_mutex);
    Log& log = m_logs[request.matches[1]];
    m_changed.wait_for(lock, wait, [&] { return m_stopping || log.next > from; });
    expire(log);
    nlohmann::json records = nlohmann::json::array();
    for (const Record& record : log.records) {
        if (records.size() >= limit)
            break;
        if (record.offset < from)
            continue;
        records.push_back({
            { "offset", record.offset },
            { "time_ms", record.time.time_since_epoch().count() },
            { "body", record.body },
        });
    }
    answerJson(response, { { "earliest", log.earliest() }, { "next", log.next }, { "records", std::move(records) } });
}

void LogService::expire(Log& log) const
{
    if (m_retention.count() == 0)
        return;
    WallTime oldest = wallNow() - m_retention;
    while (!log.records.empty() && log.records.front().time < oldest)
        log.records.pop_front();
}

} // namespace Kumquatpick
