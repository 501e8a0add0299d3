#include "caller/explain.h"

#include "caller/trail.h"

namespace Kumquatpick {

RecentRequests::RecentRequests(size_t limit)
    : m_limit(limit)
{
}

void RecentRequests::add(std::shared_ptr<const RequestTrail> trail)
{
    std::shared_ptr<const RequestTrail> dropped; // Destroyed after the lock is released.
    std::lock_guard lock(m_mutex);
    if (m_order.size() >= m_limit) {
        dropped = std::move(m_order.front());
        m_order.pop_front();
        m_byId.erase(dropped->requestId());
    }
    m_byId[trail->requestId()] = trail;
    m_order.push_back(std::move(trail));
}

std::shared_ptr<const RequestTrail> RecentRequests::find(std::string_view requestId) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_byId.find(requestId);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace Kumquatpick
