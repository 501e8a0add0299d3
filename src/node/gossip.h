#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "node/digesttable.h"
#include "node/gossipmessage.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Kumquatpick {

// Current state of this node, to be published in its next digest.
struct OwnReport {
    bool stopping = false;
    Offset configVersion = 0;
    Offset logOffset = 0;
    uint32_t streams = 0;
    std::vector<TeamUsage> usage;
    std::vector<SuspicionCount> suspicions; // Counts to publish, from this and other observers.
    std::vector<IncarnationSequence> suspects;
};

struct GossipOptions {
    Milliseconds period { 500 }; // Between rounds of exchanges.
    // A node publishes changed load figures at most once in this time multiplied by the number of known nodes, so that
    // the received bytes per node level off as the cluster grows. Urgent changes are published at once.
    Milliseconds refreshPerNode { 10 };
    Milliseconds idleRefresh { 5000 }; // Interval between digests of a node whose state does not change.
};

// Exchange of digests with random peers, in which the latest digest of each node wins. Performs no I/O: the caller
// passes in messages and the time, and sends the messages that are returned. The usage of single nodes is sent only
// within their availability zone; other zones receive the zone's total, which one node of the zone computes.
class Gossip {
public:
    explicit Gossip(const NodeInfo& self, GossipOptions = {});

    void report(const OwnReport&, MonotonicTime now);
    // Nodes of the membership list. They are contacted if they are not, or no longer, in the digest table.
    void setSeeds(std::vector<NodeInfo>);

    // Peers for this round's exchanges: one node of this availability zone, one of another zone and, in some rounds, a
    // seed that is not in the digest table.
    std::vector<NodeInfo> pickPeers(Random&);
    // openingMessage() returns the first message of an exchange, and answer() the reply to any message. An empty reply
    // ends the exchange.
    GossipMessage openingMessage() const;
    GossipMessage answer(const GossipMessage&);

    // Removes a dead node; permanently if it is proven gone.
    void forget(uint64_t incarnation, bool permanently) { m_table.forget(incarnation, permanently); }

    const DigestTable& table() const { return m_table; }
    // Running and waiting requests at all other nodes, summed by service and team.
    std::vector<TeamUsage> otherNodesUsage() const;
    std::vector<SuspicionCount> suspicions() const;
    // A random node that has a newer accepted configuration than this version, if any.
    std::optional<NodeDigest> nodeWithNewerConfig(Offset version, Random&) const;

private:
    ZoneSummary summary(const std::string& zone, const DigestTable::Zone&) const;
    ZoneSummary memberList(const std::string& zone) const;
    void addDifferences(const ZoneSummary&, const std::string& peerZone, GossipMessage& out) const;
    void addMemberDifferences(const ZoneSummary&, const std::string& peerZone, GossipMessage& out) const;
    void addSequenceDifferences(const ZoneSummary&, const std::string& peerZone, GossipMessage& out) const;
    void addUnlistedZones(const GossipMessage&, GossipMessage& out) const;
    bool shouldTransfer(
        const std::string& zone, const std::string& peerZone, const std::string& receiverZone, uint64_t lag) const;
    NodeDigest updateFor(const std::string& peerZone, const NodeDigest&, bool knowsNode) const;
    std::vector<TeamUsage> ownZoneUsage(const std::vector<TeamUsage>& own) const;
    bool reportsForZone() const;
    Milliseconds refreshPeriod() const;

    GossipOptions m_options;
    DigestTable m_table;
    std::vector<NodeInfo> m_seeds;
    uint64_t m_round = 0;
    MonotonicTime m_reportedAt {};
};

} // namespace Kumquatpick
