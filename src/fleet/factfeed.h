#pragma once

#include "fleet/changelog.h"
#include "fleet/hostfact.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Facts about backend servers that pass from node to node, each at most once over each link, until they are too old to
// be of use. Keeps the newest fact of each kind and host. Not thread-safe; does no I/O.
class FactFeed {
public:
    struct Changes {
        std::vector<HostFact> facts;
        uint64_t through = 0; // All facts up to this version are included.
    };

    // origin: name of this incarnation of this node.
    explicit FactFeed(std::string origin);

    // A fact that this node observed at this time.
    void publish(std::variant<StalledHead, ReportedStatus>, MonotonicTime observedAt);
    // Returns whether the fact was new and is recent enough to be used.
    bool merge(const HostFact&, std::string_view source, MonotonicTime now);
    void expire(MonotonicTime now);

    // Incremented by each new fact.
    uint64_t version() const { return m_changes.version(); }
    // Facts that were added after the version, oldest first, without those that the receiver reported.
    Changes changesSince(uint64_t version, std::string_view receiver, size_t most, MonotonicTime now) const;
    // Heads that any node reported as stalled within this time.
    std::vector<std::string> recentStalls(Milliseconds within, MonotonicTime now) const;
    // When the latest known stall of this head was observed.
    std::optional<MonotonicTime> stallObservedAt(std::string_view hostId) const;

    static Milliseconds lifetimeOf(const HostFact&);

private:
    struct Entry {
        HostFact fact;
        MonotonicTime observedAt {};
        std::string source; // Address of the node that reported it; empty for this node's own facts.
        uint64_t version = 0;
    };

    void add(std::string key, Entry);

    std::string m_origin;
    uint64_t m_published = 0;
    std::map<std::string, Entry, std::less<>> m_entries; // By kind and host.
    ChangeLog<std::string> m_changes;
};

} // namespace Kumquatpick
