#pragma once

#include "base/clock.h"
#include "fleet/changelog.h"
#include "fleet/nodestate.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The newest known state of each node, and which states changed since a version of this table. Merging is commutative
// and idempotent, so states may arrive late, more than once and in any order. Not thread-safe; does no I/O.
class NodeTable {
public:
    // Nodes are grouped into buckets by a hash of the address. Two tables that were not exchanged before compare the
    // hashes of their buckets, and exchange only those that differ.
    static constexpr size_t buckets = 32;
    using BucketHashes = std::array<uint32_t, buckets>;

    struct Entry {
        NodeState state;
        uint64_t version = 0; // Of this table, when the state last changed.
        std::string source; // Address of the node that reported the state.
        MonotonicTime changedAt {};
    };
    struct Changes {
        std::vector<NodeState> nodes;
        uint64_t through = 0; // All changes up to this version are included.
        bool hasMore = false;
    };

    explicit NodeTable(NodeState self);

    const NodeState& self() const { return m_self; }
    // Publishes a change of this node's own state; does nothing if it is unchanged.
    struct SelfReport {
        bool isReady = false;
        bool isStopping = false;
        std::vector<std::string> cutOffServices;
        std::string monitor;
    };
    void updateSelf(SelfReport);
    // Returns whether the state was new. A report of this node as silent, or as another incarnation, is refuted.
    bool merge(const NodeState&, std::string_view source, MonotonicTime now);
    void markSilent(std::string_view address, MonotonicTime now);
    // Removes nodes that have been silent for so long that no other node still reports them as alive.
    void expire(MonotonicTime now);

    const Entry* find(std::string_view address) const;
    // Without this node itself.
    const std::map<std::string, Entry, std::less<>>& others() const { return m_entries; }
    // Addresses of the nodes that were reported as silent.
    const std::set<std::string, std::less<>>& silent() const { return m_silent; }
    // Incremented by each change, also of this node itself.
    uint64_t version() const { return m_changes.version(); }
    // States of other nodes that changed after the version, oldest first, without those that the receiver reported.
    Changes changesSince(uint64_t version, std::string_view receiver, size_t most) const;
    // States of other nodes in the buckets whose hashes differ.
    Changes changesIn(const BucketHashes& receivers, std::string_view receiver) const;
    // Includes this node, so that equal tables have equal hashes.
    BucketHashes bucketHashes() const;

private:
    static bool isNewer(const NodeState&, const NodeState& known);
    void publishSelf(uint64_t sequence);
    void stamp(Entry&, std::string_view address);

    NodeState m_self;
    std::map<std::string, Entry, std::less<>> m_entries; // By address.
    ChangeLog<std::string> m_changes; // Of other nodes, by address; changes of this node only raise its version.
    std::set<std::string, std::less<>> m_silent;
};

} // namespace Kumquatpick
