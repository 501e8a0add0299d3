#include "caller/recentrequests.h"

#include "caller/requesttrace.h"

namespace Kumquatpick {

RecentRequests::RecentRequests(size_t limit)
    : m_limit(limit)
{
}

void RecentRequests::add(std::shared_ptr<const RequestTrace> trace)
{
    std::shared_ptr<const RequestTrace> dropped; // Destroyed after the lock is released.
    std::lock_guard lock(m_mutex);
    if (m_order.size() >= m_limit) {
        dropped = std::move(m_order.front());
        m_order.pop_front();
        m_byId.erase(dropped->requestId());
    }
    m_byId[trace->requestId()] = trace;
    m_order.push_back(std::move(trace));
}

std::shared_ptr<const RequestTrace> RecentRequests::find(std::string_view requestId) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_byId.find(requestId);
    return found == m_byId.end() ? nullptr : found->second;
}

} // namespace Kumquatpick
