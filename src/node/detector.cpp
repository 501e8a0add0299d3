#include "node/detector.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // An interval of at least this many periods between ticks means that this process was paused.
    constexpr int minPausePeriods = 3;
    // Failed probes are ignored for this many periods after a pause, as this node may have caused the failures.
    constexpr int failureIgnorePeriods = 2;
    constexpr size_t minVotesForDead = 2;
    constexpr size_t maxLostNodes = 8192;
    // A dead node stays in this node's published suspects for this long, so that other nodes can count this
    // observer until they reach their own verdict.
    constexpr std::chrono::seconds lostPublishDuration { 30 };

    template <typename Element> void shuffle(std::vector<Element>& elements, Random& random)
    {
        std::shuffle(elements.begin(), elements.end(), random);
    }

}

Detector::Detector(const NodeInfo& self, DetectorOptions options)
    : m_self(self)
    , m_options(options)
{
}

void Detector::tick(const DigestTable& table, MonotonicTime now)
{
    detectOwnPause(now);
    dropRefuted(table);
    expirePublishedLost(now);
    mergeSuspicions(table, now);
    declareDead(table, now);
}

std::optional<ProbePlan> Detector::nextProbe(const DigestTable& table, Random& random)
{
    // Every second probe goes to a node that this node suspects, if any, so that a wrong suspicion is refuted soon.
    m_probeSuspectNext = !m_probeSuspectNext;
    std::vector<uint64_t> ownSuspected;
    for (const auto& [incarnation, suspicion] : m_suspicions) {
        if (suspicion.isOwn && table.find(incarnation))
            ownSuspected.push_back(incarnation);
    }
    uint64_t target = 0;
    if (m_probeSuspectNext && !ownSuspected.empty()) {
        target = ownSuspected[std::uniform_int_distribution<size_t>(0, ownSuspected.size() - 1)(random)];
    } else {
        refillProbeOrder(table, random);
        while (!m_probeOrder.empty() && !table.find(m_probeOrder.back()))
            m_probeOrder.pop_back();
        if (m_probeOrder.empty())
            return {};
        target = m_probeOrder.back();
        m_probeOrder.pop_back();
    }
    return ProbePlan { table.find(target)->node, pickHelpers(table, target, random) };
}

void Detector::recordProbe(const DigestTable& table, const ProbeResult& result, MonotonicTime now)
{
    detectOwnPause(now);
    const NodeDigest* target = table.find(result.targetIncarnation);
    if (!target)
        return;
    bool answered = result.answeredBy && *result.answeredBy == target->node.id;
    if (answered || result.helperSuccesses > 0) {
        adjustHealthPenalty(-1);
        if (auto found = m_suspicions.find(result.targetIncarnation); found != m_suspicions.end())
            found->second.isOwn = false;
        return;
    }
    if (result.answeredBy && result.answeredBy->name == target->node.id.name
        && result.answeredBy->incarnation > result.targetIncarnation) {
        markLost(result.targetIncarnation, Liveness::Gone, now);
        return;
    }
    if (ignoresFailedProbes(now) || result.startedAt <= m_pauseDetectedAt)
        return;
    // If none of the helpers answers either, the fault is probably on this node.
    if (result.helperFailures == 0 && result.unansweredHelpers > 0) {
        adjustHealthPenalty(1);
        return;
    }
    suspect(table, result, now);
}

void Detector::recordListed(const DigestTable& table, const NodeId& id, MonotonicTime now)
{
    table.forEach([&](const NodeDigest& digest) {
        const NodeId& known = digest.node.id;
        if (known.name == id.name && known.incarnation < id.incarnation && known != m_self.id)
            markLost(known.incarnation, Liveness::Gone, now);
    });
}

Liveness Detector::liveness(uint64_t incarnation) const
{
    if (auto lost = m_lost.find(incarnation); lost != m_lost.end())
        return lost->second.verdict;
    return m_suspicions.contains(incarnation) ? Liveness::Suspect : Liveness::Alive;
}

std::vector<IncarnationSequence> Detector::ownSuspects() const
{
    std::vector<IncarnationSequence> suspects;
    for (const auto& [incarnation, suspicion] : m_suspicions) {
        if (suspicion.isOwn)
            suspects.push_back({ incarnation, suspicion.sequence });
    }
    for (const auto& [incarnation, lost] : m_lost) {
        if (lost.isPublished)
            suspects.push_back({ incarnation, lost.sequence });
    }
    std::ranges::sort(suspects, {}, &IncarnationSequence::incarnation);
    return suspects;
}

std::vector<uint64_t> Detector::takeLost() { return std::exchange(m_newlyLost, {}); }

// Answers may have been missed during a pause of this process. This node's own suspicions are therefore dropped, and
// the time-outs of the other nodes' suspicions start again.
void Detector::detectOwnPause(MonotonicTime now)
{
    MonotonicTime last = m_lastTick.value_or(now);
    m_lastTick = now;
    if (now - last < m_options.probePeriod * minPausePeriods)
        return;
    m_pauseDetectedAt = now;
    m_ignoreFailuresUntil = now + m_options.probePeriod * failureIgnorePeriods;
    for (auto& [incarnation, suspicion] : m_suspicions) {
        suspicion.isOwn = false;
        suspicion.since = now;
    }
}

