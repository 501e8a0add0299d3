#include "suspicion/sharedsuspects.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace Kumquatpick {

namespace {

    // Deaths begin to count, and expire, while nothing else changes.
    constexpr Milliseconds assessmentPeriod { 50 };
    // By then a report that was under way when the death was cleared has arrived.
    constexpr std::chrono::seconds clearedRetention { 60 };
    constexpr size_t maxClearedKept = 64; // Per suspect.
    // Suspects with the most deaths; the others are decided once these are.
    constexpr size_t maxAssessed = 256;

    size_t countUnexplained(std::span<const uint64_t> deaths, const std::set<uint64_t>& explained)
    {
        return static_cast<size_t>(
            std::ranges::count_if(deaths, [&](uint64_t death) { return !explained.contains(death); }));
    }

}

struct SharedSuspects::Candidate {
    Suspect suspect;
    uint32_t depth = 0;
    Charge charge;

    // A death in doubt counts as half of one. Of equal suspects, the deeper one is shared by fewer requests: if it is
    // not the cause, more of them will show that.
    std::pair<double, uint32_t> rank(const std::set<uint64_t>& explained) const
    {
        auto confirmed = static_cast<double>(countUnexplained(charge.confirmed, explained));
        auto doubtful = static_cast<double>(countUnexplained(charge.doubtful, explained));
        return { confirmed + doubtful / 2, depth };
    }
};

SharedSuspects::SharedSuspects(uint64_t self, const SuspicionSettings& settings)
    : m_self(self)
    , m_settings(settings)
{
}

SharedSuspects::Evidence& SharedSuspects::evidenceOf(const Suspect& suspect, uint32_t depth, MonotonicTime now)
{
    if (!m_evidence.contains(suspect))
        evict(now);
    Evidence& evidence = m_evidence[suspect];
    evidence.depth = std::max(evidence.depth, depth);
    return evidence;
}

void SharedSuspects::addObserver(Evidence& evidence, uint64_t observer)
{
    if (evidence.observers.size() < maxObservers)
        evidence.observers.insert(observer);
}

bool SharedSuspects::addDeath(Evidence& evidence, uint64_t death, const Death& observed, MonotonicTime now)
{
    if (evidence.cleared.contains(death))
        return false;
    evidence.latestDeathAt = std::max(evidence.latestDeathAt, observed.at);
    auto known = evidence.open.find(death);
    if (known != evidence.open.end()) {
        known->second.at = std::min(known->second.at, observed.at);
        known->second.isOwn = known->second.isOwn || observed.isOwn;
        return false;
    }
    if (evidence.open.size() == maxOpenDeaths)
        return false;
    evidence.open.emplace(death, observed);
    evidence.latestGrowth = now;
    return true;
}

void SharedSuspects::clear(Evidence& evidence, uint64_t death, const Cleared& cleared, MonotonicTime now)
{
    evidence.open.erase(death);
    std::erase_if(evidence.cleared, [&](const auto& item) { return now - item.second.at > clearedRetention; });
    if (evidence.cleared.size() == maxClearedKept)
        evidence.cleared.erase(
            std::ranges::min_element(evidence.cleared, {}, [](const auto& item) { return item.second.at; }));
    evidence.cleared.emplace(death, cleared);
}

void SharedSuspects::recordDeath(
    const Suspect& suspect, uint32_t depth, uint64_t death, MonotonicTime diedAt, MonotonicTime now)
{
    Evidence& evidence = evidenceOf(suspect, depth, now);
    if (hasSoundRunSince(suspect, diedAt) || evidence.cleared.contains(death))
        return;
    addDeath(evidence, death, { diedAt, true }, now);
    ++evidence.ownDeaths;
    addObserver(evidence, m_self);
    evidence.detectionDelay = std::chrono::floor<Milliseconds>(now - diedAt);
    m_changed.insert(suspect);
    m_assessment.isOutdated = true;
}

void SharedSuspects::recordSoundRun(const Suspect& suspect, MonotonicTime begunAt, MonotonicTime now)
{
    if (m_soundRuns.size() >= maxSoundRuns)
        std::erase_if(m_soundRuns, [&](const auto& entry) { return now - entry.second > soundRunPeriod; });
    if (m_soundRuns.size() < maxSoundRuns || m_soundRuns.contains(suspect)) {
        MonotonicTime& latest = m_soundRuns[suspect];
        latest = std::max(latest, begunAt);
    }
    auto found = m_evidence.find(suspect);
    if (found == m_evidence.end())
        return;
    Evidence& evidence = found->second;
    std::vector<uint64_t> refuted;
    for (const auto& [death, observed] : evidence.open) {
        if (observed.at <= begunAt)
            refuted.push_back(death);
    }
    for (uint64_t death : refuted)
        refute(suspect, evidence, death, now);
}

void SharedSuspects::recordDispatch(const Suspect& suspect, MonotonicTime now)
{
    auto found = m_evidence.find(suspect);
    if (found != m_evidence.end())
        found->second.dispatchedAt = now;
}

