#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "fleet/answertimes.h"
#include "fleet/balancer.h"
#include "fleet/evacuations.h"
#include "fleet/firsteventforecast.h"
#include "fleet/fleetmembers.h"
#include "fleet/hosttable.h"
#include "fleet/loadaggregator.h"
#include "fleet/looppauses.h"
#include "fleet/mechanism.h"
#include "fleet/retryallowance.h"
#include "fleet/retrydetector.h"
#include "fleet/routetable.h"
#include "fleet/serverreach.h"
#include "fleet/servicemodel.h"
#include "fleet/stopplan.h"
#include "fleet/teamshares.h"
#include "gateway/activecall.h"
#include "gateway/connectionpool.h"
#include "gateway/eventlog.h"
#include "gateway/looptime.h"
#include "gateway/platform.h"
#include "gateway/settings.h"
#include "suspicion/suspicionstate.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Demand for a model as seen by this node, used to estimate how many replicas are needed.
struct ModelDemand {
    uint32_t refusedSinceTick = 0; // Calls that found no free slot.
    double unmetDemand = 0; // Slots that the refused calls would have occupied; smoothed.
};

// For which a normal end shows that a request is not what ended a server.
constexpr Milliseconds harmlessDuration { 10'000 };

// State shared by the components of a node. It is only used from one event loop, so it needs no locks: a host gives its
// node a quarter of a core, and one loop uses less of it than threads that pass requests to each other.
struct GatewayContext {
    GatewayContext(asio::io_context& ioContext, const GatewaySettings& s, const Platform& p)
        : io(ioContext)
        , settings(s)
        , platform(p)
        , disabledMechanisms(DisabledMechanisms::parse(s.disabledMechanisms).value_or(DisabledMechanisms()))
        , pool(ioContext.get_executor(), s.exchangeBudget())
        , balancer(s.zone, s.warmupBound())
        , random(seededFromSystem())
        , retries(s.retryLimits(), drawUniform())
        , members(monotonicNow(), s.isFirstStart())
        , log(s.logDescriptor, s.name)
        , incarnation(random() >> 12) // Small enough for a JSON number in every parser.
        , suspicion(incarnation, { .harmlessDuration = harmlessDuration, .namesAreUnique = true })
    {
        hosts.setHeartbeat(settings.heartbeat);
    }

    asio::io_context& io;
    const GatewaySettings& settings;
    const Platform& platform;
    const DisabledMechanisms disabledMechanisms;
    std::shared_ptr<const RouteTable> routes; // nullptr until a configuration is received.
    std::string configText; // As stored; served to nodes that lack it.
    HostTable hosts;
    Evacuations evacuations; // Zones whose backend servers get nothing new.
    ConnectionPool pool;
    Balancer balancer;
    Random random;
    RetryAllowance retries;
    FleetMembers members;
    Metrics metrics;
    LoopPauses pauses;
    LoopTime loopTime;
    EventLog log;
    uint64_t incarnation; // Identifies this run of the process.
    SuspicionState suspicion; // Requests that end the servers which run them; hosts by their incarnations.
    std::set<std::shared_ptr<ActiveCall>> calls;
    std::map<ServiceModel, ModelDemand> demand;
    AnswerTimes answerTimes;
    FirstEventForecast forecast;
    std::map<ServiceModel, TeamShares> teamShares;
    std::map<std::string, RetryDetector, std::less<>> callerTimeouts; // Timeouts of callers, by route name.
    bool anyCallSeen = false;
    std::optional<StopPlan> stopPlan; // Set once the node was told to stop.
    // Sets the plan if the node was told to stop since it was last called.
    std::function<void()> noticeStop = [] {};
    bool hasOtherNodes = false; // Callers get the addresses of other nodes that take calls.
    bool hasHostList = false; // The list of backend servers was read at least once.

    // The configuration is recent enough that no newer one can be in force, so a route or key that it lacks does not
    // exist.
    bool isConfigCurrent = false;
    std::map<Address, MonotonicTime> hostAddresses; // Includes hosts that were listed recently.
    std::set<std::string, std::less<>> unreadableProgressSenders; // Already logged.
    ServerReach reach; // Whether this node itself is cut off from backend servers.
    // Addresses for callers of other nodes that reach the service.
    std::function<std::vector<std::string>(std::string_view service)> nodesReaching;
    // Of a message to or from another node, with what it answered. Counted per zone, because traffic between zones is
    // slow and billed.
    void countPeerBytes(std::string_view kind, std::string_view zone, size_t bytes)
    {
        const char* zoneLabel = zone == settings.zone ? "own" : "other";
        metrics.count(fmt::format("peer_bytes_total{{kind=\"{}\",zone=\"{}\"}}", kind, zoneLabel), bytes);
    }
    // Since a running stream of each host last went on at this node.
    AgesByHost ownProgressAges() const
    {
        AgesByHost ages;
        for (const auto& [host, at] : balancer.progressSince(now() - maxProgressAge))
            ages.emplace(host, std::chrono::floor<Milliseconds>(now() - at));
        return ages;
    }
    bool isHostAddress(const Address& address) const { return hostAddresses.contains(address); }

    bool isStopping() const { return stopPlan.has_value(); }
    MonotonicTime now() const { return monotonicNow(); }
    double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
};

} // namespace Kumquatpick
