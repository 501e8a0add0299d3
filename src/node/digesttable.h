#pragma once

#include "node/digest.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace Kumquatpick {

// The latest known digest of each node. Merging is commutative and idempotent, so digests may arrive late, more than
// once and in any order:
// - For an incarnation, the highest sequence wins. Usage is taken from the highest sequence that carried usage.
// - For a node name, the highest incarnation wins.
// - An incarnation that was forgotten as dead returns only with a higher sequence than it had when forgotten.
class DigestTable {
public:
    // Ordered by incarnation, so that two nodes with the same members list them in the same order.
    using Zone = std::map<uint64_t, NodeDigest>;

    explicit DigestTable(const NodeInfo& self);

    // Returns whether the digest contained anything new. Digests of this node's own incarnation are ignored.
    bool merge(const NodeDigest&);
    void setOwn(NodeDigest);
    // Removes a node. A later digest with a higher sequence brings it back, unless it was removed for good.
    void forget(uint64_t incarnation, bool permanently);

    const NodeInfo& self() const { return m_self; }
    const NodeDigest& own() const { return m_zones.at(m_self.zone).at(m_self.id.incarnation); }
    const NodeDigest* find(uint64_t incarnation) const;
    const std::map<std::string, Zone>& zones() const { return m_zones; }
    size_t size() const { return m_zoneOf.size(); }
    // Whether the incarnation was forgotten at this sequence or a higher one, or was replaced.
    bool isObsolete(const IncarnationSequence&) const;
    // The highest known incarnation of a node name; 0 if there is none.
    uint64_t newestIncarnation(const std::string& name) const;
    // Whether a digest of a newer incarnation with this node's name was received, so that this process is replaced.
    bool isReplaced() const { return m_replaced; }

    void forEach(const std::function<void(const NodeDigest&)>&) const;

private:
    void insert(const NodeDigest&);
    void erase(uint64_t incarnation);
    void recordForgotten(const std::string& name, uint64_t incarnation, uint64_t sequence);

    struct ForgottenIncarnation {
        std::string name;
        uint64_t incarnation = 0;
    };

    NodeInfo m_self;
    std::map<std::string, Zone> m_zones;
    std::unordered_map<uint64_t, std::string> m_zoneOf;
    std::unordered_map<std::string, uint64_t> m_newestByName; // Highest known incarnation by node name.
    std::unordered_map<uint64_t, uint64_t> m_rejectedUpTo; // Highest rejected sequence by incarnation.
    std::deque<ForgottenIncarnation> m_forgottenOrder;
    bool m_replaced = false;
};

} // namespace Kumquatpick