bool SharedSuspects::hasSoundRunSince(const Suspect& suspect, MonotonicTime since) const
{
    auto soundRun = m_soundRuns.find(suspect);
    return soundRun != m_soundRuns.end() && soundRun->second >= since;
}

// Clears the death on all nodes.
void SharedSuspects::refute(const Suspect& suspect, Evidence& evidence, uint64_t death, MonotonicTime now)
{
    clear(evidence, death, { now, true }, now);
    ++evidence.ownCleared;
    m_changed.insert(suspect);
    m_assessment.isOutdated = true;
}

SharedSuspects::Charge SharedSuspects::charge(const Suspect& suspect, const Evidence& evidence, MonotonicTime now) const
{
    Charge charge;
    auto soundRun = m_soundRuns.find(suspect);
    for (const auto& [id, death] : evidence.open) {
        bool isExpected = soundRun != m_soundRuns.end() && death.at - soundRun->second <= soundRunPeriod;
        bool isDoubtful = isExpected && now - death.at < verificationTime;
        (isDoubtful ? charge.doubtful : charge.confirmed).push_back(id);
    }
    bool isExpired = evidence.open.size() < m_settings.stopAfterDeaths
        && now - evidence.latestGrowth >= m_settings.suspicionDuration;
    return isExpired ? Charge() : charge;
}

// The suspects that may be stopped, the worst first.
std::vector<SharedSuspects::Candidate> SharedSuspects::candidates(
    std::span<const StoppedRequest> requests, MonotonicTime now) const
{
    std::vector<Candidate> result;
    for (const StoppedRequest& request : requests)
        result.push_back({ { SuspectKind::Request, request.fingerprint }, UINT32_MAX, { request.deaths, {} } });
    for (const auto& [suspect, evidence] : m_evidence) {
        if (evidence.open.size() >= m_settings.stopAfterDeaths)
            result.push_back({ suspect, evidence.depth, charge(suspect, evidence, now) });
    }
    std::ranges::sort(
        result, std::greater {}, [](const Candidate& each) { return std::pair(each.rank({}), each.suspect); });
    result.resize(std::min(result.size(), maxAssessed));
    return result;
}

const SharedSuspects::Assessment& SharedSuspects::assess(
    std::span<const StoppedRequest> requests, MonotonicTime now) const
{
    if (!m_assessment.isOutdated && now - m_assessment.at < assessmentPeriod)
        return m_assessment;
    auto stoppedBefore = std::exchange(m_assessment, { {}, {}, now, false }).stopped;
    std::vector<Candidate> left = candidates(requests, now);
    while (!left.empty()) {
        auto worst = std::ranges::max_element(
            left, {}, [&](const Candidate& each) { return each.rank(m_assessment.explained); });
        double unexplainedDeaths = worst->rank(m_assessment.explained).first;
        if (unexplainedDeaths == 0)
            break;
        const Charge& charge = worst->charge;
        bool isCause = unexplainedDeaths >= m_settings.stopAfterDeaths;
        size_t unexplained = countUnexplained(charge.confirmed, m_assessment.explained);
        // What was there at many deaths that something else explains, and then at another one, is not there by chance.
        size_t needed = charge.confirmed.size() >= 2 * m_settings.stopAfterDeaths ? 1 : m_settings.stopAfterDeaths;
        if (unexplained >= needed)
            m_assessment.stopped.emplace(worst->suspect, now);
        if (isCause) {
            m_assessment.explained.insert(charge.confirmed.begin(), charge.confirmed.end());
            m_assessment.explained.insert(charge.doubtful.begin(), charge.doubtful.end());
        }
        left.erase(worst);
    }
    for (auto& [suspect, since] : m_assessment.stopped) {
        auto before = stoppedBefore.find(suspect);
        since = before == stoppedBefore.end() ? now : before->second;
    }
    return m_assessment;
}

bool SharedSuspects::isAlive(uint64_t node) const
{
    return m_liveNodes.empty() || std::ranges::binary_search(m_liveNodes, node);
}

// The nodes that observed deaths and are still there have their turns in an order that all of them know. While their
// views of who is there differ, two turns may come at the same time; that costs one trial more.
bool SharedSuspects::isTrialDue(
    const Suspect& suspect, const Evidence& evidence, MonotonicTime stoppedAt, MonotonicTime now) const
{
    bool isConfirmed = evidence.latestDeathAt >= stoppedAt + trialDelay;
    bool hasTried = evidence.dispatchedAt >= stoppedAt + trialDelay;
    if (isConfirmed || hasTried || !evidence.observers.contains(m_self))
        return false;
    auto order = [&](uint64_t observer) { return observer ^ suspect.id; };
    auto before = std::ranges::count_if(
        evidence.observers, [&](uint64_t observer) { return order(observer) < order(m_self) && isAlive(observer); });
    return now >= stoppedAt + trialDelay + trialTurn * before;
}

