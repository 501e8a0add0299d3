#include "suspicion/suspicionstate.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds retryAfterWhileRunning { 2000 };
    constexpr Milliseconds duplicateDeathWindow { 5000 };
    constexpr size_t maxDeathCounts = 4096;
    // Stopped requests age while nothing else changes.
    constexpr Milliseconds stoppedRefreshPeriod { 50 };

    // What the request shares with others, the deepest last.
    std::vector<Suspect> sharedSuspects(const RunSuspects& run)
    {
        std::vector<Suspect> result;
        for (uint64_t part : run.promptParts)
            result.push_back({ SuspectKind::PromptPart, part });
        return result;
    }

} // namespace

SuspicionState::SuspicionState(uint64_t self, SuspicionSettings settings)
    : m_self(self)
    , m_settings(settings)
    , m_shared(self, m_settings)
{
}

uint32_t SuspicionState::Evidence::totalDeaths() const
{
    std::set<uint64_t> identified;
    uint32_t unidentified = 0;
    for (const auto& [observer, seen] : byObserver) {
        identified.insert(seen.deathIds.begin(), seen.deathIds.end());
        unidentified += seen.deaths - std::min(seen.deaths, static_cast<uint32_t>(seen.deathIds.size()));
    }
    return static_cast<uint32_t>(identified.size()) + unidentified;
}

uint32_t SuspicionState::Evidence::clearedDeaths() const
{
    uint32_t most = 0;
    for (const auto& [observer, seen] : byObserver)
        most = std::max(most, seen.clearedDeaths);
    return most;
}

// A stopped request that has aged keeps all but one of the deaths that stop it: it may run once, and another death
// stops it again at once.
uint32_t SuspicionState::countedDeaths(const Evidence& suspect, MonotonicTime now) const
{
    uint32_t total = suspect.totalDeaths();
    uint32_t cleared = suspect.clearedDeaths();
    if (total <= cleared)
        return 0;
    uint32_t open = total - cleared;
    auto age = now - suspect.latestGrowth;
    if (open >= m_settings.stopAfterDeaths)
        return age < m_settings.stopDuration ? open : m_settings.stopAfterDeaths - 1;
    return age < m_settings.suspicionDuration ? open : 0;
}

uint32_t SuspicionState::deaths(uint64_t fingerprint, MonotonicTime now) const
{
    auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : countedDeaths(found->second, now);
}

uint32_t SuspicionState::deaths(const Suspect& suspect, MonotonicTime now) const
{
    if (suspect.kind == SuspectKind::Request)
        return deaths(suspect.id, now);
    return m_shared.deaths(suspect, stoppedRequests(now), now);
}

bool SuspicionState::isStoppedRequest(uint64_t fingerprint, MonotonicTime now) const
{
    return deaths(fingerprint, now) >= m_settings.stopAfterDeaths;
}

bool SuspicionState::isStopped(const Suspect& suspect, MonotonicTime now) const
{
    if (suspect.kind == SuspectKind::Request)
        return isStoppedRequest(suspect.id, now);
    return m_shared.standing(suspect, stoppedRequests(now), now) == Standing::Stopped;
}

SuspicionVerdict SuspicionState::requestVerdict(uint64_t fingerprint, MonotonicTime now) const
{
    if (isStoppedRequest(fingerprint, now))
        return SuspicionVerdict::Stopped;
    bool isRunning = m_runs.isRunning({ SuspectKind::Request, fingerprint });
    return isRunning && deaths(fingerprint, now) > 0 ? SuspicionVerdict::AlreadyRunning : SuspicionVerdict::Clear;
}

std::span<const SharedSuspects::StoppedRequest> SuspicionState::stoppedRequests(MonotonicTime now) const
{
    if (!m_stopped.isOutdated && now - m_stopped.at < stoppedRefreshPeriod)
        return m_stopped.requests;
    m_stopped = { {}, now, false };
    for (const auto& [fingerprint, evidence] : m_suspects) {
        if (countedDeaths(evidence, now) < m_settings.stopAfterDeaths)
            continue;
        std::set<uint64_t> deaths;
        for (const auto& [observer, seen] : evidence.byObserver)
            deaths.insert(seen.deathIds.begin(), seen.deathIds.end());
        m_stopped.requests.push_back({ fingerprint, { deaths.begin(), deaths.end() } });
    }
    return m_stopped.requests;
}

