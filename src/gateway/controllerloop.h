#pragma once

#include "fleet/fleetdemand.h"
#include "fleet/fleetplanner.h"
#include "gateway/context.h"
#include "gateway/lease.h"
#include "gateway/loadexchange.h"
#include "gateway/peers.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Kumquatpick {

// Executes the decisions of the replica planner while this node holds the controller lease: polls the status of hosts,
// sends orders, and shares the statuses with the other nodes.
class ControllerLoop {
public:
    ControllerLoop(GatewayContext&, ControllerLease&, Peers&, const LoadExchange&);

    asio::awaitable<void> run();

private:
    struct Contact {
        MonotonicTime polledAt {};
        MonotonicTime answeredAt {};
        int failures = 0; // Consecutive failures.
        bool isRefused = false; // The latest failure was a refused connection.
        bool hasEnded = false;
        bool isPolling = false;
        std::string relayPeer; // A peer that reaches the host while this node does not.
        std::set<std::string> peersFailed; // Peers that failed to reach it since the last successful status request.
    };

    // What the other nodes were told of a host.
    struct PublishedStatus {
        HostStatus status;
        MonotonicTime at {};
    };

    // Concurrent status requests to one host through several peers.
    struct RelayedPoll {
        RelayedPoll(const asio::any_io_executor& executor, size_t count)
            : done(executor)
            , unanswered(count)
        {
        }

        asio::steady_timer done;
        size_t unanswered;
        std::optional<HttpResponse> answer;
    };

    void tick(uint64_t fencing);
    void planService(const ServiceSpec&, uint64_t fencing, bool isSummaryDue);
    void updateDemand();
    void summarize(const PlannerInput&, const ReplicaPlanner&);
    HostContact contact(std::string_view hostId) const;
    using HostIdSet = std::set<std::string, std::less<>>;
    void pollHosts(const HostIdSet& hostsToPoll, const HostIdSet& hostsToPollLater);
    void pollLeastRecent(std::vector<std::string> hostIds, Milliseconds period);
    asio::awaitable<void> pollStatus(std::string hostId, Address);
    void applyStatusResponse(const std::string& hostId, const Settled<HttpResponse>&, MonotonicTime asOf);
    void publishStatus(const std::string& hostId, MonotonicTime asOf);
    HostIdSet stalledHeads() const;
    using ProgressTimes = std::map<std::string, MonotonicTime, std::less<>>;
    ProgressTimes progressTimes() const;
    HostIdSet stalledHeads(const ServiceSpec&, const ProgressTimes&);
    void logHealthChanges(const std::string& service, ReplicaPlanner&);
    asio::awaitable<Settled<HttpResponse>> pollThroughPeers(std::string hostId, Address);
    asio::awaitable<void> pollThroughPeer(std::string peer, std::string hostId, Address, std::shared_ptr<RelayedPoll>);
    asio::awaitable<Settled<HttpResponse>> callHost(std::string hostId, Address, HttpRequest, Milliseconds, Step);
    Milliseconds reportLag(std::string_view hostId) const;
    void recordFailure(const std::string& hostId, const Error&);
    bool isUnreachableByAll(const Contact&) const;
    asio::awaitable<void> send(HostOrder, Address, std::string service, uint64_t fencing);

    GatewayContext& m_context;
    ControllerLease& m_lease;
    Peers& m_peers;
    const LoadExchange& m_loads;
    uint64_t m_fencing = 0; // Fencing number of the planner.
    std::unique_ptr<FleetPlanner> m_planner; // nullptr before this node's first term.
    std::map<std::string, Contact, std::less<>> m_contacts;
    // Addresses of all hosts listed since the lease began, including removed ones.
    std::map<std::string, Address, std::less<>> m_addresses;
    std::map<std::string, PublishedStatus, std::less<>> m_published; // By host.
    FleetDemand m_demand;
    ProgressTimes m_suspectedSince; // Heads that this node itself avoids.
    MonotonicTime m_summaryAt {};
    uint64_t m_addressesVersion = UINT64_MAX; // Version of the host table that m_addresses was updated from.
    size_t m_statusCalls = 0; // In progress.
    size_t m_relayedCalls = 0; // The part of m_statusCalls that goes through peers.
};

} // namespace Kumquatpick
