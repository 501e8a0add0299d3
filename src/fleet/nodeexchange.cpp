#include "fleet/nodeexchange.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A node of which nothing was heard for longer is reported as silent. One lost packet delays its sender by a
    // second.
    constexpr Milliseconds silenceLimit { 1300 };
    // Nodes whose monitor was reported as silent find another one in this time.
    constexpr Milliseconds orphanGrace { 1000 };
    // Nodes that start together know one another after a time that grows with their number, up to the longest one. In a
    // small fleet that has lost all nodes, callers wait for every moment of it.
    constexpr Milliseconds minSettlingTime { 250 };
    constexpr Milliseconds settlingTimePerNode { 3 };
    constexpr Milliseconds maxSettlingTime { 1000 };
    // A round that is this late means that this node was paused.
    constexpr Milliseconds longestRound { 600 };
    // A node that did not answer is avoided for this time, which doubles with each further failure: while half of the
    // fleet is down, a node must not try the same few over and over.
    constexpr Milliseconds failedNodeAvoidance { 2000 };
    constexpr int maxDoublings = 4;
    // In so many rounds a node calls another relay once, which bounds the time for which a relay that answers but
    // passes nothing on can hide changes.
    constexpr uint64_t roundsUntilSecondRelay = 16;
    // A node that got no answer for this long calls several nodes at once.
    constexpr Milliseconds searchAfter { 700 };
    constexpr size_t searchedNodes = 3; // Per zone.
    // A node that refuted this node's report reaches others, so the fault lies between the two.
    constexpr Milliseconds refutedReportDelay { 10'000 };
    // Calls to silent nodes and to seeds, so that parts of the fleet that lost each other meet again.
    constexpr Milliseconds lostNodePeriod { 1000 };
    constexpr std::chrono::seconds partnerRetention { 60 };

}

NodeExchange::NodeExchange(NodeState self, std::span<const std::string> seeds)
    : m_table(std::move(self))
    , m_facts(m_table.self().name + '/' + std::to_string(m_table.self().incarnation))
    , m_seeds(seeds.begin(), seeds.end())
{
    std::erase(m_seeds, m_table.self().address);
    m_selfOnly.push_back({ m_table.self().address, m_table.self().cpuShare });
}

void NodeExchange::setOwnReport(const OwnReport& report, MonotonicTime)
{
    m_own = report;
    m_newestTerm = std::max(m_newestTerm, report.controllerTerm);
    m_anyCallSeen = m_anyCallSeen || report.anyCallSeen;
    m_table.updateSelf({ report.isReady, report.isStopping, report.cutOffServices, m_table.self().monitor });
}

void NodeExchange::publishStall(const std::string& hostId, MonotonicTime now)
{
    m_facts.publish(StalledHead { hostId }, now);
}

void NodeExchange::publishStatus(ReportedStatus status, MonotonicTime observedAt)
{
    m_facts.publish(std::move(status), observedAt);
}

void NodeExchange::publishSuspicion(const SuspicionCount& count, MonotonicTime now)
{
    m_suspicions.merge(count, {}, now);
}

// Views of the table.

bool NodeExchange::isAlive(std::string_view address) const
{
    const NodeTable::Entry* entry = m_table.find(address);
    return entry && !entry->state.isSilent && !m_isIsolated;
}

const ZoneNodes& NodeExchange::zones() const
{
    m_zones.update(m_table);
    return m_zones;
}

std::span<const CandidateNode> NodeExchange::nodesInZone(std::string_view zone) const
{
    if (!m_isIsolated)
        return zones().nodesOf(zone);
    bool isOwn = zone.empty() || zone == m_table.self().zone;
    return isOwn ? std::span<const CandidateNode>(m_selfOnly) : std::span<const CandidateNode>();
}

std::vector<uint64_t> NodeExchange::liveIncarnations() const
{
    if (m_isIsolated)
        return {};
    std::vector<uint64_t> result { m_table.self().incarnation };
    for (const auto& [address, entry] : m_table.others()) {
        if (isAlive(address))
            result.push_back(entry.state.incarnation);
    }
    std::ranges::sort(result);
    return result;
}

size_t NodeExchange::aliveCount() const { return m_isIsolated ? 0 : zones().count() - 1; }

bool NodeExchange::isFullMesh() const { return zones().isFullMesh(); }

