#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

struct PrefixCacheSettings {
    uint64_t bytes = 64 << 20; // What it holds; beyond it the least recently used goes.
    Milliseconds eventLag { 0 };
    double eventGap = 0; // Share of the events at which all earlier ones are lost.
};

struct CacheEvent {
    uint64_t seq = 0;
    uint64_t prefix = 0;
    bool stored = false; // Else evicted.
    MonotonicTime at;
};

// An engine's cache of prompt prefixes, with the late and gappy events that it publishes. Not thread-safe.
class PrefixCache {
public:
    explicit PrefixCache(PrefixCacheSettings);

    // Stores the prompt's prefixes; tells how many of its first bytes had been there.
    size_t use(std::string_view prompt, MonotonicTime now);
    double used() const;

    uint64_t firstEvent() const;
    uint64_t nextEvent(MonotonicTime now) const;
    std::vector<CacheEvent> eventsFrom(uint64_t seq, MonotonicTime now) const;

private:
    struct Entry {
        uint64_t prefix = 0;
        uint64_t bytes = 0;
    };

    void store(uint64_t prefix, uint64_t bytes, MonotonicTime now);
    void evict(MonotonicTime now);
    void publish(uint64_t prefix, bool stored, MonotonicTime now);

    PrefixCacheSettings m_settings;
    Random m_random { 1 };
    std::list<Entry> m_entries; // Most recently used first.
    std::unordered_map<uint64_t, std::list<Entry>::iterator> m_byPrefix;
    uint64_t m_bytes = 0;
    std::deque<CacheEvent> m_events;
    uint64_t m_nextSeq = 1;
};

} // namespace Kumquatpick
