#include "fleet/configcatchup.h"

#include <vector>

namespace Kumquatpick {

namespace {

    // A reader that is waiting at the store gets the text within a few answer times, as fast as peers learn of it.
    constexpr Milliseconds storeGracePeriod { 300 };
    // Configurations may follow each other within 60 ms; one fetch covers all of them.
    constexpr Milliseconds minFetchInterval { 400 };
    // After the last message. A peer that is silent for longer is not asked.
    constexpr Milliseconds holderLifetime { 1500 };

}

void ConfigCatchUp::recordPeerVersion(std::string_view peer, bool isOfOwnZone, uint64_t version, MonotonicTime now)
{
    m_holders.insert_or_assign(std::string(peer), Holder { version, isOfOwnZone, now });
    if (version <= m_newest)
        return;
    if (m_localVersion >= m_newest)
        m_behindSince = now;
    m_newest = version;
}

// An update shows that the store delivers, so the store gets time for the next one as well. Newer versions reported by
// peers don't restart that time: otherwise the fetch would be delayed for as long as changes follow each other.
void ConfigCatchUp::updateLocalVersion(uint64_t version, MonotonicTime now)
{
    bool hasAdvanced = m_localVersion > 0 && version > m_localVersion;
    m_localVersion = version;
    if (hasAdvanced && version < m_newest)
        m_behindSince = now;
}

std::optional<std::string> ConfigCatchUp::beginFetch(
    uint64_t ownVersion, bool waitsForStore, MonotonicTime now, Random& random)
{
    updateLocalVersion(ownVersion, now);
    std::erase_if(m_holders, [&](const auto& entry) { return now - entry.second.reportedAt > holderLifetime; });
    bool isTooSoon = m_lastFetchAt && now - *m_lastFetchAt < minFetchInterval;
    bool hadStoreTime = !waitsForStore || now - m_behindSince >= storeGracePeriod;
    if (m_isFetching || isTooSoon || !hadStoreTime || ownVersion >= m_newest)
        return std::nullopt;
    std::vector<std::string_view> sameZone;
    std::vector<std::string_view> otherZones;
    for (const auto& [peer, holder] : m_holders) {
        // A peer that was asked last and did not deliver is asked again only if it is the only one.
        bool isRepeat = peer == m_lastFetchPeer && m_holders.size() > 1;
        if (holder.version > ownVersion && !isRepeat)
            (holder.isOfOwnZone ? sameZone : otherZones).push_back(peer);
    }
    const auto& choice = sameZone.empty() ? otherZones : sameZone;
    if (choice.empty())
        return std::nullopt;
    m_lastFetchPeer = choice[random() % choice.size()];
    m_lastFetchAt = now;
    m_isFetching = true;
    return m_lastFetchPeer;
}

void ConfigCatchUp::endFetch() { m_isFetching = false; }

} // namespace Kumquatpick
