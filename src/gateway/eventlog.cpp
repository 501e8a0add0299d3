#include "gateway/eventlog.h"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    // Holds a few seconds of lines of a busy node; small compared to the memory of a host.
    constexpr size_t bufferBytes = 256 * 1024;
    // Reduces the number of writes; smaller remainders are written by the next periodic flush.
    constexpr size_t flushBytes = 2048;
    // A line costs some 10 us of CPU time on a host that has a quarter of a core.
    constexpr uint32_t routineLinesPerSecond = 40;

}

EventLog::EventLog(int descriptor, std::string node)
    : m_descriptor(descriptor)
    , m_node(std::move(node))
{
}

void EventLog::write(std::string_view event, nlohmann::json fields)
{
    fields["time_ms"] = wallNow().time_since_epoch().count();
    fields["node"] = m_node;
    fields["event"] = event;
    append(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

void EventLog::writeRoutine(std::string_view event, nlohmann::json fields)
{
    auto found = m_routineRates.find(event);
    if (found == m_routineRates.end())
        found = m_routineRates.emplace(event, RoutineRate {}).first;
    RoutineRate& rate = found->second;
    MonotonicTime now = monotonicNow();
    if (now - rate.windowStart >= std::chrono::seconds(1)) {
        if (rate.suppressed > 0)
            write("lines_suppressed", { { "of", event }, { "lines", rate.suppressed } });
        rate = { now };
    }
    if (++rate.lines <= routineLinesPerSecond)
        write(event, std::move(fields));
    else
        ++rate.suppressed;
}

void EventLog::append(const std::string& line)
{
    if (m_buffer.size() + line.size() > bufferBytes) {
        ++m_unreportedDrops;
        ++m_droppedTotal;
        return;
    }
    if (m_unreportedDrops > 0) {
        m_buffer
            += fmt::format("{{\"event\":\"lines_dropped\",\"node\":\"{}\",\"lines\":{}}}\n", m_node, m_unreportedDrops);
        m_unreportedDrops = 0;
    }
    m_buffer += line;
    if (m_buffer.size() >= flushBytes)
        flush();
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
void EventLog::flush()
{
    size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd entry { m_descriptor, POLLOUT, 0 };
        if (::poll(&entry, 1, 0) <= 0 || (entry.revents & POLLOUT) == 0)
            break;
        ssize_t count
            = ::write(m_descriptor, m_buffer.data() + written, std::min<size_t>(PIPE_BUF, m_buffer.size() - written));
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_buffer.erase(0, written);
}

void EventLog::drain(Milliseconds limit)
{
    MonotonicTime end = monotonicNow() + limit;
    flush();
    while (!m_buffer.empty() && monotonicNow() < end) {
        pollfd entry { m_descriptor, POLLOUT, 0 };
        constexpr int pollMs = 5;
        ::poll(&entry, 1, pollMs);
        flush();
    }
}

} // namespace Kumquatpick
