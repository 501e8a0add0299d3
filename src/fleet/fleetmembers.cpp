#include "fleet/fleetmembers.h"

#include "fleet/nodeexchange.h"

#include <algorithm>

namespace Kumquatpick {

FleetMembers::FleetMembers(MonotonicTime started, bool isFirstStart)
    : m_started(started)
    , m_isFirstStart(isFirstStart)
{
}

void FleetMembers::update(const NodeExchange& exchange, MonotonicTime now)
{
    m_nodes.clear();
    m_count.reset();
    const NodeTable& table = exchange.table();
    bool isNew = now - m_started < lostNodeRetention;
    bool hasHeardOthers = !table.others().empty() && exchange.isSettled(now);
    if (isNew && exchange.expectsOthers() && !hasHeardOthers)
        return;

    m_nodes.push_back({ table.self().address, table.self().cpuShare });
    uint32_t known = 1;
    for (const auto& [address, entry] : table.others()) {
        bool isLost = entry.state.isSilent && now - entry.changedAt > lostNodeRetention;
        bool hasStopped = entry.state.isSilent && entry.state.isStopping;
        if (isLost || hasStopped)
            continue;
        ++known;
        if (!entry.state.isStopping)
            m_nodes.push_back({ address, entry.state.cpuShare });
    }

    uint32_t told = isNew ? exchange.toldFleetNodes() : 0;
    bool isCounted = m_isFirstStart || !exchange.expectsOthers() || now - m_started >= joinTime;
    bool isComplete = !isNew || m_isFirstStart || !exchange.expectsOthers() || told > 0;
    if (isCounted && isComplete)
        m_count = std::max(told, known);
}

} // namespace Kumquatpick
