#include "fleet/backoffs.h"

#include <algorithm>

namespace Kumquatpick {

void Backoffs::recordBackoff(std::string_view hostId, Milliseconds backoff, MonotonicTime now)
{
    auto found = m_ends.find(hostId);
    if (found == m_ends.end())
        found = m_ends.try_emplace(std::string(hostId)).first;
    found->second = std::max(found->second, now + backoff);
}

MonotonicTime Backoffs::endOf(std::string_view hostId) const
{
    auto found = m_ends.find(hostId);
    return found == m_ends.end() ? MonotonicTime {} : found->second;
}

void Backoffs::expire(MonotonicTime now)
{
    std::erase_if(m_ends, [now](const auto& entry) { return entry.second <= now; });
}

} // namespace Kumquatpick
