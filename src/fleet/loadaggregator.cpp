#include "fleet/loadaggregator.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Covers three of the longest rounds of the load exchange, so that a single late answer has no effect.
    constexpr Milliseconds reportLifetime { 1500 };

}

void addProgress(AgesByHost& total, const AgesByHost& ages, MonotonicTime::duration agedBy)
{
    for (const auto& [host, reported] : ages) {
        Milliseconds age = reported + std::chrono::ceil<Milliseconds>(agedBy);
        if (age > maxProgressAge)
            continue;
        Milliseconds& known = total.try_emplace(host, age).first->second;
        known = std::min(known, age);
    }
}

void LoadAggregator::applyNodeReport(std::string_view node, NodeLoads loads, MonotonicTime now)
{
    std::erase_if(m_nodeReports, [&](const auto& entry) { return now - entry.second.receivedAt > reportLifetime; });
    m_nodeReports.insert_or_assign(std::string(node), LoadReport { std::move(loads), now });
}

void LoadAggregator::applyZoneTotal(std::string_view zone, NodeLoads loads, MonotonicTime now)
{
    m_zoneTotals.insert_or_assign(std::string(zone), LoadReport { std::move(loads), now });
}

bool LoadAggregator::hasNodeReports(MonotonicTime now) const
{
    return std::ranges::any_of(
        m_nodeReports, [&](const auto& entry) { return now - entry.second.receivedAt <= reportLifetime; });
}

bool LoadAggregator::hasRecentZoneTotal(std::string_view zone, Milliseconds within, MonotonicTime now) const
{
    auto found = m_zoneTotals.find(zone);
    return found != m_zoneTotals.end() && now - found->second.receivedAt < within;
}

void LoadAggregator::addRecentLoads(
    const ReportsBySender& reports, std::string_view except, MonotonicTime now, NodeLoads& total)
{
    for (const auto& [name, report] : reports) {
        if (name == except || now - report.receivedAt > reportLifetime)
            continue;
        for (const auto& [host, count] : report.loads.inFlight)
            total.inFlight[host] += count;
        for (const auto& [key, slots] : report.loads.unmetDemand)
            total.unmetDemand[key] += slots;
        addProgress(total.progressAges, report.loads.progressAges, now - report.receivedAt);
    }
}

NodeLoads LoadAggregator::zoneTotal(MonotonicTime now) const
{
    NodeLoads total;
    addRecentLoads(m_nodeReports, {}, now, total);
    return total;
}

NodeLoads LoadAggregator::totalExcept(std::string_view node, MonotonicTime now) const
{
    NodeLoads total;
    addRecentLoads(m_nodeReports, node, now, total);
    addRecentLoads(m_zoneTotals, {}, now, total);
    return total;
}

} // namespace Kumquatpick
