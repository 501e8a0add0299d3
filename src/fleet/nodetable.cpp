#include "fleet/nodetable.h"

#include "base/hash.h"

#include <tuple>

namespace Kumquatpick {

namespace {

    // Far above the time in which a report reaches all nodes.
    constexpr std::chrono::seconds silentRetention { 60 };

    size_t bucketOf(std::string_view address) { return hash64(address) % NodeTable::buckets; }

    uint32_t hashOf(const NodeState& state)
    {
        return static_cast<uint32_t>(
            hash64(state.address, state.sequence * 2 + (state.isSilent ? 1 : 0) + state.incarnation * 31));
    }

}

NodeTable::NodeTable(NodeState self)
    : m_self(std::move(self))
{
    publishSelf(1);
}

void NodeTable::publishSelf(uint64_t sequence)
{
    m_self.sequence = sequence;
    m_self.isSilent = false;
    m_changes.skipVersion();
}

void NodeTable::updateSelf(SelfReport report)
{
    NodeState updated = m_self;
    updated.isReady = report.isReady;
    updated.isStopping = report.isStopping;
    updated.cutOffServices = std::move(report.cutOffServices);
    updated.monitor = std::move(report.monitor);
    if (updated == m_self)
        return;
    m_self = std::move(updated);
    publishSelf(m_self.sequence + 1);
}

// Of two incarnations with one sequence, all nodes must prefer the same one; the other one refutes it.
bool NodeTable::isNewer(const NodeState& state, const NodeState& known)
{
    return std::tuple(state.sequence, state.incarnation, state.isSilent)
        > std::tuple(known.sequence, known.incarnation, known.isSilent);
}

void NodeTable::stamp(Entry& entry, std::string_view address)
{
    m_changes.record(std::string(address), entry.version);
    if (entry.state.isSilent)
        m_silent.emplace(address);
    else
        m_silent.erase(std::string(address));
}

bool NodeTable::merge(const NodeState& state, std::string_view source, MonotonicTime now)
{
    if (state.address == m_self.address) {
        bool isRefutable = state.isSilent || state.incarnation != m_self.incarnation;
        if (state.sequence < m_self.sequence || !isRefutable)
            return false;
        publishSelf(state.sequence + 1);
        return true;
    }
    auto found = m_entries.find(state.address);
    if (found != m_entries.end() && !isNewer(state, found->second.state))
        return false;
    // Otherwise two nodes would keep reminding each other of a node that is gone.
    if (found == m_entries.end() && state.isSilent)
        return false;
    if (found == m_entries.end())
        found = m_entries.try_emplace(state.address).first;
    Entry& entry = found->second;
    entry.state = state;
    entry.source = source;
    entry.changedAt = now;
    stamp(entry, state.address);
    return true;
}

void NodeTable::markSilent(std::string_view address, MonotonicTime now)
{
    auto found = m_entries.find(address);
    if (found == m_entries.end() || found->second.state.isSilent)
        return;
    found->second.state.isSilent = true;
    found->second.source.clear();
    found->second.changedAt = now;
    stamp(found->second, address);
}

void NodeTable::expire(MonotonicTime now)
{
    std::erase_if(m_silent, [&](const std::string& address) {
        auto found = m_entries.find(address);
        bool isExpired = now - found->second.changedAt > silentRetention;
        if (isExpired) {
            m_changes.erase(found->second.version);
            m_entries.erase(found);
        }
        return isExpired;
    });
}

const NodeTable::Entry* NodeTable::find(std::string_view address) const
{
    auto found = m_entries.find(address);
    return found == m_entries.end() ? nullptr : &found->second;
}

NodeTable::Changes NodeTable::changesSince(uint64_t version, std::string_view receiver, size_t most) const
{
    Changes changes;
    auto visited = m_changes.visitSince(version, [&](const std::string& address) {
        const Entry& entry = m_entries.find(address)->second;
        if (entry.source == receiver || entry.state.address == receiver)
            return true;
        if (changes.nodes.size() == most)
            return false;
        changes.nodes.push_back(entry.state);
        return true;
    });
    changes.through = visited.through;
    changes.hasMore = visited.hasMore;
    return changes;
}

NodeTable::Changes NodeTable::changesIn(const BucketHashes& receivers, std::string_view receiver) const
{
    Changes changes;
    changes.through = m_changes.version();
    BucketHashes own = bucketHashes();
    for (const auto& [address, entry] : m_entries) {
        size_t bucket = bucketOf(address);
        if (own[bucket] != receivers[bucket] && address != receiver)
            changes.nodes.push_back(entry.state);
    }
    return changes;
}

NodeTable::BucketHashes NodeTable::bucketHashes() const
{
    BucketHashes hashes {};
    hashes[bucketOf(m_self.address)] ^= hashOf(m_self);
    for (const auto& [address, entry] : m_entries)
        hashes[bucketOf(address)] ^= hashOf(entry.state);
    return hashes;
}

} // namespace Kumquatpick
