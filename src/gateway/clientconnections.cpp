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

}

ClientConnections::ClientConnections(
    asio::io_context& io, std::string listener, ClientBudget::Limits limits, EventLog& log, Metrics& metrics)
    : m_listener(std::move(listener))
    , m_budget(limits)
    , m_log(log)
    , m_metrics(metrics)
    , m_released(io, MonotonicTime::max())
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
    return true;
}

void ClientConnections::setBytes(ClientBudget::Id id, size_t bytes)
{
    bool releases = m_budget.at(id).isLeaving && bytes < m_budget.at(id).bytes;
    m_budget.setBytes(id, bytes);
    if (releases)
        m_released.cancel();
}

void ClientConnections::end(ClientBudget::Id id, Shortage shortage)
{
    logEnd(id, shortage);
    m_ends.at(id)(shortage);
    m_released.cancel(); // It may wait for room itself.
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
    m_owner.setBytes(m_id, 0);
    m_owner.m_budget.remove(m_id);
    m_owner.m_ends.erase(m_id);
}

void ClientShare::enter(ClientStage stage)
{
    if (stage != this->stage())
        m_owner.m_budget.setStage(m_id, stage, monotonicNow());
    if (stage == ClientStage::Closing)
        m_owner.m_released.cancel(); // It no longer counts as leaving.
}

void ClientShare::hold(HeldPart part, size_t bytes)
{
    size_t& held = m_parts[static_cast<size_t>(part)];
    if (held == bytes)
        return;
    m_total += bytes - held;
    held = bytes;
    m_owner.setBytes(m_id, m_total);
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
    if (tryReserve(part, bytes))
        co_return true;
    size_t before = m_parts[static_cast<size_t>(part)];
    const ClientBudget& budget = m_owner.m_budget;
    bool isPossible = bytes - before <= budget.limits().bytes && !isLeaving();
    if (isPossible)
        isPossible = m_owner.makeRoom(bytes - before);
    if (!isPossible || isLeaving())
        co_return false;
    hold(part, bytes);
    uint64_t point = budget.releasePoint();
    while (!budget.hasReleased(point) && !isLeaving())
        co_await m_owner.m_released.async_wait(asTuple);
    if (!isLeaving())
        co_return true;
    hold(part, before);
    co_return false;
}

void ClientShare::releaseDescriptor() { m_owner.m_budget.releaseDescriptor(m_id); }

} // namespace Kumquatpick
