#include "gateway/gateway.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

// The part of Gateway that follows which availability zones the operators want evacuated.

namespace Kumquatpick {

namespace {

    constexpr size_t maxIgnoredKeys = 1000; // Keys; further ones are not logged.

}

// Returns false if the record is none about an evacuation.
bool Gateway::applyEvacuationRecord(const LogRecord& record)
{
    auto zone = m_context.platform.evacuatedZone(record.key);
    if (!zone)
        return false;
    auto verdict = Evacuations::Verdict::Lifted;
    if (!record.isReadable || record.value) {
        auto problem = record.isReadable
            ? m_context.platform.evacuationProblem(*record.value)
            : std::optional<Error>(Error { ErrorCode::Malformed, Step::LogRead, "store", "bytes" });
        if (zone->empty())
            problem = Error { ErrorCode::Malformed, Step::LogRead, "store", "the key names no zone" };
        if (problem)
            logIgnoredEvacuation(record.key, describe(*problem));
        verdict = problem ? Evacuations::Verdict::Unreadable : Evacuations::Verdict::Requested;
    }
    if (!zone->empty())
        m_context.evacuations.applyRecord(*zone, verdict, record.offset, m_context.now());
    return true;
}

void Gateway::logIgnoredEvacuation(const std::string& key, std::string_view problem)
{
    if (m_ignoredEvacuations.size() < maxIgnoredKeys && m_ignoredEvacuations.insert(key).second)
        m_context.log.write("evacuation_ignored", { { "key", key }, { "problem", problem } });
}

// Makes a change of the evacuated zones take effect at once, and passes it on.
void Gateway::applyEvacuations(std::string_view source)
{
    const Evacuations& evacuations = m_context.evacuations;
    if (std::exchange(m_evacuationsVersion, evacuations.version()) == evacuations.version())
        return;
    MonotonicTime now = m_context.now();
    auto before = std::exchange(m_evacuatedZones, evacuations.zones());
    for (const auto& [zone, since] : m_evacuatedZones) {
        auto age = std::chrono::round<Milliseconds>(now - since);
        if (!before.contains(zone))
            m_context.log.write("zone_evacuated",
                { { "zone", zone }, { "source", source }, { "age_ms", age.count() }, { "as_of", evacuations.asOf() },
                    { "is_late", age > m_context.settings.evacuateWithin } });
    }
    for (const auto& [zone, since] : before) {
        if (m_evacuatedZones.contains(zone))
            continue;
        m_context.log.write("zone_taken_back",
            { { "zone", zone }, { "source", source }, { "as_of", evacuations.asOf() },
                { "evacuated_ms", std::chrono::round<Milliseconds>(now - since).count() } });
        m_context.metrics.set(fmt::format("zone_evacuated_seconds{{zone=\"{}\"}}", zone), 0);
    }
    m_nextTargets = now;
    refreshTargets();
    m_peers.exchangeNow();
}

void Gateway::publishEvacuations()
{
    const Evacuations& evacuations = m_context.evacuations;
    m_context.metrics.set("evacuated_zones", static_cast<double>(evacuations.zones().size()));
    m_context.metrics.set("evacuations_as_of", static_cast<double>(evacuations.asOf()));
    for (const auto& [zone, since] : evacuations.zones()) {
        m_context.metrics.set(
            fmt::format("zone_evacuated_seconds{{zone=\"{}\"}}", zone), toSeconds(m_context.now() - since));
        if (m_context.hasHostList && !isKnownZone(zone))
            logIgnoredEvacuation(zone, "no node or backend server is known in this zone");
    }
}

bool Gateway::isKnownZone(std::string_view zone) const
{
    auto isThere = [zone](const auto& entry) { return entry.second.zone == zone; };
    return zone == m_context.settings.zone || !m_peers.nodesInZone(zone).empty()
        || std::ranges::any_of(m_context.hosts.hosts(), isThere);
}

} // namespace Kumquatpick
