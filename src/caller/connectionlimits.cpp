#include "caller/connectionlimits.h"

#include "base/logline.h"
#include "base/metrics.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <utility>

namespace Kumquatpick {

namespace {

    constexpr std::chrono::seconds logPeriod { 1 };

}

ConnectionLimits::ConnectionLimits(ClientBudget::Limits limits, Metrics& metrics)
    : m_budget(limits)
    , m_metrics(metrics)
{
}

std::optional<ConnectionLimits::Id> ConnectionLimits::admit(int socket)
{
    std::lock_guard lock(m_mutex);
    while (!m_budget.fitsConnection()) {
        auto worst = m_budget.endForConnection(monotonicNow());
        if (!worst) {
            m_metrics.count("clients_refused_total");
            return std::nullopt;
        }
        end(*worst, "descriptors");
        m_budget.releaseDescriptor(*worst); // It is closed by the next turn of its thread.
    }
    Id id = m_budget.add(monotonicNow());
    m_sockets.emplace(id, socket);
    return id;
}

void ConnectionLimits::remove(Id id)
{
    std::lock_guard lock(m_mutex);
    m_budget.remove(id);
    m_sockets.erase(id);
    m_released.notify_all();
}

void ConnectionLimits::enter(Id id, ClientStage stage)
{
    std::lock_guard lock(m_mutex);
    if (m_budget.at(id).stage != stage)
        m_budget.setStage(id, stage, monotonicNow());
    m_released.notify_all();
}

bool ConnectionLimits::reserve(Id id, size_t bytes, MonotonicTime deadline)
{
    std::unique_lock lock(m_mutex);
    const ClientBudget::Connection& connection = m_budget.at(id);
    size_t before = connection.bytes;
    size_t more = bytes > before ? bytes - before : 0;
    while (!connection.isLeaving && more > 0 && !m_budget.willFit(more)) {
        auto worst = m_budget.endForBytes(monotonicNow());
        if (!worst)
            return false;
        end(*worst, "memory");
    }
    if (connection.isLeaving)
        return false;
    bool fits = m_budget.fits(more);
    m_budget.setBytes(id, bytes);
    uint64_t point = fits ? 0 : m_budget.releasePoint();
    m_released.wait_until(lock, deadline, [&] { return m_budget.hasReleased(point) || connection.isLeaving; });
    if (m_budget.hasReleased(point) && !connection.isLeaving)
        return true;
    m_budget.setBytes(id, before);
    return false;
}

void ConnectionLimits::end(Id id, std::string_view shortage)
{
    const ClientBudget::Connection& connection = m_budget.at(id);
    m_metrics.count(fmt::format("clients_ended_total{{shortage=\"{}\"}}", shortage));
    logEnd(connection, shortage);
    ::shutdown(m_sockets.at(id), SHUT_RDWR);
    m_released.notify_all(); // It may wait for room itself.
}

void ConnectionLimits::logEnd(const ClientBudget::Connection& connection, std::string_view shortage)
{
    ++m_unlogged;
    MonotonicTime now = monotonicNow();
    if (now < m_nextLogAt)
        return;
    m_nextLogAt = now + logPeriod;
    auto age = std::chrono::round<Milliseconds>(now - connection.since);
    logLine(LogLevel::Warning, "a client's connection was ended, as others need what it holds",
        { { "shortage", shortage }, { "stage", name(connection.stage) }, { "bytes", connection.bytes },
            { "age_ms", age.count() }, { "ended_since_last_line", std::exchange(m_unlogged, 0) } });
}

} // namespace Kumquatpick
