#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Requests in flight at the backend servers, by host.
using LoadsByHost = std::map<std::string, uint32_t, std::less<>>;

// Adds up the requests in flight that the nodes of a zone report, and stores the totals of the other zones. One node
// of each zone does this for all its nodes. Reports older than one second are ignored: the sender has stopped or
// reports to another node. Not thread-safe.
class LoadAggregator {
public:
    void applyNodeReport(std::string_view node, LoadsByHost, MonotonicTime now);
    void applyZoneTotal(std::string_view zone, LoadsByHost, MonotonicTime now);

    // Whether any node reported its loads recently, so that this node aggregates for the zone.
    bool hasNodeReports(MonotonicTime now) const;
    // Whether the zone's total was received within the given time.
    bool hasRecentZoneTotal(std::string_view zone, Milliseconds within, MonotonicTime now) const;
    // Total of this zone's nodes.
    LoadsByHost zoneTotal(MonotonicTime now) const;
    // Total of all nodes except this one.
    LoadsByHost totalExcept(std::string_view node, MonotonicTime now) const;

private:
    struct LoadReport {
        LoadsByHost loads;
        MonotonicTime receivedAt {};
    };
    using ReportsBySender = std::map<std::string, LoadReport, std::less<>>;

    static void addRecentLoads(const ReportsBySender&, std::string_view except, MonotonicTime now, LoadsByHost& total);

    ReportsBySender m_nodeReports;
    ReportsBySender m_zoneTotals;
};

} // namespace Kumquatpick
