#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Decides when a node that lacks a configuration fetches its text, and from which peer. Texts are large and links slow,
// so there is one fetch at a time, and only after the store has had time to deliver the text. Not thread-safe.
//
// When the text was pushed to every peer whose last message named an older version, a growing configuration saturated
// the links of 60 nodes: 2.2 GB between zones in 34 s, look-ups failed and calls were served by old versions.
class ConfigCatchUp {
public:
    // A fetch is abandoned if the head of the answer does not arrive within this time, because no other peer is asked
    // meanwhile and a peer that was just suspended never answers.
    static constexpr Milliseconds responseTimeout { 500 };

    // Records the version that a live peer holds.
    void recordPeerVersion(std::string_view peer, bool isOfOwnZone, uint64_t version, MonotonicTime now);
    // Starts a fetch and returns the peer, if one is due. waitsForStore: the store may still deliver the text.
    std::optional<std::string> beginFetch(uint64_t ownVersion, bool waitsForStore, MonotonicTime now, Random&);
    void endFetch();
    // Whether a peer has reported a newer version than this.
    bool isBehind(uint64_t ownVersion) const { return m_newest > ownVersion; }

private:
    struct Holder {
        uint64_t version = 0;
        bool isOfOwnZone = false;
        MonotonicTime reportedAt {};
    };

    void updateLocalVersion(uint64_t version, MonotonicTime now);

    std::map<std::string, Holder, std::less<>> m_holders; // By peer address.
    uint64_t m_newest = 0; // Newest version reported by a peer.
    uint64_t m_localVersion = 0; // This node's version as of the last beginFetch().
    MonotonicTime m_behindSince {}; // Last report of a newer version, or last update that was not the newest.
    std::optional<MonotonicTime> m_lastFetchAt;
    std::string m_lastFetchPeer;
    bool m_isFetching = false;
};

} // namespace Kumquatpick
