#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

struct EvacuatedZone {
    std::string zone;
    Milliseconds age {}; // Since a node first read the operators' request.
};

// What one node knows of the evacuated zones, as the nodes pass it on to each other: all of them as of one offset of
// the operators' log.
struct EvacuationReport {
    uint64_t asOf = 0; // The first offset that is not reflected.
    std::vector<EvacuatedZone> zones;
};

// Availability zones whose backend servers get no new requests, because the operators asked for it. A zone is evacuated
// while the operators' log has a record of it.
//
// Each state is complete as of an offset of that log, so of two states the one with the higher offset replaces the
// other. A deletion needs no record of its own: it reaches a node that never saw the request, and an older state cannot
// bring the request back. A record that cannot be read changes nothing. Not thread-safe. The caller passes the time in.
class Evacuations {
public:
    enum class Verdict : uint8_t {
        Requested,
        Lifted,
        Unreadable,
    };

    // A listing of the newest record of each key, up to the end of the log. Zones without a record are not evacuated.
    void beginListing();
    void endListing(uint64_t end, MonotonicTime now);
    // A record of the listing in progress, or else the next one of the log.
    void applyRecord(std::string_view zone, Verdict, uint64_t offset, MonotonicTime now);
    // All records before the offset were applied.
    void advance(uint64_t offset);
    // What another node knows.
    void applyReport(const EvacuationReport&, MonotonicTime now);

    bool isEvacuated(std::string_view zone) const { return m_zones.contains(zone); }
    // Evacuated zones and since when.
    const std::map<std::string, MonotonicTime, std::less<>>& zones() const { return m_zones; }
    // Increases with each change of the evacuated zones.
    uint64_t version() const { return m_version; }
    uint64_t asOf() const { return m_asOf; }
    // For the other nodes; nothing while there is nothing to tell, which is the usual case.
    std::optional<EvacuationReport> report(MonotonicTime now) const;

private:
    using Zones = std::map<std::string, MonotonicTime, std::less<>>;

    void replaceZones(Zones);

    Zones m_zones;
    std::optional<std::map<std::string, Verdict, std::less<>>> m_listing; // In progress.
    uint64_t m_asOf = 0;
    uint64_t m_version = 0;
    bool m_hasNews = false; // A zone is or was evacuated, or other nodes believe so.
};

} // namespace Kumquatpick