SuspicionVerdict SuspicionState::sharedVerdict(const RunSuspects& run, MonotonicTime now) const
{
    if (run.promptParts.empty() || m_shared.isEmpty())
        return SuspicionVerdict::Clear;
    SuspicionVerdict worst = SuspicionVerdict::Clear;
    std::vector<Suspect> shared = sharedSuspects(run);
    auto stopped = stoppedRequests(now);
    for (const Suspect& suspect : shared) {
        Standing standing = m_shared.standing(suspect, stopped, now);
        if (standing == Standing::Stopped)
            return SuspicionVerdict::Stopped;
        if (standing == Standing::Suspected && m_runs.isRunning(suspect))
            worst = SuspicionVerdict::AlreadyRunning;
    }
    return worst;
}

SuspicionVerdict SuspicionState::verdict(const RunSuspects& run, MonotonicTime now) const
{
    return std::max(requestVerdict(run.fingerprint, now), sharedVerdict(run, now));
}

bool SuspicionState::isSuspected(const RunSuspects& run, MonotonicTime now) const
{
    if (deaths(run.fingerprint, now) > 0)
        return true;
    if (run.promptParts.empty() || m_shared.isEmpty())
        return false;
    std::vector<Suspect> shared = sharedSuspects(run);
    auto stopped = stoppedRequests(now);
    return std::ranges::any_of(
        shared, [&](const Suspect& suspect) { return m_shared.standing(suspect, stopped, now) != Standing::Clear; });
}

Milliseconds SuspicionState::retryAfter(const RunSuspects& run, MonotonicTime now) const
{
    switch (verdict(run, now)) {
    case SuspicionVerdict::Clear:
        return Milliseconds(0);
    case SuspicionVerdict::AlreadyRunning:
        return retryAfterWhileRunning;
    case SuspicionVerdict::Stopped:
        break;
    }
    Milliseconds left {};
    if (isStoppedRequest(run.fingerprint, now)) {
        auto since = now - m_suspects.at(run.fingerprint).latestGrowth;
        left = std::chrono::ceil<Milliseconds>(m_settings.stopDuration - since);
    }
    for (const Suspect& suspect : sharedSuspects(run)) {
        if (isStopped(suspect, now))
            left = std::max(left, m_shared.stopLeft(suspect, now));
    }
    return left;
}

std::vector<std::string> SuspicionState::replicasToAvoid(const RunSuspects& run, MonotonicTime now) const
{
    if (!isSuspected(run, now))
        return {};
    return m_runs.serversRunning(
        [&](const RunSuspects& other) { return other.fingerprint != run.fingerprint && isSuspected(other, now); });
}

void SuspicionState::dispatched(const RunSuspects& run, std::string_view replica, MonotonicTime now)
{
    m_runs.started(run, replica, now);
    for (const Suspect& suspect : sharedSuspects(run))
        m_shared.recordDispatch(suspect, now);
}

void SuspicionState::wrote(const RunSuspects& run, std::string_view replica, MonotonicTime now)
{
    const ServerRun* sound = m_runs.wrote(run.fingerprint, replica, now);
    if (!sound)
        return;
    for (const Suspect& suspect : sharedSuspects(run))
        m_shared.recordSoundRun(suspect, sound->begunAt(), now);
}

void SuspicionState::finished(const RunSuspects& run, std::string_view replica, MonotonicTime now)
{
    auto ended = m_runs.ended(run.fingerprint, replica);
    m_runs.heardFrom(replica, now);
    if (ended) {
        for (const Suspect& suspect : sharedSuspects(run))
            m_shared.recordSoundRun(suspect, ended->begunAt(), now);
    }
    rememberNormalEnd(run.fingerprint, now);
    auto found = m_suspects.find(run.fingerprint);
    if (found != m_suspects.end())
        clearDeaths(run.fingerprint, found->second);
}

void SuspicionState::rememberNormalEnd(uint64_t fingerprint, MonotonicTime now)
{
    if (m_settings.harmlessDuration.count() == 0)
        return;
    if (m_normalEnds.size() >= maxNormalEnds)
        std::erase_if(
            m_normalEnds, [&](const auto& entry) { return now - entry.second > m_settings.harmlessDuration; });
    if (m_normalEnds.size() < maxNormalEnds || m_normalEnds.contains(fingerprint))
        m_normalEnds.insert_or_assign(fingerprint, now);
}

