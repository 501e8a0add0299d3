#pragma once

#include "fleet/loadaggregator.h"
#include "fleet/nodeexchange.h"
#include "gateway/context.h"
#include "gateway/peerreads.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// The other nodes: exchanges messages with those that NodeExchange chooses, and answers theirs.
class Peers {
public:
    // What this node reports of itself, and what the others reported of backend servers.
    struct Handlers {
        std::function<NodeExchange::OwnReport()> ownReport;
        std::function<void(const NodeExchange::Received&, std::string_view sender)> applyReceived;
        PeerReads::ApplyConfig applyConfig;
        PeerReads::ApplyEvacuations applyEvacuations;
    };

    Peers(GatewayContext&, Handlers);

    asio::awaitable<void> run();
    // Sends messages at once, for changes that must not wait for the next round.
    void exchangeNow();
    // Handles a request from a peer, such as a message or a call to be relayed.
    asio::awaitable<HttpResponse> answer(const HttpRequest&);
    // Lets a peer make a call to a backend server. Fails with Malformed if the peer itself gave no valid response.
    asio::awaitable<Settled<HttpResponse>> relay(std::string peer, Address host, HttpRequest);
    // Reading the list of backend servers and configurations from other nodes.
    PeerReads& reads() { return m_reads; }
    const PeerReads& reads() const { return m_reads; }

    void publishStall(const std::string& hostId) { m_exchange.publishStall(hostId, m_context.now()); }
    void publishStatus(ReportedStatus status, MonotonicTime observedAt)
    {
        m_exchange.publishStatus(std::move(status), observedAt);
    }
    // Heads that any node recently reported as stalled.
    std::vector<std::string> stalledHeads() const;
    std::optional<MonotonicTime> stallObservedAt(std::string_view headId) const
    {
        return m_exchange.facts().stallObservedAt(headId);
    }

    std::vector<std::string> aliveAddresses() const;
    // Live nodes that are not stopping, including this one, by their addresses. An empty zone means all zones.
    std::span<const CandidateNode> nodesInZone(std::string_view zone) const { return m_exchange.nodesInZone(zone); }
    // Whether this node is one of the given number of nodes that perform a duty for the fleet.
    bool isChosen(std::string_view duty, size_t count) const;
    // The nodes that perform a duty for a zone, according to this node's view.
    std::vector<std::string> chosenNodes(std::string_view zone, std::string_view duty, size_t count) const;
    // Zones of other live nodes.
    std::vector<std::string> otherZones() const;
    // Whether this node exchanges messages with all others in each round, so that the loads in them are recent.
    bool isFullMesh() const { return m_exchange.isFullMesh(); }
    // Sums of what the other nodes of a full mesh reported.
    std::map<std::string, uint32_t, std::less<>> inFlightOfOthers() const;
    UnmetDemand unmetDemandOfOthers() const;
    // When a stream of each host last went on at any other node of a full mesh.
    AgesByHost progressOfOthers() const;
    bool anyCallSeen() const { return m_exchange.anyCallSeen(); }
    uint64_t newestTerm() const { return m_exchange.newestTerm(); }
    // Whether the CPU share of this node is close to the largest of all live nodes.
    bool selfHasLargeCpuShare() const;
    // Whether this node knows the others, so that it can tell who performs which duty.
    bool knowsOthers() const { return m_exchange.isSettled(m_context.now()); }
    const NodeExchange& exchange() const { return m_exchange; }

    // Addresses for callers of some other live nodes that take requests.
    std::vector<std::string> callerAddresses();
    // Addresses for callers of live nodes that take requests, and are not known to be cut off from the service.
    std::vector<std::string> nodesReaching(std::string_view service) const;
    size_t aliveCount() const { return m_exchange.aliveCount(); }
    std::vector<uint64_t> liveIncarnations() const { return m_exchange.liveIncarnations(); }
    // Whether the given incarnation of a node, in the format of incarnationName(), is alive.
    bool isIncarnationAlive(std::string_view incarnation) const;

private:
    // What a node of a full mesh reported of its own calls.
    struct PeerLoad {
        std::map<std::string, uint32_t, std::less<>> inFlight;
        UnmetDemand unmetDemand;
        AgesByHost progressAges;
        MonotonicTime receivedAt {};
    };

    NodeState ownState() const;
    std::string self() const { return m_context.settings.peers.toString(); }
    void startRound();
    asio::awaitable<void> exchangeWith(std::string address);
    HttpResponse answerMessage(const HttpRequest&);
    asio::awaitable<HttpResponse> answerRelayed(const HttpRequest&);
    void addOwnLoads(NodeMessage&) const;
    void recordSender(const NodeMessage&, const NodeExchange::Received&);
    void logUnreadable(std::string_view peer, size_t bytes);

    GatewayContext& m_context;
    Handlers m_handlers;
    NodeExchange m_exchange;
    PeerReads m_reads;
    std::set<std::string, std::less<>> m_calls; // Addresses of calls in progress.
    std::map<std::string, PeerLoad, std::less<>> m_peerLoads; // By address.
    std::set<std::string, std::less<>> m_unreadablePeers; // Already logged.
    struct ChosenNodes {
        uint64_t version = 0; // Of the table of nodes.
        size_t aliveNodes = 0;
        std::vector<std::string> nodes;
    };
    mutable std::map<std::string, ChosenNodes, std::less<>> m_chosen; // By zone and duty.
};

} // namespace Kumquatpick