// Counts, for each suspect, the observers whose latest digest suspects it at its latest known sequence or a higher one.
void Detector::mergeSuspicions(const DigestTable& table, MonotonicTime now)
{
    std::map<uint64_t, size_t> votes;
    table.forEach([&](const NodeDigest& observer) {
        if (observer.node.id == m_self.id || liveness(observer.node.id.incarnation) >= Liveness::Dead)
            return;
        for (const IncarnationSequence& entry : observer.suspects) {
            const NodeDigest* suspect = table.find(entry.incarnation);
            if (suspect && entry.incarnation != m_self.id.incarnation && suspect->sequence <= entry.sequence)
                ++votes[entry.incarnation];
        }
    });
    for (const auto& [incarnation, count] : votes) {
        auto [found, isNew] = m_suspicions.try_emplace(incarnation);
        if (isNew) {
            found->second.sequence = table.find(incarnation)->sequence;
            found->second.since = now;
        }
    }
    for (auto& [incarnation, suspicion] : m_suspicions) {
        auto found = votes.find(incarnation);
        suspicion.observerCount = found == votes.end() ? 0 : found->second;
    }
    std::erase_if(
        m_suspicions, [](const auto& entry) { return !entry.second.isOwn && entry.second.observerCount == 0; });
}

// A digest with a higher sequence shows that the suspect was alive after the suspicion began. The suspect is probed
// again next, as the digest may have been delayed and the node may have failed since. A node that was declared dead
// returns in the same way.
void Detector::dropRefuted(const DigestTable& table)
{
    std::erase_if(m_suspicions, [&](const auto& entry) {
        const NodeDigest* digest = table.find(entry.first);
        bool refuted = !digest || digest->sequence > entry.second.sequence;
        if (refuted && entry.second.isOwn)
            m_probeOrder.push_back(entry.first);
        return refuted;
    });
    std::erase_if(
        m_lost, [&](const auto& entry) { return entry.second.verdict == Liveness::Dead && table.find(entry.first); });
}

void Detector::expirePublishedLost(MonotonicTime now)
{
    for (auto& [incarnation, lost] : m_lost) {
        if (now - lost.since >= lostPublishDuration)
            lost.isPublished = false;
    }
}

void Detector::declareDead(const DigestTable& table, MonotonicTime now)
{
    std::vector<uint64_t> dead;
    for (const auto& [incarnation, suspicion] : m_suspicions) {
        // This node's own suspicion counts as two observers if a helper also failed to reach the target.
        size_t votes = suspicion.observerCount + (suspicion.isOwn ? (suspicion.hadNoHelper ? 1 : minVotesForDead) : 0);
        bool enough = votes >= minVotesForDead || suspicion.hadNoHelper;
        if (enough && now - suspicion.since >= timeToDeadVerdict(suspicion, table.size()))
            dead.push_back(incarnation);
    }
    for (uint64_t incarnation : dead)
        markLost(incarnation, Liveness::Dead, now);
}

void Detector::suspect(const DigestTable& table, const ProbeResult& result, MonotonicTime now)
{
    const NodeDigest* digest = table.find(result.targetIncarnation);
    if (!digest)
        return;
    auto [found, isNew] = m_suspicions.try_emplace(result.targetIncarnation);
    Suspicion& suspicion = found->second;
    if (isNew) {
        suspicion.sequence = digest->sequence;
        suspicion.since = now;
    }
    suspicion.isOwn = true;
    suspicion.hadNoHelper = result.helperFailures == 0;
}

void Detector::markLost(uint64_t incarnation, Liveness verdict, MonotonicTime now)
{
    Lost lost { verdict, now, 0, false };
    if (auto found = m_suspicions.find(incarnation); found != m_suspicions.end()) {
        lost.sequence = found->second.sequence;
        lost.isPublished = found->second.isOwn && verdict == Liveness::Dead;
        m_suspicions.erase(found);
    }
    m_lost[incarnation] = lost;
    m_newlyLost.push_back(incarnation);
    if (m_lost.size() > maxLostNodes)
        m_lost.erase(m_lost.begin());
}

void Detector::adjustHealthPenalty(int change)
{
    m_healthPenalty = std::clamp(m_healthPenalty + change, 0, m_options.maxHealthPenalty);
}

std::chrono::nanoseconds Detector::timeToDeadVerdict(const Suspicion& suspicion, size_t nodes) const
{
    double scale = std::max(1.0, std::log10(static_cast<double>(nodes))) * (1 + m_healthPenalty);
    if (suspicion.hadNoHelper && suspicion.observerCount == 0)
        scale *= m_options.soleObserverFactor;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(m_options.suspicionTime * scale);
}

// Prefers helpers in other availability zones, as they reach the target over another network path.
std::vector<NodeInfo> Detector::pickHelpers(const DigestTable& table, uint64_t target, Random& random) const
{
    std::vector<NodeInfo> helpers;
    table.forEach([&](const NodeDigest& digest) {
        uint64_t incarnation = digest.node.id.incarnation;
        if (incarnation != target && digest.node.id != m_self.id && liveness(incarnation) == Liveness::Alive)
            helpers.push_back(digest.node);
    });
    shuffle(helpers, random);
    std::stable_partition(
        helpers.begin(), helpers.end(), [this](const NodeInfo& node) { return node.zone != m_self.zone; });
    if (helpers.size() > m_options.helperCount)
        helpers.resize(m_options.helperCount);
    return helpers;
}

void Detector::refillProbeOrder(const DigestTable& table, Random& random)
{
    if (!m_probeOrder.empty())
        return;
    table.forEach([&](const NodeDigest& digest) {
        if (digest.node.id != m_self.id)
            m_probeOrder.push_back(digest.node.id.incarnation);
    });
    shuffle(m_probeOrder, random);
}

} // namespace Kumquatpick
