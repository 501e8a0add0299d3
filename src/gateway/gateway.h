#pragma once

#include "gateway/callersession.h"
#include "gateway/clientconnections.h"
#include "gateway/context.h"
#include "gateway/controllerloop.h"
#include "gateway/lease.h"
#include "gateway/listener.h"
#include "gateway/loadexchange.h"
#include "gateway/peers.h"
#include "gateway/storeclient.h"

#include <functional>
#include <list>
#include <memory>

namespace Kumquatpick {

// One node: forwards callers' requests, follows the store, exchanges state with the other nodes, and controls the
// replicas while it holds the lease. Uses one event loop; run() returns after a graceful stop.
class Gateway {
public:
    Gateway(asio::io_context&, const GatewaySettings&, const Platform&);

    // Fails if an address cannot be bound.
    Settled<std::monostate> start();
    // Takes only calls that it can finish, and ends the event loop once all calls are complete, at the latest shortly
    // before the grace period ends.
    void stop() { stop(m_context.now()); }
    // Asked regularly when the node was requested to stop; nothing while it was not.
    void stopWhen(std::function<std::optional<MonotonicTime>()> requestedAt)
    {
        m_stopRequestedAt = std::move(requestedAt);
    }

private:
    static constexpr Milliseconds maintenancePeriod { 50 };

    void acceptCaller(asio::ip::tcp::socket);
    asio::awaitable<HttpResponse> answerReadiness(const HttpRequest&) const;
    asio::awaitable<HttpResponse> answerPeer(const HttpRequest&);
    asio::awaitable<HttpResponse> answerEntries(const HttpRequest&);
    bool isReady() const;

    void adoptConfig(std::string_view text, std::string_view source);
    bool applyHostRecord(const LogRecord&);
    bool applyHostEntry(const std::string& key, Host);
    void noteWarmup(const Host&);
    void assumeColdZone(std::string_view zone);
    void applyColdRates();
    void retryHostsWithoutService();
    void removeUnlistedHosts();
    void handleUnreadableEntry(const std::string& key, const Error&);
    Milliseconds overwrittenEntryGrace() const;
    void removeHost(const std::string& name);
    void removeDueHosts();
    void examineGoneHosts();
    bool applyEvacuationRecord(const LogRecord&);
    void applyEvacuations(std::string_view source);
    void logIgnoredEvacuation(const std::string& key, std::string_view problem);
    void publishEvacuations();
    bool isKnownZone(std::string_view zone) const;
    LogFollower::Handlers configHandlers();
    LogFollower::Handlers hostHandlers();

    NodeExchange::OwnReport ownReport() const;
    void applyReceived(const NodeExchange::Received&, std::string_view sender);
    void divideLimits();
    void reportAliveNodes();
    void reportRetries();

    void startEssential(std::string_view task, asio::awaitable<void>);
    asio::awaitable<void> runMaintenance();
    void refreshTargets();
    void refreshHostAddresses();
    void refreshPeersInFlight();
    void detectLoopPause(MonotonicTime now);
    void publishLoopMetrics();
    void publishClientMetrics() const;
    std::optional<MonotonicTime> configConfirmedAt() const;
    MonotonicTime::duration configAge() const;
    bool isConfigCurrent() const;
    // Finds out whether failures of several servers are failures of this node's own links.
    void checkLinks();
    asio::awaitable<void> checkReachOf(std::string service);
    void suspectOtherServices(std::string_view cutOff);
    void moveCalls();
    bool isReplicaAtFault(const std::string& hostId);
    void moveCallsOfStalledReplica(const std::string& hostId);
    void updateDemand();
    void stop(MonotonicTime requestedAt);
    void stopIfRequested();
    asio::awaitable<void> stopGracefully();
    size_t closeIdleSessions();

    GatewayContext m_context;
    StoreHealth m_health;
    Peers m_peers;
    LoadExchange m_loads;
    ControllerLease m_lease;
    ControllerLoop m_controller;
    LogFollower m_configFollower;
    LogFollower m_hostFollower;
    ClientConnections m_callerConnections;
    GatewayListener m_callers;
    SimpleHttpServer m_readiness;
    SimpleHttpServer m_entries;
    SimpleHttpServer m_peerServer;
    std::list<std::weak_ptr<CallerSession>> m_sessions;
    std::function<std::optional<MonotonicTime>()> m_stopRequestedAt = [] { return std::optional<MonotonicTime>(); };
    std::set<std::string, std::less<>> m_listedNames; // Names of the hosts seen in the current listing.
    std::set<std::string, std::less<>> m_unreadableHosts; // Keys of entries that were logged as unreadable.
    std::set<std::string, std::less<>> m_ignoredEvacuations; // Keys or zones of requests that were logged as ignored.
    std::map<std::string, MonotonicTime, std::less<>> m_evacuatedZones; // As of m_evacuationsVersion.
    uint64_t m_evacuationsVersion = 0; // That took effect last.
    // Entries, by key, whose service is missing from the configuration. They are kept because a later configuration may
    // have the service, and each entry is only read once.
    std::map<std::string, Host, std::less<>> m_hostsWithoutService;
    // By name: when to remove hosts whose entries expired around a store outage or were overwritten by another writer.
    std::map<std::string, MonotonicTime, std::less<>> m_pendingRemovals;
    std::set<std::string, std::less<>> m_retiringHeads; // Of replicas that give way to other models.
    std::map<std::string, MonotonicTime, std::less<>> m_stalledReplicas; // By head: when the nodes were last told.
    MonotonicTime::duration m_longestPause {}; // Since the process started.
    size_t m_loggedAliveNodes = 0; // Others that this node considers alive, as last logged.
    uint64_t m_targetsHostVersion = UINT64_MAX; // Versions from which the targets were computed.
    const RouteTable* m_targetsRoutes = nullptr;
    uint64_t m_targetsEvacuations = 0;
    MonotonicTime m_nextTargets {}; // When the targets may be computed again.
    std::optional<MonotonicTime> m_loadsAppliedAt; // Reception of the loads that the balancer uses.
};

} // namespace Kumquatpick
