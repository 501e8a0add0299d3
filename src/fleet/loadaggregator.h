#pragma once

#include "base/clock.h"
#include "fleet/servicemodel.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Requests in flight at the backend servers, by host.
using LoadsByHost = std::map<std::string, uint32_t, std::less<>>;

// The time since something was last seen, by host.
using AgesByHost = std::map<std::string, Milliseconds, std::less<>>;

// Older progress is not reported. It proves nothing: no engine with running streams is silent for as long.
inline constexpr Milliseconds maxProgressAge { 4000 };

// What a node, or all nodes of a zone, use and lack.
struct NodeLoads {
    LoadsByHost inFlight;
    UnmetDemand unmetDemand;

    // Since a running stream of this host last went on at any of the nodes.
    AgesByHost progressAges {};

    bool operator==(const NodeLoads&) const = default;
};

// Adds the ages of progress to those known, of which the lower ones count, after they have aged by this time.
void addProgress(AgesByHost& total, const AgesByHost&, MonotonicTime::duration agedBy);

// Adds up the loads that the nodes of a zone report, and stores the totals of the other zones. One node
// of each zone does this for all its nodes. Reports older than a second and a half are ignored: the sender has stopped
// or reports to another node. Not thread-safe.
class LoadAggregator {
public:
    void applyNodeReport(std::string_view node, NodeLoads, MonotonicTime now);
    void applyZoneTotal(std::string_view zone, NodeLoads, MonotonicTime now);

    // Whether any node reported its loads recently, so that this node aggregates for the zone.
    bool hasNodeReports(MonotonicTime now) const;
    // Whether the zone's total was received within the given time.
    bool hasRecentZoneTotal(std::string_view zone, Milliseconds within, MonotonicTime now) const;
    // Total of this zone's nodes.
    NodeLoads zoneTotal(MonotonicTime now) const;
    // Total of all nodes except this one.
    NodeLoads totalExcept(std::string_view node, MonotonicTime now) const;

private:
    struct LoadReport {
        NodeLoads loads;
        MonotonicTime receivedAt {};
    };
    using ReportsBySender = std::map<std::string, LoadReport, std::less<>>;

    static void addRecentLoads(const ReportsBySender&, std::string_view except, MonotonicTime now, NodeLoads& total);

    ReportsBySender m_nodeReports;
    ReportsBySender m_zoneTotals;
};

} // namespace Kumquatpick
