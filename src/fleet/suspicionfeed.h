#pragma once

#include "base/clock.h"
#include "fleet/changelog.h"
#include "suspicion/suspicion.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Kumquatpick {

// Which nodes counted how many server deaths under which suspects, passed from node to node by change. Counts only
// grow, so they may arrive late, more than once and in any order. Not thread-safe; does no I/O.
class SuspicionFeed {
public:
    // The deaths of some hundred servers with all that they were running.
    static constexpr size_t maxEntries = 8192;

    struct Changes {
        std::vector<SuspicionCount> counts;
        uint64_t through = 0; // All counts up to this version are included.
        bool hasMore = false;
    };

    // Returns whether the count was new. The source is the address of the node that reported it, empty for this node.
    bool merge(const SuspicionCount&, std::string_view source, MonotonicTime now);
    // The node at this address started again, and knows nothing of what it reported before.
    void forgetSource(std::string_view source);
    // Drops counts that were cleared or are too old to stop a request.
    void expire(MonotonicTime now);
    // Counts that changed after the version, oldest first, without those that the receiver reported.
    Changes changesSince(uint64_t version, std::string_view receiver, size_t most) const;

    size_t size() const { return m_entries.size(); }

private:
    using Key = std::pair<Suspect, uint64_t>; // With the observer.
    struct Entry {
        SuspicionCount count;
        std::string source;
        MonotonicTime changedAt {};
        uint64_t version = 0;
    };

    void evictOldest();

    std::map<Key, Entry> m_entries;
    ChangeLog<Key> m_changes;
};

} // namespace Kumquatpick
