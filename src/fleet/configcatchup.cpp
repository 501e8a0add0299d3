#include "fleet/configcatchup.h"

#include <vector>

namespace Kumquatpick {

namespace {

    // A reader that waits at the store has the text within a few of its answers; peers hear of it as soon.
    constexpr Milliseconds storeGracePeriod { 300 };
    // Configurations may follow each other within 60 ms; one ask brings all of them.
    constexpr Milliseconds minFetchInterval { 400 };
    // Of the last digest: a peer that fell silent is not asked.
    constexpr Milliseconds holderLifetime { 1500 };

}

void ConfigCatchUp::heard(std::string_view peer, bool isOfOwnZone, uint64_t version, MonotonicTime now)
{
    m_holders.insert_or_assign(std::string(peer), Holder { version, isOfOwnZone, now });
    if (version <= m_newest)
        return;
    if (m_own >= m_newest)
        m_behindSince = now;
    m_newest = version;
}

// A version that came shows that the store brings them, so it gets time for the next one. Newer ones that peers tell of
// show nothing: they would put off the ask for as long as changes follow each other.
void ConfigCatchUp::noteOwn(uint64_t version, MonotonicTime now)
{
    bool hasAdvanced = m_own > 0 && version > m_own;
    m_own = version;
    if (hasAdvanced && version < m_newest)
        m_behindSince = now;
}

std::optional<std::string> ConfigCatchUp::beginAsk(
    uint64_t ownVersion, bool waitsForStore, MonotonicTime now, Random& random)
{
    noteOwn(ownVersion, now);
    std::erase_if(m_holders, [&](const auto& entry) { return now - entry.second.heardAt > holderLifetime; });
    bool isTooSoon = m_askedAt && now - *m_askedAt < minFetchInterval;
    bool hadStoreTime = !waitsForStore || now - m_behindSince >= storeGracePeriod;
    if (m_isAsking || isTooSoon || !hadStoreTime || ownVersion >= m_newest)
        return std::nullopt;
    std::vector<std::string_view> sameZone;
    std::vector<std::string_view> otherZones;
    for (const auto& [peer, holder] : m_holders) {
        // The one that just failed to bring it is asked again only if it is the only one.
        bool isRepeat = peer == m_lastAsked && m_holders.size() > 1;
        if (holder.version > ownVersion && !isRepeat)
            (holder.isOfOwnZone ? sameZone : otherZones).push_back(peer);
    }
    const auto& choice = sameZone.empty() ? otherZones : sameZone;
    if (choice.empty())
        return std::nullopt;
    m_lastAsked = choice[random() % choice.size()];
    m_askedAt = now;
    m_isAsking = true;
    return m_lastAsked;
}

void ConfigCatchUp::askEnded() { m_isAsking = false; }

} // namespace Kumquatpick
