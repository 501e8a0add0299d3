#include "policy/prefixmap.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // Entries stay valid over one gap, as most prefixes are still cached after it, but not over two.
    constexpr uint32_t toleratedGaps = 1;

    double prefixShare(size_t matched, size_t all)
    {
        return std::exp2(static_cast<double>(matched) - static_cast<double>(all));
    }

} // namespace

uint32_t PrefixMap::indexOf(std::string_view replica)
{
    auto [entry, inserted] = m_indexes.try_emplace(std::string(replica), static_cast<uint32_t>(m_names.size()));
    if (inserted) {
        m_names.emplace_back(replica);
        m_gapCounts.push_back(0);
    }
    return entry->second;
}

bool PrefixMap::isValid(const Holder& holder) const
{
    return m_gapCounts[holder.replica] - holder.gapCount <= toleratedGaps;
}

void PrefixMap::stored(uint64_t prefix, std::string_view replica)
{
    uint32_t index = indexOf(replica);
    auto [found, inserted] = m_entries.try_emplace(prefix);
    Entry& entry = found->second;
    if (inserted)
        entry.lruPosition = m_lruOrder.insert(m_lruOrder.end(), prefix);
    else
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, entry.lruPosition);
    std::erase_if(entry.holders, [&](const Holder& holder) { return holder.replica == index || !isValid(holder); });
    if (entry.holders.size() == maxHolders)
        entry.holders.erase(entry.holders.begin());
    entry.holders.push_back({ index, m_gapCounts[index] });
    if (m_entries.size() > maxPrefixes) {
        m_entries.erase(m_lruOrder.front());
        m_lruOrder.pop_front();
    }
}

void PrefixMap::dropped(uint64_t prefix, std::string_view replica)
{
    auto known = m_indexes.find(std::string(replica));
    auto found = m_entries.find(prefix);
    if (known == m_indexes.end() || found == m_entries.end())
        return;
    std::erase_if(found->second.holders, [&](const Holder& holder) { return holder.replica == known->second; });
    if (!found->second.holders.empty())
        return;
    m_lruOrder.erase(found->second.lruPosition);
    m_entries.erase(found);
}

void PrefixMap::eventsLost(std::string_view replica) { ++m_gapCounts[indexOf(replica)]; }

PrefixMap::Match PrefixMap::longestMatch(std::span<const uint64_t> prefixes)
{
    Match match;
    for (size_t matched = prefixes.size(); matched > 0; --matched) {
        auto found = m_entries.find(prefixes[matched - 1]);
        if (found == m_entries.end())
            continue;
        for (const Holder& holder : found->second.holders) {
            if (isValid(holder))
                match.holders.push_back(m_names[holder.replica]);
        }
        if (match.holders.empty())
            continue;
        match.hitRatio = prefixShare(matched, prefixes.size());
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second.lruPosition);
        break;
    }
    return match;
}

double PrefixMap::hitRatio(std::span<const uint64_t> prefixes, std::string_view replica) const
{
    auto known = m_indexes.find(std::string(replica));
    if (known == m_indexes.end())
        return 0;
    for (size_t matched = prefixes.size(); matched > 0; --matched) {
        auto found = m_entries.find(prefixes[matched - 1]);
        if (found == m_entries.end())
            continue;
        bool holds = std::any_of(found->second.holders.begin(), found->second.holders.end(),
            [&](const Holder& holder) { return holder.replica == known->second && isValid(holder); });
        if (holds)
            return prefixShare(matched, prefixes.size());
    }
    return 0;
}

} // namespace Kumquatpick
