#include "standin/prefixcache.h"

#include "standin/expected.h"

namespace Kumquatpick {

namespace {

    constexpr size_t eventsKept = 4096;

} // namespace

PrefixCache::PrefixCache(PrefixCacheSettings settings)
    : m_settings(settings)
{
}

size_t PrefixCache::use(std::string_view prompt, MonotonicTime now)
{
    size_t cached = 0;
    size_t length = firstPrefixBytes;
    size_t before = 0;
    for (uint64_t prefix : promptPrefixes(prompt)) {
        auto found = m_byPrefix.find(prefix);
        if (found == m_byPrefix.end()) {
            store(prefix, length - before, now);
        } else {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            cached = length;
        }
        before = length;
        length *= 2;
    }
    return cached;
}

double PrefixCache::used() const
{
    if (m_settings.bytes == 0)
        return 0;
    return static_cast<double>(m_bytes) / static_cast<double>(m_settings.bytes);
}

uint64_t PrefixCache::firstEvent() const { return m_events.empty() ? m_nextSeq : m_events.front().seq; }

uint64_t PrefixCache::nextEvent(MonotonicTime now) const
{
    for (const CacheEvent& event : m_events) {
        if (event.at + m_settings.eventLag > now)
            return event.seq;
    }
    return m_nextSeq;
}

std::vector<CacheEvent> PrefixCache::eventsFrom(uint64_t seq, MonotonicTime now) const
{
    uint64_t next = nextEvent(now);
    std::vector<CacheEvent> events;
    for (const CacheEvent& event : m_events) {
        if (event.seq >= seq && event.seq < next)
            events.push_back(event);
    }
    return events;
}

void PrefixCache::store(uint64_t prefix, uint64_t bytes, MonotonicTime now)
{
    m_entries.push_front({ prefix, bytes });
    m_byPrefix[prefix] = m_entries.begin();
    m_bytes += bytes;
    publish(prefix, true, now);
    while (m_bytes > m_settings.bytes && m_entries.size() > 1)
        evict(now);
}

void PrefixCache::evict(MonotonicTime now)
{
    Entry last = m_entries.back();
    m_entries.pop_back();
    m_byPrefix.erase(last.prefix);
    m_bytes -= last.bytes;
    publish(last.prefix, false, now);
}

void PrefixCache::publish(uint64_t prefix, bool stored, MonotonicTime now)
{
    m_events.push_back({ m_nextSeq++, prefix, stored, now });
    bool gap = std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.eventGap;
    if (gap)
        m_events.clear();
    if (m_events.size() > eventsKept)
        m_events.pop_front();
}

} // namespace Kumquatpick
