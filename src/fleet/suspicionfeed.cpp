#include "fleet/suspicionfeed.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // By then the clearing has reached all nodes.
    constexpr std::chrono::seconds clearedRetention { 60 };
    // As long as a request stays stopped.
    constexpr std::chrono::minutes retention { 60 };

    // Whether no death is left that counts.
    bool isCleared(const SuspicionCount& count)
    {
        return count.kind == SuspectKind::Request ? count.clearedDeaths >= count.deaths : count.deathIds.empty();
    }

    // Pointwise maximum. Returns whether the count grew.
    bool grow(SuspicionCount& known, const SuspicionCount& reported)
    {
        bool grows = reported.deaths > known.deaths || reported.clearedDeaths > known.clearedDeaths;
        known.deaths = std::max(known.deaths, reported.deaths);
        known.clearedDeaths = std::max(known.clearedDeaths, reported.clearedDeaths);
        if (grows && known.kind != SuspectKind::Request) {
            known.deathIds = reported.deathIds;
            known.clearedIds = reported.clearedIds;
        } else if (grows && reported.deathIds.size() > known.deathIds.size()) {
            known.deathIds = reported.deathIds;
        }
        return grows;
    }

}

bool SuspicionFeed::merge(const SuspicionCount& count, std::string_view source, MonotonicTime now)
{
    Key key { count.suspect(), count.observer };
    auto [found, isNew] = m_entries.try_emplace(key, Entry { count, {}, now, 0 });
    Entry& entry = found->second;
    if (!isNew && !grow(entry.count, count))
        return false;
    entry.source = source;
    entry.changedAt = now;
    m_changes.record(key, entry.version);
    if (m_entries.size() > maxEntries)
        evictOldest();
    return true;
}

void SuspicionFeed::forgetSource(std::string_view source)
{
    for (auto& [key, entry] : m_entries) {
        if (entry.source == source)
            entry.source.clear();
    }
}

void SuspicionFeed::evictOldest()
{
    Key oldest = m_changes.oldest();
    auto found = m_entries.find(oldest);
    m_changes.erase(found->second.version);
    m_entries.erase(found);
}

void SuspicionFeed::expire(MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const Entry& entry = item.second;
        bool isExpired
            = now - entry.changedAt > (isCleared(entry.count) ? MonotonicTime::duration(clearedRetention) : retention);
        if (isExpired)
            m_changes.erase(entry.version);
        return isExpired;
    });
}

SuspicionFeed::Changes SuspicionFeed::changesSince(uint64_t version, std::string_view receiver, size_t most) const
{
    Changes changes;
    auto visited = m_changes.visitSince(version, [&](const Key& key) {
        const Entry& entry = m_entries.find(key)->second;
        if (entry.source == receiver)
            return true;
        if (changes.counts.size() == most)
            return false;
        changes.counts.push_back(entry.count);
        return true;
    });
    changes.through = visited.through;
    changes.hasMore = visited.hasMore;
    return changes;
}

} // namespace Kumquatpick
