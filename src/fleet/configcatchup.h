#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// When a node that lacks a configuration asks a peer for its text, and which peer. Texts are large and links are slow:
// only who lacks one asks, one peer at a time, and only after the store had time to bring it. Not thread-safe.
//
// Pushed to every peer whose last digest named an older version, a growing configuration filled the links of sixty
// nodes: 2.2 GB between zones in 34 s, look-ups failed and calls were answered by old versions.
class ConfigCatchUp {
public:
    // Without the head of an answer for so long, an ask is given up: nobody else is asked meanwhile, and a peer that
    // was just suspended never answers.
    static constexpr Milliseconds patience { 500 };

    // A peer that is alive holds this version.
    void heard(std::string_view peer, bool isOfOwnZone, uint64_t version, MonotonicTime now);
    // The peer to ask now, if one should be; begins the ask. waitsForStore: the store may bring it by itself.
    std::optional<std::string> beginAsk(uint64_t ownVersion, bool waitsForStore, MonotonicTime now, Random&);
    void askEnded();
    // Whether a peer told of a newer version than this.
    bool isBehind(uint64_t ownVersion) const { return m_newest > ownVersion; }

private:
    struct Holder {
        uint64_t version = 0;
        bool isOfOwnZone = false;
        MonotonicTime heardAt {};
    };

    void noteOwn(uint64_t version, MonotonicTime now);

    std::map<std::string, Holder, std::less<>> m_holders; // Peers by address.
    uint64_t m_newest = 0; // That a peer told of.
    uint64_t m_own = 0; // Of this node, as last given.
    MonotonicTime m_behindSince {}; // A peer told of a newer version then, or one came that is not the newest.
    std::optional<MonotonicTime> m_askedAt;
    std::string m_lastAsked;
    bool m_isAsking = false;
};

} // namespace Kumquatpick
