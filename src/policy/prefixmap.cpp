#include "policy/prefixmap.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // Entries stay valid over one gap, as most prefixes are still cached after it, but not over two.
    constexpr uint32_t gapsSurvived = 1;

    double shareOf(size_t matched, size_t all)
    {
        return std::exp2(static_cast<double>(matched) - static_cast<double>(all));
    }

} // namespace

uint32_t PrefixMap::indexOf(std::string_view replica)
{
    auto [entry, fresh] = m_indexes.try_emplace(std::string(replica), static_cast<uint32_t>(m_names.size()));
    if (fresh) {
        m_names.emplace_back(replica);
        m_doubts.push_back(0);
    }
    return entry->second;
}

bool PrefixMap::believed(const Holder& holder) const
{
    return m_doubts[holder.replica] - holder.doubts <= gapsSurvived;
}

void PrefixMap::stored(uint64_t prefix, std::string_view replica)
{
    uint32_t index = indexOf(replica);
    auto [found, fresh] = m_entries.try_emplace(prefix);
    Entry& entry = found->second;
    if (fresh)
        entry.place = m_byUse.insert(m_byUse.end(), prefix);
    else
        m_byUse.splice(m_byUse.end(), m_byUse, entry.place);
    std::erase_if(entry.holders, [&](const Holder& holder) { return holder.replica == index || !believed(holder); });
    if (entry.holders.size() == mostHolders)
        entry.holders.erase(entry.holders.begin());
    entry.holders.push_back({ index, m_doubts[index] });
    if (m_entries.size() > mostPrefixes) {
        m_entries.erase(m_byUse.front());
        m_byUse.pop_front();
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
    m_byUse.erase(found->second.place);
    m_entries.erase(found);
}

void PrefixMap::doubt(std::string_view replica) { ++m_doubts[indexOf(replica)]; }

PrefixMap::Match PrefixMap::longest(std::span<const uint64_t> prefixes)
{
    Match match;
    for (size_t matched = prefixes.size(); matched > 0; --matched) {
        auto found = m_entries.find(prefixes[matched - 1]);
        if (found == m_entries.end())
            continue;
        for (const Holder& holder : found->second.holders) {
            if (believed(holder))
                match.holders.push_back(m_names[holder.replica]);
        }
        if (match.holders.empty())
            continue;
        match.hitShare = shareOf(matched, prefixes.size());
        m_byUse.splice(m_byUse.end(), m_byUse, found->second.place);
        break;
    }
    return match;
}

double PrefixMap::hitShare(std::span<const uint64_t> prefixes, std::string_view replica) const
{
    auto known = m_indexes.find(std::string(replica));
    if (known == m_indexes.end())
        return 0;
    for (size_t matched = prefixes.size(); matched > 0; --matched) {
        auto found = m_entries.find(prefixes[matched - 1]);
        if (found == m_entries.end())
            continue;
        bool holds = std::any_of(found->second.holders.begin(), found->second.holders.end(),
            [&](const Holder& holder) { return holder.replica == known->second && believed(holder); });
        if (holds)
            return shareOf(matched, prefixes.size());
    }
    return 0;
}

} // namespace Kumquatpick
