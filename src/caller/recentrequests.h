#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Kumquatpick {

class RequestTrace;

// The latest requests of this node, for /v1/explain. Drops the oldest above its limit. Thread-safe.
class RecentRequests {
public:
    explicit RecentRequests(size_t limit);

    void add(std::shared_ptr<const RequestTrace>);
    // Returns nullptr if the request was not served by this node or was dropped.
    std::shared_ptr<const RequestTrace> find(std::string_view requestId) const;

private:
    size_t m_limit;
    mutable std::mutex m_mutex;
    std::deque<std::shared_ptr<const RequestTrace>> m_order; // All requests, oldest first.
    // The keys refer to ids in the objects that m_order holds.
    std::unordered_map<std::string_view, std::shared_ptr<const RequestTrace>> m_byId;
};

} // namespace Kumquatpick
