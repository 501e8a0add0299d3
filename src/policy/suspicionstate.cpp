#include "policy/suspicionstate.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds comeBackWhileOneRuns { 2000 };
    constexpr Milliseconds sameDeathWithin { 5000 };
    constexpr size_t mostDeathCounts = 4096;

} // namespace

SuspicionState::SuspicionState(uint64_t self, SuspicionSettings settings)
    : m_self(self)
    , m_settings(settings)
{
}

uint32_t SuspicionState::Suspect::total() const
{
    std::set<uint64_t> named;
    uint32_t unnamed = 0;
    for (const auto& [observer, seen] : byObserver) {
        named.insert(seen.deathIds.begin(), seen.deathIds.end());
        unnamed += seen.deaths - std::min(seen.deaths, static_cast<uint32_t>(seen.deathIds.size()));
    }
    return static_cast<uint32_t>(named.size()) + unnamed;
}

uint32_t SuspicionState::Suspect::forgiven() const
{
    uint32_t most = 0;
    for (const auto& [observer, seen] : byObserver)
        most = std::max(most, seen.forgiven);
    return most;
}

// A stopped request that has aged keeps all but one of the deaths that stop it: it may run once, and another death
// stops it again at once.
uint32_t SuspicionState::counting(const Suspect& suspect, MonotonicTime now) const
{
    uint32_t total = suspect.total();
    uint32_t forgiven = suspect.forgiven();
    if (total <= forgiven)
        return 0;
    uint32_t open = total - forgiven;
    auto age = now - suspect.latest;
    if (open >= m_settings.stopAfterDeaths)
        return age < m_settings.stopFor ? open : m_settings.stopAfterDeaths - 1;
    return age < m_settings.suspectFor ? open : 0;
}

uint32_t SuspicionState::deaths(uint64_t fingerprint, MonotonicTime now) const
{
    auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : counting(found->second, now);
}

SuspicionVerdict SuspicionState::verdict(uint64_t fingerprint, MonotonicTime now) const
{
    uint32_t counted = deaths(fingerprint, now);
    if (!counted)
        return SuspicionVerdict::Clear;
    if (counted >= m_settings.stopAfterDeaths)
        return SuspicionVerdict::Stopped;
    return m_running.contains(fingerprint) ? SuspicionVerdict::OneRuns : SuspicionVerdict::Clear;
}

Milliseconds SuspicionState::retryAfter(uint64_t fingerprint, MonotonicTime now) const
{
    switch (verdict(fingerprint, now)) {
    case SuspicionVerdict::Clear:
        return Milliseconds(0);
    case SuspicionVerdict::OneRuns:
        return comeBackWhileOneRuns;
    case SuspicionVerdict::Stopped:
        break;
    }
    auto since = now - m_suspects.at(fingerprint).latest;
    return std::chrono::ceil<Milliseconds>(m_settings.stopFor - since);
}

std::vector<std::string> SuspicionState::replicasToAvoid(uint64_t fingerprint, MonotonicTime now) const
{
    std::vector<std::string> avoid;
    if (!deaths(fingerprint, now))
        return avoid;
    for (const auto& [replica, running] : m_runningByReplica) {
        bool otherSuspect = std::any_of(running.begin(), running.end(),
            [&](const auto& entry) { return entry.first != fingerprint && deaths(entry.first, now); });
        if (otherSuspect)
            avoid.push_back(replica);
    }
    return avoid;
}

void SuspicionState::dispatched(uint64_t fingerprint, std::string_view replica, MonotonicTime)
{
    ++m_runningByReplica[std::string(replica)][fingerprint];
    ++m_running[fingerprint];
}

void SuspicionState::forgetRun(uint64_t fingerprint, std::string_view replica)
{
    auto there = m_runningByReplica.find(replica);
    if (there == m_runningByReplica.end())
        return;
    auto run = there->second.find(fingerprint);
    if (run == there->second.end())
        return;
    if (!--run->second)
        there->second.erase(run);
    if (there->second.empty())
        m_runningByReplica.erase(there);
    auto total = m_running.find(fingerprint);
    if (!--total->second)
        m_running.erase(total);
}

void SuspicionState::finished(uint64_t fingerprint, std::string_view replica, MonotonicTime)
{
    forgetRun(fingerprint, replica);
    auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return;
    Seen& own = found->second.byObserver[m_self];
    own.forgiven = std::max(own.forgiven, found->second.total());
}

