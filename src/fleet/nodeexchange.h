#pragma once

#include "base/random.h"
#include "fleet/factfeed.h"
#include "fleet/nodemessage.h"
#include "fleet/nodetable.h"
#include "fleet/rendezvous.h"
#include "fleet/suspicionfeed.h"
#include "fleet/zonenodes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Decides which nodes exchange what they know of one another, and which nodes are alive. Not thread-safe; does no I/O.
//
// A few nodes of each zone are relays. An ordinary node calls one relay of its zone several times a second. Relays call
// the other relays of their zone and one relay of each other zone, so a change reaches any node over three calls. Only
// changes are sent. In a small fleet every node is a relay and calls all others.
//
// The node that a node calls is its monitor and reports it as silent to all when the calls stop. A node that learns
// that it was reported refutes it.
class NodeExchange {
public:
    static constexpr Milliseconds period { 250 };
    // An exchange without an answer fails after this time.
    static constexpr Milliseconds callTimeout { 800 };

    NodeExchange(NodeState self, std::span<const std::string> seeds);

    // What this node reports of itself.
    struct OwnReport {
        bool isReady = false;
        bool isStopping = false;
        uint64_t configVersion = 0;
        uint64_t controllerTerm = 0;
        bool anyCallSeen = false;
        std::vector<std::string> cutOffServices {};
        uint32_t fleetNodes = 0; // See FleetMembers::count(); 0 while it is unknown.
    };
    void setOwnReport(const OwnReport&, MonotonicTime now);

    // To be called once per period. Returns the nodes to call now.
    std::vector<std::string> beginRound(MonotonicTime now, Random&);
    // The message of a call to the node.
    NodeMessage request(std::string_view address, MonotonicTime now);
    // Applies a request and returns the answer. The new facts are those not known before.
    struct Received {
        std::vector<HostFact> newFacts;
        std::vector<HostRateLimit> limits; // With their ages upon arrival; none if these are unknown.
        std::vector<SuspicionCount> newSuspicions;
    };
    NodeMessage answer(const NodeMessage& request, MonotonicTime now, Received&);
    // askedAt: when the request was sent. Returns whether the node should be called again at once, as it has more
    // changes.
    bool applyAnswer(std::string_view address, const NodeMessage&, MonotonicTime askedAt, MonotonicTime now, Received&);
    void callFailed(std::string_view address, MonotonicTime now);

    void publishStall(const std::string& hostId, MonotonicTime now);
    void publishStatus(ReportedStatus, MonotonicTime observedAt);
    // A count of this node, as observer, that grew.
    void publishSuspicion(const SuspicionCount&, MonotonicTime now);

    const NodeTable& table() const { return m_table; }
    const FactFeed& facts() const { return m_facts; }
    bool isAlive(std::string_view address) const;
    // Live nodes that are not stopping, including this one. An empty zone means all zones.
    std::span<const CandidateNode> nodesInZone(std::string_view zone) const;
    // Number of live nodes, without this one.
    size_t aliveCount() const;
    // Incarnations of live nodes and of this one, ordered. None if this node reaches no other and so can't tell.
    std::vector<uint64_t> liveIncarnations() const;
    // Whether this node called a node without success since it last answered.
    bool hasFailed(std::string_view address) const;
    bool isRelay() const { return m_isRelay; }
    // Every node is called by every other one, so their messages carry all that each of them knows.
    bool isFullMesh() const;
    // Whether this node knows the others: a node that did told it, or it had the time to learn of them. Of nodes that
    // start together, each knows only a few at first, and would take duties that others perform.
    bool isSettled(MonotonicTime now) const;
    // Whether the settings name other nodes.
    bool expectsOthers() const { return !m_seeds.empty(); }
    // The largest number of nodes that another one counted; 0 if none did.
    uint32_t toldFleetNodes() const { return m_toldFleetNodes; }
    uint64_t newestTerm() const { return m_newestTerm; }
    bool anyCallSeen() const { return m_anyCallSeen; }

private:
    // What is known of a node with which messages were exchanged.
    struct Partner {
        FeedPosition received; // Of its changes.
        FeedPosition acknowledged; // Of this node's changes.
        std::optional<NodeTable::BucketHashes> hashes; // Until it has a position in this node's changes.
        Milliseconds clock {}; // Its clock as of clockAt.
        uint64_t clockIncarnation = 0;
        MonotonicTime clockAt {};
        MonotonicTime heardAt {};
        MonotonicTime failedAt {};
        MonotonicTime probeUntil {}; // Reported as unreachable by another node.
        int failures = 0; // Consecutive.
    };

    // The table by zones, without regard to whether this node is isolated.
    const ZoneNodes& zones() const;
    bool monitorsAny() const;
    std::set<std::string> callTargets(MonotonicTime now) const;
    std::set<std::string> relayTargets(MonotonicTime now) const;
    std::set<std::string> ordinaryTargets(MonotonicTime now) const;
    // The nodes of the zone to call: one, or several while this node gets no answers.
    std::vector<std::string> chooseRelays(std::string_view zone, MonotonicTime now) const;
    void addLostNode(std::set<std::string>& targets, MonotonicTime now, Random&);
    bool failedRecently(std::string_view address, MonotonicTime now) const;
    void chooseMonitor(const std::set<std::string>& targets, MonotonicTime now);
    void detectOwnPause(MonotonicTime now);
    void detectSilentNodes(MonotonicTime now);
    bool hasStoppedCalling(const NodeTable::Entry&, MonotonicTime now) const;
    bool isOrphan(const NodeTable::Entry&, MonotonicTime now) const;
    NodeMessage ownMessage(std::string_view receiver, MonotonicTime now) const;
    void addChanges(NodeMessage&, std::string_view receiver, MonotonicTime now) const;
    void addObservations(
        NodeMessage&, const FeedPosition& acknowledged, std::string_view receiver, MonotonicTime) const;
    void addRelays(NodeMessage&, std::string_view zone) const;
    void apply(const NodeMessage&, std::optional<Milliseconds> transit, MonotonicTime now, Received&);
    bool servesChangesTo(const NodeMessage& request) const;

    NodeTable m_table;
    FactFeed m_facts;
    SuspicionFeed m_suspicions;
    std::vector<std::string> m_seeds;
    std::vector<CandidateNode> m_selfOnly;
    OwnReport m_own;
    std::map<std::string, Partner, std::less<>> m_partners; // By address.
    std::map<std::string, MonotonicTime, std::less<>> m_reportedSilentAt; // By this node, by address.
    std::optional<MonotonicTime> m_startedAt;
    std::optional<MonotonicTime> m_lastRound;
    MonotonicTime m_lastContactAt {}; // A message of another node arrived.
    MonotonicTime m_lastAnswerAt {};
    uint64_t m_round = 0;
    MonotonicTime m_observedSince {}; // Silence before this time proves nothing: this node itself was paused.
    MonotonicTime m_rescueAt {}; // When a silent node is called next.
    uint64_t m_newestTerm = 0;
    uint32_t m_toldFleetNodes = 0;
    bool m_anyCallSeen = false;
    bool m_isRelay = true;
    bool m_isInformed = false; // By a settled node.
    bool m_isIsolated = false; // It has not heard of any node for some time.
    mutable ZoneNodes m_zones; // Of the table as it was last asked for.
};

} // namespace Kumquatpick
