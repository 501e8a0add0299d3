#include "gateway/clientconnections.h"

#include "base/metrics.h"
#include "gateway/asio.h"
#include "gateway/eventlog.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // The session, its coroutines, its timers and the structures of the system's socket.
    constexpr size_t connectionBytes = 12 * 1024;
    // Connections that end give their memory back within a turn of the event loop, or when their server has let go.
    constexpr Milliseconds roomPollPeriod { 5 };

}

ClientConnections::ClientConnections(std::string listener, ClientBudget::Limits limits, EventLog& log, Metrics& metrics)
    : m_listener(std::move(listener))
    , m_budget(limits)
    , m_log(log)
    , m_metrics(metrics)
{
}

std::unique_ptr<ClientShare> ClientConnections::admit(End end)
{
    while (!m_budget.fitsConnection()) {
        auto worst = m_budget.endForConnection(monotonicNow());
        if (!worst) {
            m_metrics.count(fmt::format("clients_refused_total{{listener=\"{}\"}}", m_listener));
            m_log.writeRoutine(
                "client_refused", { { "listener", m_listener }, { "connections", m_budget.connections() } });
            return nullptr;
        }
        this->end(*worst, Shortage::Descriptors);
    }
    ClientBudget::Id id = m_budget.add(monotonicNow());
    m_ends.emplace(id, std::move(end));
    return std::make_unique<ClientShare>(*this, id);
}

bool ClientConnections::makeRoom(size_t bytes)
{
    while (!m_budget.willFit(bytes)) {
        auto worst = m_budget.endForBytes(monotonicNow());
        if (!worst)
            return false;
        end(*worst, Shortage::Memory);
    }
    return m_budget.fits(bytes);
}

void ClientConnections::end(ClientBudget::Id id, Shortage shortage)
{
    logEnd(id, shortage);
    m_ends.at(id)(shortage);
    if (shortage == Shortage::Descriptors)
        m_budget.releaseDescriptor(id);
}

void ClientConnections::logEnd(ClientBudget::Id id, Shortage shortage)
{
    const ClientBudget::Connection& connection = m_budget.at(id);
    m_metrics.count(fmt::format("clients_ended_total{{listener=\"{}\",shortage=\"{}\"}}", m_listener, name(shortage)));
    auto age = std::chrono::round<Milliseconds>(monotonicNow() - connection.since);
    m_log.writeRoutine("client_ended",
        { { "listener", m_listener }, { "shortage", name(shortage) }, { "stage", name(connection.stage) },
            { "bytes", connection.bytes }, { "age_ms", age.count() }, { "bytes_of_all", m_budget.bytes() },
            { "connections", m_budget.connections() } });
}

void ClientConnections::publishMetrics() const
{
    m_metrics.set(fmt::format("client_bytes{{listener=\"{}\"}}", m_listener), static_cast<double>(m_budget.bytes()));
    m_metrics.set(
        fmt::format("client_connections{{listener=\"{}\"}}", m_listener), static_cast<double>(m_budget.connections()));
}

ClientShare::ClientShare(ClientConnections& owner, ClientBudget::Id id)
    : m_owner(owner)
    , m_id(id)
{
    hold(HeldPart::Connection, connectionBytes);
}

ClientShare::~ClientShare()
{
    m_owner.m_budget.remove(m_id);
    m_owner.m_ends.erase(m_id);
}

void ClientShare::enter(ClientStage stage)
{
    if (stage != this->stage())
        m_owner.m_budget.setStage(m_id, stage, monotonicNow());
}

void ClientShare::hold(HeldPart part, size_t bytes)
{
    size_t& held = m_parts[static_cast<size_t>(part)];
    if (held == bytes)
        return;
    m_total += bytes - held;
    held = bytes;
    m_owner.m_budget.setBytes(m_id, m_total);
}

bool ClientShare::tryReserve(HeldPart part, size_t bytes)
{
    size_t held = m_parts[static_cast<size_t>(part)];
    if (bytes > held && !m_owner.m_budget.fits(bytes - held))
        return false;
    hold(part, bytes);
    return true;
}

asio::awaitable<bool> ClientShare::reserve(HeldPart part, size_t bytes)
{
    while (!tryReserve(part, bytes)) {
        size_t more = bytes - m_parts[static_cast<size_t>(part)];
        bool canFit = more <= m_owner.m_budget.limits().bytes && !m_owner.m_budget.at(m_id).isLeaving;
        if (!canFit)
            co_return false;
        bool fits = m_owner.makeRoom(more);
        bool mayFit = m_owner.m_budget.willFit(more) && !m_owner.m_budget.at(m_id).isLeaving;
        if (!mayFit)
            co_return false;
        if (!fits)
            co_await sleepFor(roomPollPeriod);
    }
    co_return true;
}

void ClientShare::releaseDescriptor() { m_owner.m_budget.releaseDescriptor(m_id); }

} // namespace Kumquatpick