void SuspicionState::withdrawn(uint64_t fingerprint, std::string_view replica) { forgetRun(fingerprint, replica); }

// Nodes that observed the same number of deaths of a replica compute the same id for a death without communication.
// Where their numbers differ, one death may count twice, or two deaths as one.
uint64_t SuspicionState::deathId(std::string_view replica, MonotonicTime now)
{
    if (m_deathCounts.size() >= mostDeathCounts)
        std::erase_if(m_deathCounts, [&](const auto& entry) { return now - entry.second.latest > m_settings.stopFor; });
    auto known = m_deathCounts.find(replica);
    if (known == m_deathCounts.end())
        known = m_deathCounts.try_emplace(std::string(replica)).first;
    DeathCount& count = known->second;
    if (!count.deaths || now - count.latest > sameDeathWithin) {
        ++count.deaths;
        count.latest = now;
    }
    return hash64(replica, count.deaths);
}

// Counts the death against every fingerprint that ran on the replica. If only an earlier suspect were blamed, a poison
// request that runs beside it would not be counted and could exceed the limit on deaths.
void SuspicionState::replicaDied(std::string_view replica, MonotonicTime now)
{
    uint64_t death = deathId(replica, now);
    auto there = m_runningByReplica.find(replica);
    if (there == m_runningByReplica.end())
        return;
    auto blamed = there->second;
    for (const auto& [fingerprint, runs] : blamed) {
        if (!m_suspects.contains(fingerprint))
            makeRoom(now);
        Suspect& suspect = m_suspects[fingerprint];
        Seen& own = suspect.byObserver[m_self];
        ++own.deaths;
        if (own.deathIds.size() < mostDeathIds)
            own.deathIds.insert(death);
        suspect.latest = now;
        for (uint32_t run = 0; run < runs; ++run)
            forgetRun(fingerprint, replica);
    }
}

std::vector<SuspicionCount> SuspicionState::counts() const
{
    std::vector<std::pair<MonotonicTime, SuspicionCount>> known;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        bool stopped = suspect.total() - std::min(suspect.total(), suspect.forgiven()) >= m_settings.stopAfterDeaths;
        for (const auto& [observer, seen] : suspect.byObserver) {
            if (observer == m_self || stopped)
                known.emplace_back(suspect.latest,
                    SuspicionCount { fingerprint, observer, seen.deaths, seen.forgiven,
                        { seen.deathIds.begin(), seen.deathIds.end() } });
        }
    }
    auto newer = [](const auto& left, const auto& right) {
        return std::tuple(right.first, left.second.fingerprint, left.second.observer)
            < std::tuple(left.first, right.second.fingerprint, right.second.observer);
    };
    std::sort(known.begin(), known.end(), newer);
    std::vector<SuspicionCount> counts;
    for (size_t i = 0; i < std::min(known.size(), mostInGossip); ++i)
        counts.push_back(known[i].second);
    return counts;
}

// The counts of one observer never decrease, so the larger one is the newer one, in whatever order they arrive.
void SuspicionState::merge(std::span<const SuspicionCount> counts, MonotonicTime now)
{
    for (const SuspicionCount& count : counts) {
        if (!m_suspects.contains(count.fingerprint))
            makeRoom(now);
        Suspect& suspect = m_suspects[count.fingerprint];
        Seen& seen = suspect.byObserver[count.observer];
        if (count.deaths > seen.deaths)
            suspect.latest = std::max(suspect.latest, now);
        seen.deaths = std::max(seen.deaths, count.deaths);
        seen.forgiven = std::max(seen.forgiven, count.forgiven);
        seen.deathIds.insert(count.deathIds.begin(), count.deathIds.end());
    }
}

// Drops suspects whose deaths no longer count. If that is not enough, drops the one with the fewest counted deaths, and
// of several the one whose counts grew longest ago.
void SuspicionState::makeRoom(MonotonicTime now)
{
    if (m_suspects.size() < mostSuspects)
        return;
    std::erase_if(m_suspects, [&](const auto& entry) { return !counting(entry.second, now); });
    if (m_suspects.size() < mostSuspects)
        return;
    auto lessGuilty = [&](const auto& left, const auto& right) {
        return std::tuple(counting(left.second, now), left.second.latest)
            < std::tuple(counting(right.second, now), right.second.latest);
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), lessGuilty));
}

} // namespace Kumquatpick
