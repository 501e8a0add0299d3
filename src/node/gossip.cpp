#include "node/gossip.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace Kumquatpick {

namespace {

    // A node that starts with an empty table learns a cluster of up to this size in one exchange. Larger clusters take
    // several rounds.
    constexpr size_t maxUpdatesPerMessage = 512;
    constexpr uint64_t seedRoundInterval = 4; // Rounds between contacts to seeds that are not in the digest table.
    // Digests of a node normally reach the other nodes of its zone from within the zone, as only these carry usage.
    // Between zones they are sent or requested only if the receiver is at least this many sequences behind.
    constexpr uint64_t minLagAcrossZones = 8;

    using UsageKey = std::pair<std::string, std::string>;
    using UsageSums = std::map<UsageKey, TeamUsage>;

    void addUsage(UsageSums& sums, const std::vector<TeamUsage>& usage)
    {
        for (const TeamUsage& entry : usage) {
            TeamUsage& sum = sums[{ entry.service, entry.team }];
            sum.service = entry.service;
            sum.team = entry.team;
            sum.running += entry.running;
            sum.waiting += entry.waiting;
        }
    }

    std::vector<TeamUsage> toVector(const UsageSums& sums)
    {
        std::vector<TeamUsage> usage;
        usage.reserve(sums.size());
        for (const auto& [key, sum] : sums)
            usage.push_back(sum);
        return usage;
    }

    // The node that publishes the usage of its zone: the first by name. No agreement is needed, as each reader selects
    // one such node, and selections differ only until gossip has converged.
    const NodeDigest* zoneReporter(const DigestTable::Zone& zone)
    {
        const NodeDigest* first = nullptr;
        for (const auto& [incarnation, digest] : zone) {
            if (!first || digest.node.id.name < first->node.id.name)
                first = &digest;
        }
        return first;
    }

    bool sameUsage(const std::vector<TeamUsage>& left, const std::vector<TeamUsage>& right)
    {
        return std::ranges::equal(left, right, [](const TeamUsage& one, const TeamUsage& other) {
            return one.service == other.service && one.team == other.team && one.running == other.running
                && one.waiting == other.waiting;
        });
    }

    bool sameSuspicions(const std::vector<SuspicionCount>& left, const std::vector<SuspicionCount>& right)
    {
        return std::ranges::equal(left, right, [](const SuspicionCount& one, const SuspicionCount& other) {
            return one.fingerprint == other.fingerprint && one.deaths == other.deaths;
        });
    }

    // Changes on which peers should act without waiting for the next refresh.
    bool isUrgentChange(const NodeDigest& before, const NodeDigest& now)
    {
        return before.sequence == 0 || before.stopping != now.stopping || before.configVersion != now.configVersion
            || before.suspects != now.suspects || !sameSuspicions(before.suspicions, now.suspicions);
    }

    bool isLoadChange(const NodeDigest& before, const NodeDigest& now)
    {
        return before.logOffset != now.logOffset || before.streams != now.streams || !sameUsage(before.usage, now.usage)
            || !sameUsage(before.zoneUsage, now.zoneUsage);
    }

    const NodeInfo* pickRandom(const std::vector<const NodeInfo*>& nodes, Random& random)
    {
        if (nodes.empty())
            return nullptr;
        return nodes[std::uniform_int_distribution<size_t>(0, nodes.size() - 1)(random)];
    }

}

Gossip::Gossip(const NodeInfo& self, GossipOptions options)
    : m_options(options)
    , m_table(self)
{
}

void Gossip::report(const OwnReport& report, MonotonicTime now)
{
    const NodeDigest& before = m_table.own();
    NodeDigest next;
    next.stopping = report.stopping;
    next.configVersion = report.configVersion;
    next.logOffset = report.logOffset;
    next.streams = report.streams;
    next.usage = report.usage;
    next.suspects = report.suspects;
    if (reportsForZone())
        next.zoneUsage = ownZoneUsage(report.usage);
    // Includes counts of other observers, which may have stopped by the time a new node joins.
    next.suspicions = report.suspicions;
    // If another node suspects this one, a digest with a higher sequence is published to refute it.
    bool isSuspected = false;
    m_table.forEach([&](const NodeDigest& digest) {
        for (const IncarnationSequence& suspect : digest.suspects)
            isSuspected |= suspect.incarnation == m_table.self().id.incarnation && suspect.sequence >= before.sequence;
    });
    auto age = now - m_reportedAt;
    bool isDue = (age >= refreshPeriod() && isLoadChange(before, next)) || age >= m_options.idleRefresh;
    if (!isDue && !isSuspected && !isUrgentChange(before, next))
        return;
    next.sequence = before.sequence + 1;
    next.usageSequence = next.sequence;
    m_table.setOwn(std::move(next));
    m_reportedAt = now;
}

