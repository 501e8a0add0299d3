#pragma once

#include <cstdint>
#include <map>
#include <utility>

namespace Kumquatpick {

// In which order the entries of a table last changed, so that only what changed since a version needs to be sent. An
// entry holds its own version, 0 before its first change.
template <typename Key> class ChangeLog {
public:
    // Incremented by each change.
    uint64_t version() const { return m_version; }
    void skipVersion() { ++m_version; } // For a change of something that is not an entry.

    void record(const Key& key, uint64_t& entryVersion)
    {
        erase(entryVersion);
        entryVersion = ++m_version;
        m_keys.emplace(entryVersion, key);
    }
    void erase(uint64_t entryVersion) { m_keys.erase(entryVersion); }
    // The key that has not changed for longest; the log must not be empty.
    const Key& oldest() const { return m_keys.begin()->second; }

    struct Visited {
        uint64_t through = 0; // All changes up to this version were visited.
        bool hasMore = false;
    };
    // Passes the keys that changed after the version, oldest first, until one is rejected for want of room.
    template <typename Accept> Visited visitSince(uint64_t version, Accept&& accepts) const
    {
        for (auto at = m_keys.upper_bound(version); at != m_keys.end(); ++at) {
            if (!accepts(at->second))
                return { at->first - 1, true };
        }
        return { m_version, false };
    }

private:
    std::map<uint64_t, Key> m_keys; // By version.
    uint64_t m_version = 0;
};

} // namespace Kumquatpick
