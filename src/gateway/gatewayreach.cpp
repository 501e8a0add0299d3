#include "gateway/gateway.h"

#include "gateway/reachcheck.h"
#include "gateway/task.h"

#include <nlohmann/json.hpp>

// The part of Gateway that finds out whether this node is cut off from backend servers.

namespace Kumquatpick {

void Gateway::checkLinks()
{
    MonotonicTime now = m_context.now();
    std::map<std::string_view, std::set<std::string_view>> silentServers; // By service.
    for (const auto& call : m_context.calls) {
        if (call->backend && !call->hostId.empty() && now - call->heardAt > ServerReach::silenceInDoubt)
            silentServers[call->service].insert(call->hostId);
    }
    for (const std::string& service : m_context.reach.services()) {
        if (!silentServers.contains(service))
            m_context.reach.setSilentServers(service, 0);
    }
    for (const auto& [service, servers] : silentServers)
        m_context.reach.setSilentServers(service, servers.size());
    for (std::string& service : m_context.reach.services()) {
        if (!m_context.reach.needsCheck(service, now))
            continue;
        m_context.reach.checkStarted(service, now);
        asio::co_spawn(m_context.io, checkReachOf(std::move(service)),
            loggingFailure(m_context.log, "checking whether servers are reached"));
    }
}

asio::awaitable<void> Gateway::checkReachOf(std::string service)
{
    ReachVerdict verdict = co_await checkReach(m_context, service);
    bool wasCutOff = m_context.reach.isCutOff(service);
    bool isReached = verdict == ReachVerdict::Unknown ? !wasCutOff : verdict == ReachVerdict::Reached;
    if (!m_context.reach.checkEnded(service, isReached, m_context.now()))
        co_return;
    m_context.metrics.set("services_cut_off", static_cast<double>(m_context.reach.cutOffServices().size()));
    m_context.log.write(isReached ? "servers_reached" : "servers_cut_off",
        { { "service", service }, { "nodes_reaching", m_context.nodesReaching(service).size() } });
    m_peers.exchangeNow();
    if (!isReached)
        suspectOtherServices(service);
}

// Links to one service are seldom lost alone.
void Gateway::suspectOtherServices(std::string_view cutOff)
{
    for (const ServiceSpec& service : m_context.routes->config().services) {
        if (service.name != cutOff && !m_context.reach.isCutOff(service.name))
            m_context.reach.suspect(service.name);
    }
}

} // namespace Kumquatpick
