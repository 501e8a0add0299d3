#pragma once

#include "base/metrics.h"
#include "base/random.h"
#include "fleet/balancer.h"
#include "fleet/hosttable.h"
#include "fleet/looppauses.h"
#include "fleet/mechanism.h"
#include "fleet/patienceprofile.h"
#include "fleet/retryallowance.h"
#include "fleet/routetable.h"
#include "gateway/activecall.h"
#include "gateway/connectionpool.h"
#include "gateway/eventlog.h"
#include "gateway/looptime.h"
#include "gateway/platform.h"
#include "gateway/settings.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Kumquatpick {

// What this node saw of a model's calls, for estimating how many replicas would be filled.
struct ModelDemand {
    uint32_t refusedSinceTick = 0; // Found no place.
    double waiting = 0; // Places that the refused calls would have held; smoothed.
};

// What the parts of a node share. All of it is used from one event loop, so nothing here has a lock: a host gives its
// node a quarter of one core, and a loop spends less of it than threads that hand requests to each other.
struct GatewayContext {
    GatewayContext(asio::io_context& ioContext, const GatewaySettings& s, const Platform& p)
        : io(ioContext)
        , settings(s)
        , platform(p)
        , off(MechanismsOff::parse(s.without).value_or(MechanismsOff()))
        , pool(ioContext.get_executor())
        , balancer(s.zone)
        , retries(s.retryLimits(), monotonicNow())
        , log(s.logDescriptor, s.name)
        , random(seededFromSystem())
        , incarnation(random() >> 12) // Fits into a JSON number of every reader.
    {
    }

    asio::io_context& io;
    const GatewaySettings& settings;
    const Platform& platform;
    const MechanismsOff off;
    std::shared_ptr<const RouteTable> routes; // nullptr until a configuration is known.
    std::string configText; // As the store has it; handed to nodes that lack it.
    HostTable hosts;
    ConnectionPool pool;
    Balancer balancer;
    RetryAllowance retries;
    Metrics metrics;
    LoopPauses pauses;
    LoopTime loopTime;
    EventLog log;
    Random random;
    uint64_t incarnation; // Of this life of the process.
    std::set<std::shared_ptr<ActiveCall>> calls;
    std::map<std::string, ModelDemand, std::less<>> demand; // By model.
    std::map<std::string, PatienceProfile, std::less<>> patience; // Of the callers of a route, by its name.
    bool anyCallSeen = false;
    bool isStopping = false;
    bool hostsListed = false; // The list of backend servers was read once.

    // Addresses of hosts, also of those that were listed a while ago.
    // No newer configuration can be in force, as far as it must be known here: what it lacks does not exist.
    bool isConfigCurrent = false;
    std::map<Address, MonotonicTime> hostAddresses;
    bool isHostAddress(const Address& address) const { return hostAddresses.contains(address); }

    MonotonicTime now() const { return monotonicNow(); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }
};

} // namespace Kumquatpick