bool SuspicionState::isHarmless(uint64_t fingerprint, MonotonicTime now) const
{
    auto found = m_normalEnds.find(fingerprint);
    return found != m_normalEnds.end() && now - found->second < m_settings.harmlessDuration;
}

void SuspicionState::clearDeaths(uint64_t fingerprint, Evidence& suspect)
{
    uint32_t total = suspect.totalDeaths();
    if (total <= suspect.clearedDeaths())
        return;
    m_stopped.isOutdated = true;
    suspect.byObserver[m_self].clearedDeaths = total;
    m_changed.insert(fingerprint);
}

void SuspicionState::withdrawn(const RunSuspects& run, std::string_view replica)
{
    m_runs.ended(run.fingerprint, replica);
}

void SuspicionState::abandoned(const RunSuspects& run, std::string_view replica, MonotonicTime now)
{
    m_runs.abandoned(run.fingerprint, replica, now);
}

// Of replicas whose names are used again, nodes that observed the same number of deaths compute the same id without
// communication. Where their numbers differ, one death may count twice, or two deaths as one.
uint64_t SuspicionState::deathId(std::string_view replica, MonotonicTime now)
{
    forgetOldDeaths(now);
    auto known = m_deathCounts.find(replica);
    if (known == m_deathCounts.end())
        known = m_deathCounts.try_emplace(std::string(replica)).first;
    DeathCount& count = known->second;
    bool isRepeated = count.deaths && (m_settings.namesAreUnique || now - count.latest <= duplicateDeathWindow);
    if (!isRepeated) {
        ++count.deaths;
        count.latest = now;
    }
    return hash64(replica, count.deaths);
}

void SuspicionState::forgetOldDeaths(MonotonicTime now)
{
    if (m_deathCounts.size() < maxDeathCounts)
        return;
    std::erase_if(
        m_deathCounts, [&](const auto& entry) { return now - entry.second.latest > m_settings.stopDuration; });
    if (m_deathCounts.size() >= maxDeathCounts)
        m_deathCounts.erase(
            std::ranges::min_element(m_deathCounts, {}, [](const auto& entry) { return entry.second.latest; }));
}

// Counts the death against everything that may have been running on the replica. If only an earlier suspect were
// blamed, a poison request that runs beside it would not be counted and could exceed the limit on deaths.
std::vector<Suspect> SuspicionState::replicaDied(std::string_view replica, MonotonicTime now, ServerEndSign sign)
{
    // What was sent to a server that had died before never ran.
    bool isKnown = m_settings.namesAreUnique && hasDied(replica);
    uint64_t death = deathId(replica, now);
    std::vector<ServerRun> blamed = m_runs.takeBlamed(replica, sign, now);
    if (isKnown)
        return {};
    std::set<Suspect> suspects;
    for (const ServerRun& run : blamed) {
        if (!isHarmless(run.suspects.fingerprint, now)) {
            countDeath(run.suspects.fingerprint, death, now);
            suspects.insert({ SuspectKind::Request, run.suspects.fingerprint });
        }
        if (run.isSound())
            continue;
        MonotonicTime diedAt = run.abandonedAt == MonotonicTime {} ? now : run.abandonedAt;
        uint32_t depth = 0;
        for (const Suspect& suspect : sharedSuspects(run.suspects)) {
            m_shared.recordDeath(suspect, depth++, death, diedAt, now);
            suspects.insert(suspect);
        }
    }
    return { suspects.begin(), suspects.end() };
}

void SuspicionState::countDeath(uint64_t fingerprint, uint64_t death, MonotonicTime now)
{
    if (!m_suspects.contains(fingerprint))
        evictSuspects(now);
    m_stopped.isOutdated = true;
    Evidence& suspect = m_suspects[fingerprint];
    ObservedDeaths& observed = suspect.byObserver[m_self];
    ++observed.deaths;
    if (observed.deathIds.size() < SuspicionCount::maxDeathIds)
        observed.deathIds.insert(death);
    suspect.latestGrowth = now;
    m_changed.insert(fingerprint);
    m_hasUrgentChanges = m_hasUrgentChanges || countedDeaths(suspect, now) > 1;
}

