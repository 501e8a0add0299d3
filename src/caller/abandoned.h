#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_set>

namespace Kumquatpick {

// Serials of this node's arrivals that ended without a permit and were never dispatched, even if a journal grants
// the permit later. Keeps the latest ones; for a dropped serial the caller is told "may have run". Thread-safe.
class AbandonedArrivals {
public:
    void add(uint64_t serial)
    {
        std::lock_guard lock(m_mutex);
        if (!m_serials.insert(serial).second)
            return;
        m_order.push_back(serial);
        if (m_order.size() <= limit)
            return;
        m_serials.erase(m_order.front());
        m_order.pop_front();
    }

    bool contains(uint64_t serial) const
    {
        std::lock_guard lock(m_mutex);
        return m_serials.contains(serial);
    }

private:
    static constexpr size_t limit = 65'536;

    mutable std::mutex m_mutex;
    std::unordered_set<uint64_t> m_serials;
    std::deque<uint64_t> m_order; // All serials, oldest first.
};

} // namespace Kumquatpick