bool NodeExchange::monitorsAny() const
{
    return std::ranges::any_of(m_partners, [this](const auto& item) {
        const NodeTable::Entry* entry = m_table.find(item.first);
        return entry && !entry->state.isSilent && entry->state.monitor == m_table.self().address;
    });
}

bool NodeExchange::hasFailed(std::string_view address) const
{
    auto found = m_partners.find(address);
    return found != m_partners.end() && found->second.failures > 0;
}

bool NodeExchange::failedRecently(std::string_view address, MonotonicTime now) const
{
    auto found = m_partners.find(address);
    if (found == m_partners.end() || found->second.failures == 0)
        return false;
    int doublings = std::min(found->second.failures - 1, maxDoublings);
    return now - found->second.failedAt < failedNodeAvoidance * (1 << doublings);
}

bool NodeExchange::isSettled(MonotonicTime now) const
{
    if (m_isInformed || m_seeds.empty())
        return true;
    Milliseconds settling = minSettlingTime + settlingTimePerNode * static_cast<int>(m_table.others().size());
    return m_startedAt && now - *m_startedAt > std::min(settling, maxSettlingTime);
}

// Which nodes to call.

// Each node prefers another relay, so that a zone's nodes spread over its relays. Without an answer for some time, the
// relays may all have ended, and any node of the zone will do.
std::vector<std::string> NodeExchange::chooseRelays(std::string_view zone, MonotonicTime now) const
{
    auto isUsable = [&](const std::string& address) {
        return address != m_table.self().address && !failedRecently(address, now);
    };
    std::vector<CandidateNode> candidates;
    for (const std::string& relay : zones().relaysOf(zone)) {
        if (isUsable(relay))
            candidates.push_back({ relay, 1 });
    }
    bool isSearching = now - std::max(m_lastAnswerAt, m_observedSince) > searchAfter;
    size_t count = isSearching ? searchedNodes : 1;
    auto chosen = chooseNodes(candidates, m_table.self().address, count);
    if (chosen.size() == count)
        return chosen;
    candidates.clear();
    for (const CandidateNode& node : zones().nodesOf(zone)) {
        if (isUsable(node.address) && std::ranges::find(chosen, node.address) == chosen.end())
            candidates.push_back(node);
    }
    std::ranges::move(
        chooseNodes(candidates, m_table.self().address, count - chosen.size()), std::back_inserter(chosen));
    return chosen;
}

std::set<std::string> NodeExchange::relayTargets(MonotonicTime now) const
{
    std::set<std::string> targets;
    for (const std::string& relay : zones().relaysOf(m_table.self().zone))
        targets.insert(relay);
    for (const std::string& zone : zones().zonesWithout(m_table.self().zone)) {
        for (std::string& relay : chooseRelays(zone, now))
            targets.insert(std::move(relay));
    }
    for (const auto& [address, partner] : m_partners) {
        if (partner.probeUntil > now)
            targets.insert(address);
    }
    targets.erase(m_table.self().address);
    return targets;
}

// A node whose relays do not answer learns from another zone which nodes are alive.
std::set<std::string> NodeExchange::ordinaryTargets(MonotonicTime now) const
{
    auto own = chooseRelays(m_table.self().zone, now);
    std::set<std::string> targets(own.begin(), own.end());
    if (m_round % roundsUntilSecondRelay == 0) {
        auto relays = zones().relaysOf(m_table.self().zone);
        auto second = std::ranges::find_if(relays, [&](const std::string& relay) { return !targets.contains(relay); });
        if (second != relays.end())
            targets.insert(*second);
    }
    bool isSearching = own.size() != 1;
    auto otherZones = zones().zonesWithout(m_table.self().zone);
    if (isSearching && !otherZones.empty()) {
        auto others = chooseRelays(otherZones[static_cast<size_t>(m_round) % otherZones.size()], now);
        targets.insert(others.begin(), others.end());
    }
    return targets;
}

std::set<std::string> NodeExchange::callTargets(MonotonicTime now) const
{
    std::set<std::string> targets;
    if (isFullMesh()) {
        for (const auto& [address, entry] : m_table.others()) {
            if (!entry.state.isSilent)
                targets.insert(address);
        }
    } else {
        targets = m_isRelay ? relayTargets(now) : ordinaryTargets(now);
    }
    if (targets.empty())
        targets.insert(m_seeds.begin(), m_seeds.end());
    return targets;
}