void Gossip::setSeeds(std::vector<NodeInfo> seeds) { m_seeds = std::move(seeds); }

std::vector<NodeInfo> Gossip::pickPeers(Random& random)
{
    std::vector<const NodeInfo*> sameZone;
    std::vector<const NodeInfo*> otherZones;
    std::set<std::string> knownAddresses;
    m_table.forEach([&](const NodeDigest& digest) {
        knownAddresses.insert(digest.node.peerAddress.toString());
        if (digest.node.id != m_table.self().id)
            (digest.node.zone == m_table.self().zone ? sameZone : otherZones).push_back(&digest.node);
    });
    std::vector<const NodeInfo*> unknownSeeds;
    for (const NodeInfo& seed : m_seeds) {
        if (!knownAddresses.contains(seed.peerAddress.toString()))
            unknownSeeds.push_back(&seed);
    }
    bool isSeedRound = m_round++ % seedRoundInterval == 0 || (sameZone.empty() && otherZones.empty());
    std::vector<NodeInfo> picked;
    for (const NodeInfo* peer : { pickRandom(sameZone, random), pickRandom(otherZones, random),
             isSeedRound ? pickRandom(unknownSeeds, random) : nullptr }) {
        if (peer)
            picked.push_back(*peer);
    }
    return picked;
}

GossipMessage Gossip::openingMessage() const
{
    GossipMessage message;
    message.zone = m_table.self().zone;
    message.complete = true;
    for (const auto& [name, zone] : m_table.zones())
        message.zones.push_back(summary(name, zone));
    return message;
}

GossipMessage Gossip::answer(const GossipMessage& message)
{
    for (const NodeDigest& update : message.updates)
        m_table.merge(update);
    GossipMessage out;
    out.zone = m_table.self().zone;
    for (const ZoneSummary& zone : message.zones)
        addDifferences(zone, message.zone, out);
    if (message.complete)
        addUnlistedZones(message, out);
    for (uint64_t incarnation : message.wanted) {
        if (const NodeDigest* digest = m_table.find(incarnation))
            out.updates.push_back(updateFor(message.zone, *digest, true));
    }
    for (uint64_t incarnation : message.unknown) {
        if (const NodeDigest* digest = m_table.find(incarnation))
            out.updates.push_back(updateFor(message.zone, *digest, false));
    }
    if (out.updates.size() > maxUpdatesPerMessage)
        out.updates.resize(maxUpdatesPerMessage);
    return out;
}

std::vector<TeamUsage> Gossip::otherNodesUsage() const
{
    UsageSums sums;
    for (const auto& [name, zone] : m_table.zones()) {
        if (name != m_table.self().zone) {
            addUsage(sums, zoneReporter(zone)->zoneUsage);
            continue;
        }
        for (const auto& [incarnation, digest] : zone) {
            if (incarnation != m_table.self().id.incarnation)
                addUsage(sums, digest.usage);
        }
    }
    return toVector(sums);
}

std::vector<SuspicionCount> Gossip::suspicions() const
{
    std::vector<SuspicionCount> all;
    m_table.forEach([&](const NodeDigest& digest) {
        if (digest.node.id != m_table.self().id)
            all.insert(all.end(), digest.suspicions.begin(), digest.suspicions.end());
    });
    return all;
}

std::optional<NodeDigest> Gossip::nodeWithNewerConfig(Offset version, Random& random) const
{
    std::vector<const NodeDigest*> holders;
    m_table.forEach([&](const NodeDigest& digest) {
        if (digest.configVersion > version && digest.node.id != m_table.self().id)
            holders.push_back(&digest);
    });
    if (holders.empty())
        return {};
    return *holders[std::uniform_int_distribution<size_t>(0, holders.size() - 1)(random)];
}

ZoneSummary Gossip::summary(const std::string& name, const DigestTable::Zone& zone) const
{
    ZoneSummary out;
    out.zone = name;
    std::string members;
    for (const auto& [incarnation, digest] : zone) {
        members.append(reinterpret_cast<const char*>(&incarnation), sizeof(incarnation));
        out.sequences.push_back(static_cast<uint16_t>(digest.sequence));
    }
    out.membersHash = hash64(members);
    return out;
}

ZoneSummary Gossip::memberList(const std::string& name) const
{
    ZoneSummary out;
    out.zone = name;
    auto zone = m_table.zones().find(name);
    if (zone == m_table.zones().end())
        return out;
    for (const auto& [incarnation, digest] : zone->second)
        out.listed.push_back({ incarnation, digest.sequence });
    return out;
}

