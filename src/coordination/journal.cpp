#include "coordination/journal.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

std::optional<JournalEntry> Journal::find(std::string_view key) const
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return toJournalEntry(found->first, found->second);
}

void Journal::keepLatest(const JournalEntry& entry)
{
    StoredEntry& stored = m_entries[entry.key];
    stored.issued = std::max(stored.issued, entry.issuedAt);
    if (std::pair(entry.voidedUpTo, entry.grantedAttempt) >= std::pair(stored.voidedUpTo, stored.grantedAttempt))
        replace(entry);
}

void Journal::replace(const JournalEntry& entry)
{
    StoredEntry& stored = m_entries[entry.key];
    stored.issued = std::max(stored.issued, entry.issuedAt);
    stored.voidedUpTo = entry.voidedUpTo;
    stored.grantedAttempt = entry.grantedAttempt;
    stored.grantedTo = entry.grantedTo;
    stored.node = nodeIndex(entry.holderNode);
}

void Journal::forget(WallTime before)
{
    m_forgottenBefore = std::max(m_forgottenBefore, before);
    std::erase_if(m_entries, [&](const auto& entry) { return entry.second.issued < before; });
}

std::vector<CopyRequest> Journal::split(size_t entriesPerPart) const
{
    std::vector<CopyRequest> parts(1);
    for (const auto& [key, stored] : m_entries) {
        if (parts.back().entries.size() == entriesPerPart)
            parts.emplace_back();
        parts.back().entries.push_back(toJournalEntry(key, stored));
    }
    for (size_t i = 0; i < parts.size(); i++) {
        parts[i].part = static_cast<uint32_t>(i);
        parts[i].parts = static_cast<uint32_t>(parts.size());
        parts[i].forgottenBefore = m_forgottenBefore;
    }
    return parts;
}

void Journal::merge(const CopyRequest& part)
{
    m_forgottenBefore = std::max(m_forgottenBefore, part.forgottenBefore);
    for (const JournalEntry& entry : part.entries)
        keepLatest(entry);
}

uint32_t Journal::nodeIndex(const NodeInfo& node)
{
    auto found = std::find(m_nodes.begin(), m_nodes.end(), node);
    if (found == m_nodes.end())
        found = m_nodes.insert(m_nodes.end(), node);
    return static_cast<uint32_t>(found - m_nodes.begin());
}

JournalEntry Journal::toJournalEntry(const std::string& key, const StoredEntry& stored) const
{
    JournalEntry entry;
    entry.key = key;
    entry.issuedAt = stored.issued;
    entry.voidedUpTo = stored.voidedUpTo;
    entry.grantedAttempt = stored.grantedAttempt;
    entry.grantedTo = stored.grantedTo;
    entry.holderNode = m_nodes[stored.node];
    return entry;
}

} // namespace Kumquatpick
