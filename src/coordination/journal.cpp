#include "coordination/journal.h"

#include <algorithm>
#include <utility>

namespace Kumquatpick {

std::optional<JournalEntry> Journal::find(std::string_view key) const
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return expand(found->first, found->second);
}

void Journal::keep(const JournalEntry& entry)
{
    Kept& kept = m_entries[entry.key];
    kept.issued = std::max(kept.issued, entry.issuedAt);
    if (std::pair(entry.voidedUpTo, entry.grantedAttempt) >= std::pair(kept.voidedUpTo, kept.grantedAttempt))
        replace(entry);
}

void Journal::replace(const JournalEntry& entry)
{
    Kept& kept = m_entries[entry.key];
    kept.issued = std::max(kept.issued, entry.issuedAt);
    kept.voidedUpTo = entry.voidedUpTo;
    kept.grantedAttempt = entry.grantedAttempt;
    kept.grantedTo = entry.grantedTo;
    kept.node = indexOf(entry.holderNode);
}

void Journal::forget(WallTime before)
{
    m_forgottenBefore = std::max(m_forgottenBefore, before);
    std::erase_if(m_entries, [&](const auto& entry) { return entry.second.issued < before; });
}

std::vector<CopyRequest> Journal::split(size_t entriesPerPart) const
{
    std::vector<CopyRequest> parts(1);
    for (const auto& [key, kept] : m_entries) {
        if (parts.back().entries.size() == entriesPerPart)
            parts.emplace_back();
        parts.back().entries.push_back(expand(key, kept));
    }
    for (size_t i = 0; i < parts.size(); i++) {
        parts[i].part = static_cast<uint32_t>(i);
        parts[i].parts = static_cast<uint32_t>(parts.size());
        parts[i].forgottenBefore = m_forgottenBefore;
    }
    return parts;
}

void Journal::take(const CopyRequest& part)
{
    m_forgottenBefore = std::max(m_forgottenBefore, part.forgottenBefore);
    for (const JournalEntry& entry : part.entries)
        keep(entry);
}

uint32_t Journal::indexOf(const NodeInfo& node)
{
    auto found = std::find(m_nodes.begin(), m_nodes.end(), node);
    if (found == m_nodes.end())
        found = m_nodes.insert(m_nodes.end(), node);
    return static_cast<uint32_t>(found - m_nodes.begin());
}

JournalEntry Journal::expand(const std::string& key, const Kept& kept) const
{
    JournalEntry entry;
    entry.key = key;
    entry.issuedAt = kept.issued;
    entry.voidedUpTo = kept.voidedUpTo;
    entry.grantedAttempt = kept.grantedAttempt;
    entry.grantedTo = kept.grantedTo;
    entry.holderNode = m_nodes[kept.node];
    return entry;
}

} // namespace Kumquatpick
