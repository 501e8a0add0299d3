#pragma once

#include "fleet/replicademand.h"
#include "fleet/replicaplanner.h"
#include "gateway/context.h"
#include "gateway/lease.h"
#include "gateway/peers.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Kumquatpick {

// Carries out the replica planner's decisions while this node holds the controller's lease: asks hosts for their
// status, sends orders, and tells the other nodes what it read.
class ControllerLoop {
public:
    ControllerLoop(GatewayContext&, ControllerLease&, Peers&);

    asio::awaitable<void> run();
    // Statuses read lately, for digests.
    std::vector<ReportedStatus> recentStatuses() const;

private:
    struct Contact {
        MonotonicTime askedAt {};
        MonotonicTime answeredAt {};
        int failures = 0; // In a row.
        bool isRefused = false; // At the latest failure.
        bool hasEnded = false;
        bool isBusy = false;
        std::string via; // A peer that reaches the host while this node does not.
        std::set<std::string> peersFailed; // Peers that did not reach it since anybody did.
    };

    // Peers that are asked about a host at the same time.
    struct AskedPeers {
        AskedPeers(const asio::any_io_executor& executor, size_t count)
            : done(executor)
            , unanswered(count)
        {
        }

        asio::steady_timer done;
        size_t unanswered;
        std::optional<HttpResponse> answer;
    };

    void tick(uint64_t fencing);
    void planService(const ServiceSpec&, uint64_t fencing);
    void updateDemand();
    void updateDemand(const std::string& service, const std::string& model);
    std::map<std::string, double, std::less<>> wantedReplicas(const ServiceSpec&) const;
    HostContact contact(std::string_view hostId) const;
    using HostIds = std::set<std::string, std::less<>>;
    void askHosts(const HostIds& awaited, const HostIds& awaitedLater);
    void askInTurn(std::vector<std::string> hostIds, Milliseconds period);
    asio::awaitable<void> askStatus(std::string hostId, Address);
    void takeStatusAnswer(const std::string& hostId, const Settled<HttpResponse>&, MonotonicTime asOf);
    HostIds standingStill() const;
    asio::awaitable<Settled<HttpResponse>> askThroughPeers(std::string hostId, Address);
    asio::awaitable<void> askPeer(std::string peer, std::string hostId, Address, std::shared_ptr<AskedPeers>);
    asio::awaitable<Settled<HttpResponse>> callHost(std::string hostId, Address, HttpRequest, Milliseconds, Step);
    Milliseconds reportLag(std::string_view hostId) const;
    void noteFailure(const std::string& hostId, const Error&);
    bool isSilentToAll(const Contact&) const;
    asio::awaitable<void> send(HostOrder, Address, std::string service, uint64_t fencing);

    GatewayContext& m_context;
    ControllerLease& m_lease;
    Peers& m_peers;
    uint64_t m_fencing = 0; // Of the planners.
    std::map<std::string, std::unique_ptr<ReplicaPlanner>> m_planners; // By service.
    std::map<std::string, Contact, std::less<>> m_contacts;
    std::map<std::string, Address, std::less<>> m_addresses; // Of hosts listed since the lease began, gone ones too.
    std::map<std::string, MonotonicTime, std::less<>> m_statusOf; // The time that a host's latest report is of.
    std::map<std::string, ReplicaDemand, std::less<>> m_demand; // By model.
    MonotonicTime m_summaryAt {};
    uint64_t m_addressesOf = UINT64_MAX; // The version of the host table that they are of.
    size_t m_statusCalls = 0; // Under way.
    size_t m_relayedCalls = 0; // Of those, through peers.
};

} // namespace Kumquatpick
