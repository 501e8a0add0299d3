#include "fleet/evacuations.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // Far above the zones of any deployment; bounds what a faulty writer can make each message carry.
    constexpr size_t maxZones = 256;

}

void Evacuations::beginListing() { m_listing.emplace(); }

void Evacuations::applyRecord(std::string_view zone, Verdict verdict, uint64_t offset, MonotonicTime now)
{
    if (m_listing) {
        m_listing->insert_or_assign(std::string(zone), verdict);
        return;
    }
    // A report of another node was ahead of this node's reads.
    if (offset < m_asOf || verdict == Verdict::Unreadable)
        return;
    Zones zones = m_zones;
    if (verdict == Verdict::Lifted)
        zones.erase(std::string(zone));
    else if (zones.size() < maxZones)
        zones.try_emplace(std::string(zone), now);
    replaceZones(std::move(zones));
}

void Evacuations::endListing(uint64_t end, MonotonicTime now)
{
    auto listing = std::move(m_listing);
    m_listing.reset();
    if (!listing || end < m_asOf)
        return;
    Zones zones;
    for (const auto& [zone, verdict] : *listing) {
        auto known = m_zones.find(zone);
        bool isKnown = known != m_zones.end();
        if ((verdict == Verdict::Requested || (verdict == Verdict::Unreadable && isKnown)) && zones.size() < maxZones)
            zones.emplace(zone, isKnown ? known->second : now);
    }
    replaceZones(std::move(zones));
    m_asOf = end;
}

void Evacuations::advance(uint64_t offset) { m_asOf = std::max(m_asOf, offset); }

void Evacuations::applyReport(const EvacuationReport& report, MonotonicTime now)
{
    if (report.asOf <= m_asOf) {
        // The sender has yet to learn that a zone is not evacuated any more.
        bool isOutdated = report.asOf < m_asOf
            && std::ranges::any_of(report.zones, [this](const auto& entry) { return !isEvacuated(entry.zone); });
        m_hasNews = m_hasNews || isOutdated;
        return;
    }
    Zones zones;
    for (const EvacuatedZone& entry : report.zones) {
        if (entry.zone.empty() || zones.size() >= maxZones)
            continue;
        MonotonicTime since = now - std::max(entry.age, Milliseconds(0));
        auto known = m_zones.find(entry.zone);
        zones.emplace(entry.zone, known == m_zones.end() ? since : std::min(since, known->second));
    }
    replaceZones(std::move(zones));
    m_asOf = report.asOf;
}

void Evacuations::replaceZones(Zones zones)
{
    bool isSame = std::ranges::equal(zones, m_zones, {}, &Zones::value_type::first, &Zones::value_type::first);
    m_zones = std::move(zones);
    if (isSame)
        return;
    ++m_version;
    m_hasNews = true;
}

std::optional<EvacuationReport> Evacuations::report(MonotonicTime now) const
{
    if (!m_hasNews)
        return std::nullopt;
    EvacuationReport report { m_asOf, {} };
    for (const auto& [zone, since] : m_zones)
        report.zones.push_back({ zone, std::chrono::ceil<Milliseconds>(now - since) });
    return report;
}

} // namespace Kumquatpick