void NodeExchange::addLostNode(std::set<std::string>& targets, MonotonicTime now, Random& random)
{
    if (!m_isRelay || now < m_rescueAt)
        return;
    m_rescueAt = now + lostNodePeriod;
    std::vector<std::string> lost(m_table.silent().begin(), m_table.silent().end());
    std::ranges::copy_if(
        m_seeds, std::back_inserter(lost), [this](const std::string& seed) { return !m_table.find(seed); });
    if (!lost.empty())
        targets.insert(lost[static_cast<size_t>(random() % lost.size())]);
}

// A relay that is called anyway stays the monitor as long as it answers.
void NodeExchange::chooseMonitor(const std::set<std::string>& targets, MonotonicTime now)
{
    const NodeState& self = m_table.self();
    bool isKept = targets.contains(self.monitor) && !failedRecently(self.monitor, now);
    if (isKept || targets.empty())
        return;
    auto answering = std::ranges::find_if(
        targets, [&](const std::string& address) { return !failedRecently(address, now) && isAlive(address); });
    const std::string& monitor = answering == targets.end() ? *targets.begin() : *answering;
    m_table.updateSelf({ self.isReady, self.isStopping, self.cutOffServices, std::string(monitor) });
}

std::vector<std::string> NodeExchange::beginRound(MonotonicTime now, Random& random)
{
    ++m_round;
    m_startedAt = m_startedAt.value_or(now);
    detectOwnPause(now);
    m_isRelay = zones().isRelayOf(m_table.self().zone, m_table.self().address) || monitorsAny();
    detectSilentNodes(now);
    m_table.expire(now);
    m_facts.expire(now);
    m_suspicions.expire(now);
    std::erase_if(m_partners, [&](const auto& item) {
        const Partner& partner = item.second;
        return now - std::max({ partner.heardAt, partner.failedAt, partner.probeUntil }) > partnerRetention;
    });
    auto targets = callTargets(now);
    chooseMonitor(targets, now);
    addLostNode(targets, now, random);
    return { targets.begin(), targets.end() };
}

// Which nodes are silent.

void NodeExchange::detectOwnPause(MonotonicTime now)
{
    if (!m_lastRound || now - *m_lastRound > longestRound)
        m_observedSince = now;
    m_lastRound = now;
}

// Nothing was heard of the node itself, and no newer state of it arrived through others.
bool NodeExchange::hasStoppedCalling(const NodeTable::Entry& entry, MonotonicTime now) const
{
    auto partner = m_partners.find(entry.state.address);
    MonotonicTime heardAt = partner == m_partners.end() ? MonotonicTime {} : partner->second.heardAt;
    return now - std::max({ heardAt, entry.changedAt, m_observedSince }) > silenceLimit;
}

// Its monitor is silent as well and cannot report it.
bool NodeExchange::isOrphan(const NodeTable::Entry& entry, MonotonicTime now) const
{
    if (entry.state.monitor == m_table.self().address)
        return false;
    const NodeTable::Entry* monitor = m_table.find(entry.state.monitor);
    if (!monitor)
        return now - entry.changedAt > silenceLimit + orphanGrace;
    return monitor->state.isSilent && now - monitor->changedAt > orphanGrace;
}

// A node that hears of nobody is cut off itself: it reports none, but considers the others lost.
void NodeExchange::detectSilentNodes(MonotonicTime now)
{
    m_isIsolated = !m_table.others().empty() && now - std::max(m_lastContactAt, m_observedSince) > silenceLimit;
    if (m_isIsolated || !m_isRelay)
        return;
    std::vector<std::string> silent;
    for (const auto& [address, entry] : m_table.others()) {
        if (entry.state.isSilent || !hasStoppedCalling(entry, now))
            continue;
        auto reported = m_reportedSilentAt.find(address);
        bool wasRefuted = reported != m_reportedSilentAt.end() && now - reported->second < refutedReportDelay;
        bool isMonitored = entry.state.monitor == m_table.self().address;
        if (isMonitored || isOrphan(entry, now) || (hasFailed(address) && !wasRefuted))
            silent.push_back(address);
    }
    for (const std::string& address : silent) {
        m_table.markSilent(address, now);
        m_reportedSilentAt.insert_or_assign(address, now);
    }
}

} // namespace Kumquatpick