std::vector<SuspicionCount> SuspicionState::takeOwnChanges()
{
    std::vector<SuspicionCount> changes;
    for (uint64_t fingerprint : m_changed) {
        auto suspect = m_suspects.find(fingerprint);
        if (suspect == m_suspects.end())
            continue; // Evicted since.
        const ObservedDeaths& seen = suspect->second.byObserver[m_self];
        changes.push_back(
            { fingerprint, m_self, seen.deaths, seen.clearedDeaths, { seen.deathIds.begin(), seen.deathIds.end() } });
    }
    m_changed.clear();
    m_hasUrgentChanges = false;
    std::ranges::move(m_shared.takeOwnChanges(), std::back_inserter(changes));
    return changes;
}

std::vector<SuspicionCount> SuspicionState::counts() const
{
    std::vector<std::pair<MonotonicTime, SuspicionCount>> known;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        bool stopped = suspect.totalDeaths() - std::min(suspect.totalDeaths(), suspect.clearedDeaths())
            >= m_settings.stopAfterDeaths;
        for (const auto& [observer, seen] : suspect.byObserver) {
            if (observer == m_self || stopped)
                known.emplace_back(suspect.latestGrowth,
                    SuspicionCount { fingerprint, observer, seen.deaths, seen.clearedDeaths,
                        { seen.deathIds.begin(), seen.deathIds.end() } });
        }
    }
    auto newer = [](const auto& left, const auto& right) {
        return std::tuple(right.first, left.second.fingerprint, left.second.observer)
            < std::tuple(left.first, right.second.fingerprint, right.second.observer);
    };
    std::sort(known.begin(), known.end(), newer);
    std::vector<SuspicionCount> counts;
    for (size_t i = 0; i < std::min(known.size(), maxGossipCounts); ++i)
        counts.push_back(known[i].second);
    return counts;
}

std::vector<Suspect> SuspicionState::merge(std::span<const SuspicionCount> counts, MonotonicTime now)
{
    std::set<Suspect> running;
    for (const SuspicionCount& count : counts) {
        if (!isStopped(count.suspect(), now))
            running.insert(count.suspect());
    }
    for (const SuspicionCount& count : counts) {
        if (count.kind == SuspectKind::Request)
            mergeRequest(count, now);
        else
            m_shared.merge(count, now);
    }
    std::vector<Suspect> stopped;
    std::ranges::copy_if(
        running, std::back_inserter(stopped), [&](const Suspect& suspect) { return isStopped(suspect, now); });
    return stopped;
}

// The counts of one observer never decrease, so the larger one is the newer one, in whatever order they arrive.
void SuspicionState::mergeRequest(const SuspicionCount& count, MonotonicTime now)
{
    if (!m_suspects.contains(count.fingerprint))
        evictSuspects(now);
    m_stopped.isOutdated = true;
    Evidence& suspect = m_suspects[count.fingerprint];
    if (suspect.byObserver.size() >= maxObservers && !suspect.byObserver.contains(count.observer))
        return;
    ObservedDeaths& seen = suspect.byObserver[count.observer];
    if (count.deaths > seen.deaths)
        suspect.latestGrowth = std::max(suspect.latestGrowth, now);
    seen.deaths = std::max(seen.deaths, count.deaths);
    seen.clearedDeaths = std::max(seen.clearedDeaths, count.clearedDeaths);
    for (uint64_t id : count.deathIds) {
        if (seen.deathIds.size() < SuspicionCount::maxDeathIds)
            seen.deathIds.insert(id);
    }
    if (isHarmless(count.fingerprint, now))
        clearDeaths(count.fingerprint, suspect);
}

// Drops suspects whose deaths no longer count. If that is not enough, drops a quarter, those with the fewest counted
// deaths, and of several the ones whose counts grew longest ago.
void SuspicionState::evictSuspects(MonotonicTime now)
{
    if (m_suspects.size() < maxSuspects)
        return;
    std::erase_if(m_suspects, [&](const auto& entry) { return !countedDeaths(entry.second, now); });
    if (m_suspects.size() < maxSuspects)
        return;
    std::vector<std::tuple<uint32_t, MonotonicTime, uint64_t>> ranked;
    for (const auto& [fingerprint, suspect] : m_suspects)
        ranked.emplace_back(countedDeaths(suspect, now), suspect.latestGrowth, fingerprint);
    auto kept = ranked.begin() + static_cast<ptrdiff_t>(maxSuspects / 4);
    std::nth_element(ranked.begin(), kept, ranked.end());
    for (auto dropped = ranked.begin(); dropped != kept; ++dropped)
        m_suspects.erase(std::get<uint64_t>(*dropped));
}

} // namespace Kumquatpick
