#include "gateway/eventlog.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    // Seconds of a busy node's lines; small beside the memory of a host.
    constexpr size_t bufferBytes = 256 * 1024;
    // A line costs some 10 us of a host that has a quarter of a core.
    constexpr uint32_t routineLinesPerSecond = 40;

}

EventLog::EventLog(boost::asio::io_context& io, int descriptor, std::string node)
    : m_output(io)
    , m_node(std::move(node))
{
    // A regular file can't be watched; it never blocks for long either, and is written to at once.
    boost::system::error_code error;
    m_output.assign(::dup(descriptor), error);
    m_isWatched = !error;
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
    MonotonicTime now = monotonicNow();
    if (now - m_second >= std::chrono::seconds(1)) {
        if (m_thinned > 0)
            write("lines_thinned", { { "lines", m_thinned } });
        m_second = now;
        m_routineLines = 0;
        m_thinned = 0;
    }
    if (++m_routineLines <= routineLinesPerSecond)
        write(event, std::move(fields));
    else
        ++m_thinned;
}

void EventLog::append(std::string line)
{
    if (m_waiting.size() + line.size() > bufferBytes) {
        ++m_droppedSinceLine;
        ++m_droppedTotal;
        return;
    }
    if (m_droppedSinceLine > 0) {
        m_waiting += fmt::format("{{\"event\":\"lines_dropped\",\"node\":\"{}\",\"lines\":{}}}\n", m_node, m_droppedSinceLine);
        m_droppedSinceLine = 0;
    }
    m_waiting += line;
    startWriting();
}

void EventLog::startWriting()
{
    if (!m_isWatched)
        return flush();
    if (!m_beingWritten.empty() || m_waiting.empty() || !m_output.is_open())
        return;
    m_beingWritten.swap(m_waiting);
    boost::asio::async_write(m_output, boost::asio::buffer(m_beingWritten), [this](const auto& error, size_t) {
        m_beingWritten.clear();
        if (error)
            m_output.close();
        else
            startWriting();
    });
}

void EventLog::flush()
{
    for (std::string* text : { &m_beingWritten, &m_waiting }) {
        if (!text->empty() && ::write(STDOUT_FILENO, text->data(), text->size()) < 0)
            return;
        text->clear();
    }
}

} // namespace Kumquatpick
