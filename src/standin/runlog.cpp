#include "standin/runlog.h"

#include "base/logline.h"
#include "standin/expected.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

std::string_view name(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Started:
        return "started";
    case RunPhase::Finished:
        return "finished";
    case RunPhase::Cancelled:
        return "cancelled";
    }
    return "";
}

RunLog::RunLog(std::string host, const std::string& path)
    : m_host(std::move(host))
{
    if (!path.empty())
        m_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (!path.empty() && m_file < 0)
        logLine(LogLevel::Error, "can't open the record file", { { "path", path } });
}

RunLog::~RunLog()
{
    if (m_file >= 0)
        close(m_file);
}

void RunLog::add(const Run& run, RunPhase phase)
{
    Line line { run, phase, wallNow() };
    if (m_file >= 0) {
        std::string text = toJson(line).dump() + '\n';
        if (write(m_file, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
            logLine(LogLevel::Error, "can't write the record", { { "request", run.request } });
    }
    std::lock_guard lock(m_mutex);
    m_lines.push_back(std::move(line));
}

nlohmann::json RunLog::all() const
{
    nlohmann::json lines = nlohmann::json::array();
    std::lock_guard lock(m_mutex);
    for (const Line& line : m_lines)
        lines.push_back(toJson(line));
    return lines;
}

nlohmann::json RunLog::toJson(const Line& line) const
{
    return {
        { "host", m_host },
        { "key", line.run.key },
        { "request", line.run.request },
        { "attempt", line.run.attempt },
        { "prompt_hash", hex64(line.run.promptHash) },
        { "phase", name(line.phase) },
        { "at_ms", line.at.time_since_epoch().count() },
    };
}

} // namespace Kumquatpick
