#pragma once

#include "fleet/configcatchup.h"
#include "fleet/listreaders.h"
#include "fleet/rendezvous.h"
#include "gateway/context.h"
#include "gateway/peerdigest.h"
#include "gateway/recordfeed.h"
#include "gateway/storeclient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Kumquatpick {

// The other nodes, as described by their digests. One call exchanges digests in both directions, several times a
// second.
class Peers {
public:
    using FillDigest = std::function<void(PeerDigest&)>;
    using ApplyDigest = std::function<void(const PeerDigest&)>;
    using ApplyConfig = std::function<void(std::string_view text, std::string_view source)>;

    Peers(GatewayContext&, FillDigest, ApplyDigest, ApplyConfig);

    asio::awaitable<void> run();
    // Sends digests at once, for changes that must not wait for the next round.
    void sendDigests();
    // Handles a request from a peer, such as a digest or a call to be relayed.
    asio::awaitable<HttpResponse> answer(const HttpRequest&);
    // Lets a peer make a call to a backend server. Fails with Malformed if the peer itself gave no valid response.
    asio::awaitable<Settled<HttpResponse>> relay(std::string peer, Address host, HttpRequest);
    std::vector<std::string> aliveAddresses() const;
    // Reads records of the list of backend servers from another node, if one reads the store for this one.
    asio::awaitable<LogFollower::PeerReadResult> readHosts(uint64_t from, bool isStoreUnavailable);
    // Provides the records that other nodes request with readHosts().
    using HostRecordSource = std::function<std::optional<RecordBatch>(uint64_t from)>;
    void setHostRecordSource(HostRecordSource source) { m_hostRecordSource = std::move(source); }
    // While the predicate is true, the store does not deliver configurations, so they are fetched from peers without
    // waiting for it.
    void fetchConfigsWhile(std::function<bool()> predicate) { m_fetchesConfigs = std::move(predicate); }
    // Last time at which a node that reads the store for this one confirmed there which configuration is the newest.
    MonotonicTime configConfirmedAt() const { return m_configConfirmedAt; }
    // Whether a peer has a newer configuration than this node.
    bool knowsNewerConfig() const;
    // Live nodes that are not stopping, including this one, by their addresses for digests. An empty zone means all
    // zones.
    std::vector<CandidateNode> nodesInZone(std::string_view zone) const;
    // Whether this node is one of the given number of nodes that perform a duty for the fleet.
    bool isChosen(std::string_view duty, size_t count) const;
    // The nodes that perform a duty for a zone, according to this node's view.
    std::vector<std::string> chosenNodes(std::string_view zone, std::string_view duty, size_t count) const;
    // Zones of other live nodes.
    std::vector<std::string> otherZones() const;
    // Whether each round sends digests to all peers, so that the data in them is recent.
    bool reachesAllEachRound() const;
    // Whether the CPU share of this node is close to the largest of all live nodes.
    bool selfHasLargeCpuShare() const;

    // Addresses for callers of other live nodes that take requests.
    std::vector<std::string> callerAddresses(std::string_view zone) const;
    size_t aliveCount() const;
    // Whether the given incarnation of a node, in the format of incarnationName(), recently sent a digest.
    bool isIncarnationAlive(std::string_view incarnation) const;
    void addPeer(const Address&);
    // Visits the digests of live peers.
    template <typename Visit> void forEachAlive(Visit&& visit) const
    {
        MonotonicTime now = m_context.now();
        for (const auto& [address, peer] : m_peers) {
            if (isAlive(peer, now))
                visit(peer.digest);
        }
    }

private:
    struct Peer {
        PeerDigest digest;
        MonotonicTime lastDigestAt {};
        MonotonicTime calledAt {};
        int failures = 0;
        bool isCallInProgress = false;
        int digestsWithoutPeers = 0; // Digests sent to it since the last one with the addresses of the other nodes.
    };

    bool isAlive(const Peer& peer) const { return isAlive(peer, m_context.now()); }
    bool isAlive(const Peer&, MonotonicTime now) const;
    Milliseconds aliveTimeout() const;
    CandidateNode self() const;
    std::vector<std::string> hostReadersToQuery(bool isStoreUnavailable) const;
    uint64_t configVersion() const;
    // Creates the digest for the peer with the given address.
    PeerDigest ownDigest(std::string_view receiver, bool isAnswer);
    void fetchNewerConfig();
    asio::awaitable<void> fetchConfig(std::string address);
    bool shouldIncludePeers(std::string_view receiver);
    void applyDigest(PeerDigest);
    asio::awaitable<void> exchangeDigests(std::string address);
    HttpResponse answerDigest(const HttpRequest&);
    HttpResponse answerConfig() const;
    HttpResponse answerHosts(const HttpRequest&);
    // The peer responds, but has not read the list yet.
    struct ListUnavailable { };
    using ReaderAnswer = std::variant<RecordBatch, ListUnavailable, Error>;
    asio::awaitable<ReaderAnswer> readHostsAt(std::string address, uint64_t from);
    asio::awaitable<HttpResponse> answerRelayed(const HttpRequest&);
    void countBytes(const char* kind, std::string_view zone, size_t bytes);

    GatewayContext& m_context;
    FillDigest m_fillDigest;
    ApplyDigest m_applyDigest;
    ApplyConfig m_applyConfig;
    ConfigCatchUp m_catchUp;
    ListReaders m_listReaders;
    HostRecordSource m_hostRecordSource;
    std::function<bool()> m_fetchesConfigs = [] { return false; };
    std::map<std::string, Peer, std::less<>> m_peers; // By address for digests.
    MonotonicTime m_configConfirmedAt {};
};

} // namespace Kumquatpick
