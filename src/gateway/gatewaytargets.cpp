#include "fleet/servingtargets.h"
#include "gateway/gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>

// The part of Gateway that determines which backend servers may receive calls, and how much more capacity is needed.

namespace Kumquatpick {

namespace {

    // A refused call would have occupied a slot for about the duration of a usual response.
    constexpr double slotSecondsPerRefusal = 1.5;
    constexpr double demandSmoothing = 0.05; // Per tick.
    // Computing the targets visits all hosts. While thousands of them change, it takes at most a tenth of the node's
    // time.
    constexpr int pauseRatio = 9;
    constexpr Milliseconds maxTargetsPause { 300 };
    // For which a stalled replica gets no new calls.
    constexpr Milliseconds stalledAvoidance { 1500 };
    // Replicas count as stalled after a longer silence.
    constexpr Milliseconds shorterThanStall { 200 };
    // A call whose server has sent nothing for this long while this node is cut off.
    constexpr Milliseconds cutOffSilence { 250 };
    // While a replica stays stalled, the other nodes are told again before they use it again.
    constexpr Milliseconds stallNoticePeriod { 1000 };

}

void Gateway::refreshTargets()
{
    MonotonicTime begunAt = m_context.now();
    if (!m_context.routes || begunAt < m_nextTargets
        || (m_targetsHostVersion == m_context.hosts.version() && m_targetsRoutes == m_context.routes.get()
            && m_targetsEvacuations == m_context.evacuations.version()))
        return;
    LoopTime::Section section(m_context.loopTime, LoopPart::Targets);
    m_targetsHostVersion = m_context.hosts.version();
    m_targetsRoutes = m_context.routes.get();
    m_targetsEvacuations = m_context.evacuations.version();
    const FleetConfig& config = m_context.routes->config();
    for (const ServiceSpec& service : config.services) {
        if (service.servesModels())
            m_context.forecast.setTiming(service.name, service.timing);
    }
    ServingTargets serving = servingTargets(
        config, m_context.hosts, [this](std::string_view zone) { return m_context.evacuations.isEvacuated(zone); });
    m_retiringHeads = std::move(serving.retiringHeads);
    m_context.balancer.setTargets(std::move(serving.targets));
    MonotonicTime now = m_context.now();
    m_nextTargets = now + std::min<MonotonicTime::duration>((now - begunAt) * pauseRatio, maxTargetsPause);
}

// All streams of a replica that lost a member stall at once. Those that can go on elsewhere move instead of waiting for
// an error; the others wait, because a silent replica may go on. The same holds for slow servers. Calls also move from
// replicas that give way to other models, as these need the hosts soon.
void Gateway::moveCalls()
{
    MonotonicTime now = m_context.now();
    m_context.forecast.tick(now);
    std::vector<std::string> stalled;
    if (!m_context.disabledMechanisms.contains(Mechanism::StalledStreamClose))
        stalled = m_context.balancer.stalledTargets(now);
    std::erase_if(m_stalledReplicas, [&](const auto& entry) { return !std::ranges::count(stalled, entry.first); });
    for (const std::string& hostId : stalled) {
        if (stalled.size() == 1 || isReplicaAtFault(hostId))
            moveCallsOfStalledReplica(hostId);
    }
    for (const auto& call : m_context.calls) {
        if (m_context.reach.isCutOff(call->service) && now - call->heardAt > cutOffSilence)
            call->leaveServer(LeaveReason::CutOff);
        if (call->slowAt && *call->slowAt <= now)
            call->leaveServer(LeaveReason::Slow);
        if (m_retiringHeads.contains(call->hostId))
            call->leaveServer(LeaveReason::Retiring);
    }
}

// Whether a stalled replica is at fault rather than the links of this node. Of several at once that is known only after
// a check, within a fraction of a second.
bool Gateway::isReplicaAtFault(const std::string& hostId)
{
    const Host* host = m_context.hosts.find(hostId);
    if (!host || m_context.reach.isReachedSince(host->service, m_context.now() - shorterThanStall))
        return true;
    m_context.reach.suspect(host->service);
    return false;
}

void Gateway::moveCallsOfStalledReplica(const std::string& hostId)
{
    MonotonicTime now = m_context.now();
    size_t moved = 0;
    size_t waiting = 0;
    for (const auto& call : m_context.calls) {
        if (call->hostId == hostId && call->backend)
            ++(call->leaveServer(LeaveReason::Stalled) ? moved : waiting);
    }
    m_context.balancer.suspect(hostId, now + stalledAvoidance);
    auto [known, isNew] = m_stalledReplicas.try_emplace(hostId, now);
    if (isNew || moved > 0)
        m_context.log.write("replica_stalled", { { "host", hostId }, { "calls", moved }, { "waiting", waiting } });
    if (!isNew && now - known->second < stallNoticePeriod)
        return;
    known->second = now;
    m_context.metrics.count("replicas_standing_still_total");
    m_peers.publishStall(hostId);
    m_peers.exchangeNow();
}

void Gateway::updateDemand()
{
    double perSecond = 1000.0 / static_cast<double>(maintenancePeriod.count());
    for (auto& [key, demand] : m_context.demand) {
        demand.unmetDemand
            += demandSmoothing * (demand.refusedSinceTick * perSecond * slotSecondsPerRefusal - demand.unmetDemand);
        demand.refusedSinceTick = 0;
    }
}

} // namespace Kumquatpick