Standing SharedSuspects::standing(
    const Suspect& suspect, std::span<const StoppedRequest> requests, MonotonicTime now) const
{
    auto found = m_evidence.find(suspect);
    if (found == m_evidence.end() || found->second.open.empty())
        return Standing::Clear;
    const auto& stopped = assess(requests, now).stopped;
    auto entry = stopped.find(suspect);
    if (entry == stopped.end())
        return deaths(suspect, requests, now) > 0 ? Standing::Suspected : Standing::Clear;
    bool mayTry = stopLeft(suspect, now).count() == 0 || isTrialDue(suspect, found->second, entry->second, now);
    return mayTry ? Standing::Suspected : Standing::Stopped;
}

Milliseconds SharedSuspects::stopLeft(const Suspect& suspect, MonotonicTime now) const
{
    auto found = m_evidence.find(suspect);
    if (found == m_evidence.end())
        return Milliseconds(0);
    auto left = found->second.latestGrowth + m_settings.stopDuration - now;
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(left));
}

uint32_t SharedSuspects::deaths(
    const Suspect& suspect, std::span<const StoppedRequest> requests, MonotonicTime now) const
{
    auto found = m_evidence.find(suspect);
    if (found == m_evidence.end())
        return 0;
    std::vector<uint64_t> confirmed = charge(suspect, found->second, now).confirmed;
    const Assessment& assessment = assess(requests, now);
    bool isStopped = assessment.stopped.contains(suspect);
    return static_cast<uint32_t>(isStopped ? confirmed.size() : countUnexplained(confirmed, assessment.explained));
}

std::vector<SuspicionCount> SharedSuspects::takeOwnChanges()
{
    std::vector<SuspicionCount> changes;
    for (const Suspect& suspect : m_changed) {
        auto found = m_evidence.find(suspect);
        if (found == m_evidence.end())
            continue; // Evicted since.
        const Evidence& evidence = found->second;
        SuspicionCount count { suspect.id, m_self, evidence.ownDeaths, evidence.ownCleared };
        count.kind = suspect.kind;
        count.depth = evidence.depth;
        count.detectionDelay = evidence.detectionDelay;
        for (const auto& [death, observed] : evidence.open) {
            if (observed.isOwn && count.deathIds.size() < SuspicionCount::maxSharedDeathIds)
                count.deathIds.push_back(death);
        }
        std::vector<std::pair<MonotonicTime, uint64_t>> cleared;
        for (const auto& [death, item] : evidence.cleared) {
            if (item.isOwn)
                cleared.emplace_back(item.at, death);
        }
        std::ranges::sort(cleared, std::greater {});
        cleared.resize(std::min(cleared.size(), SuspicionCount::maxClearedIds));
        for (const auto& [at, death] : cleared)
            count.clearedIds.push_back(death);
        changes.push_back(std::move(count));
    }
    m_changed.clear();
    return changes;
}

void SharedSuspects::merge(const SuspicionCount& count, MonotonicTime now)
{
    Evidence& evidence = evidenceOf(count.suspect(), std::min(count.depth, SuspicionCount::maxDepth), now);
    for (uint64_t death : count.clearedIds)
        clear(evidence, death, { now, false }, now);
    addObserver(evidence, count.observer);
    MonotonicTime diedAt = now - count.detectionDelay;
    bool isRefuted = hasSoundRunSince(count.suspect(), diedAt);
    for (uint64_t death : count.deathIds) {
        if (!isRefuted)
            addDeath(evidence, death, { diedAt, false }, now);
        else if (!evidence.cleared.contains(death))
            refute(count.suspect(), evidence, death, now);
    }
    m_assessment.isOutdated = true;
}

// Drops suspects without deaths that count. If that is not enough, drops a quarter, those with the fewest deaths, and
// of several the ones whose deaths grew longest ago.
void SharedSuspects::evict(MonotonicTime now)
{
    if (m_evidence.size() < maxSuspects)
        return;
    std::erase_if(m_evidence, [&](const auto& item) {
        bool isExpired = now - item.second.latestGrowth >= m_settings.suspicionDuration;
        return item.second.open.size() < m_settings.stopAfterDeaths && (item.second.open.empty() || isExpired);
    });
    if (m_evidence.size() < maxSuspects)
        return;
    std::vector<std::tuple<size_t, MonotonicTime, Suspect>> ranked;
    for (const auto& [suspect, evidence] : m_evidence)
        ranked.emplace_back(evidence.open.size(), evidence.latestGrowth, suspect);
    auto kept = ranked.begin() + static_cast<ptrdiff_t>(maxSuspects / 4);
    std::nth_element(ranked.begin(), kept, ranked.end());
    for (auto dropped = ranked.begin(); dropped != kept; ++dropped)
        m_evidence.erase(std::get<Suspect>(*dropped));
    m_assessment.isOutdated = true;
}

} // namespace Kumquatpick