void Gossip::addDifferences(const ZoneSummary& peerSummary, const std::string& peerZone, GossipMessage& out) const
{
    if (peerSummary.sequences.empty()) {
        addMemberDifferences(peerSummary, peerZone, out);
        return;
    }
    auto zone = m_table.zones().find(peerSummary.zone);
    bool sameMembers = zone != m_table.zones().end() && zone->second.size() == peerSummary.sequences.size()
        && summary(peerSummary.zone, zone->second).membersHash == peerSummary.membersHash;
    if (sameMembers)
        addSequenceDifferences(peerSummary, peerZone, out);
    else
        out.zones.push_back(memberList(peerSummary.zone));
}

void Gossip::addMemberDifferences(const ZoneSummary& peerSummary, const std::string& peerZone, GossipMessage& out) const
{
    std::set<uint64_t> listed;
    for (const IncarnationSequence& entry : peerSummary.listed) {
        listed.insert(entry.incarnation);
        const NodeDigest* ownDigest = m_table.find(entry.incarnation);
        if (!ownDigest) {
            if (!m_table.isObsolete(entry))
                out.unknown.push_back(entry.incarnation);
        } else if (ownDigest->sequence > entry.sequence) {
            out.updates.push_back(updateFor(peerZone, *ownDigest, true));
        } else if (ownDigest->sequence < entry.sequence) {
            out.wanted.push_back(entry.incarnation);
        }
    }
    auto zone = m_table.zones().find(peerSummary.zone);
    if (zone == m_table.zones().end())
        return;
    for (const auto& [incarnation, digest] : zone->second) {
        if (!listed.contains(incarnation))
            out.updates.push_back(updateFor(peerZone, digest, false));
    }
}

// The low 16 bits are sufficient: sequences differ by a few, and by half the range only for a node that has been dead
// for a long time.
void Gossip::addSequenceDifferences(
    const ZoneSummary& peerSummary, const std::string& peerZone, GossipMessage& out) const
{
    size_t position = 0;
    for (const auto& [incarnation, digest] : m_table.zones().at(peerSummary.zone)) {
        auto ahead = static_cast<int16_t>(static_cast<uint16_t>(digest.sequence) - peerSummary.sequences[position++]);
        if (ahead > 0 && shouldTransfer(peerSummary.zone, peerZone, peerZone, ahead))
            out.updates.push_back(updateFor(peerZone, digest, true));
        if (ahead < 0 && shouldTransfer(peerSummary.zone, peerZone, m_table.self().zone, -ahead))
            out.wanted.push_back(incarnation);
    }
}

void Gossip::addUnlistedZones(const GossipMessage& message, GossipMessage& out) const
{
    std::set<std::string> listed;
    for (const ZoneSummary& zone : message.zones)
        listed.insert(zone.zone);
    for (const auto& [name, zone] : m_table.zones()) {
        if (listed.contains(name))
            continue;
        for (const auto& [incarnation, digest] : zone)
            out.updates.push_back(updateFor(message.zone, digest, false));
    }
}

bool Gossip::shouldTransfer(
    const std::string& zone, const std::string& peerZone, const std::string& receiverZone, uint64_t lag) const
{
    return peerZone == m_table.self().zone || zone != receiverZone || lag >= minLagAcrossZones;
}

NodeDigest Gossip::updateFor(const std::string& peerZone, const NodeDigest& digest, bool knowsNode) const
{
    NodeDigest update = digest;
    if (digest.node.zone != peerZone) {
        update.usageSequence = 0;
        update.usage.clear();
    }
    if (knowsNode)
        update.node = { { {}, digest.node.id.incarnation }, {}, {}, {} };
    return update;
}

std::vector<TeamUsage> Gossip::ownZoneUsage(const std::vector<TeamUsage>& own) const
{
    UsageSums sums;
    addUsage(sums, own);
    for (const auto& [incarnation, digest] : m_table.zones().at(m_table.self().zone)) {
        if (incarnation != m_table.self().id.incarnation)
            addUsage(sums, digest.usage);
    }
    return toVector(sums);
}

bool Gossip::reportsForZone() const
{
    return zoneReporter(m_table.zones().at(m_table.self().zone))->node.id == m_table.self().id;
}

Milliseconds Gossip::refreshPeriod() const
{
    return std::max(m_options.period, m_options.refreshPerNode * static_cast<int64_t>(m_table.size()));
}

} // namespace Kumquatpick
