#pragma once

#include "coordination/hostview.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Kumquatpick {

// A backend host as it appears in the platform's list.
struct HostEntry {
    std::string host;
    std::string zone;
    std::string domain;
    std::string service;
    uint64_t incarnation = 0;
    bool leaving = false;
};

// Status that an engine returns to a probe.
struct HostAnswer {
    uint64_t incarnation = 0;
    bool leaving = false;
    EnginePhase phase = EnginePhase::Idle;
    Offset claim = 0;
    uint32_t requests = 0;
};

// Combines the platform's list, the probe results and the orders sent into one view per host, with the times of the
// latest changes. Not thread-safe.
class HostRegistry {
public:
    void setListed(std::span<const HostEntry>, MonotonicTime now);
    // askedAt is the time at which the probe was sent; later changes on the host are not in the answer.
    void recordAnswer(std::string_view host, const HostAnswer&, MonotonicTime askedAt, MonotonicTime now);
    void recordNoAnswer(std::string_view host, MonotonicTime now);
    // Must be called before an order is sent, so that the order is on record even if the sender is interrupted right
    // after sending.
    void recordOrder(std::string_view host, Offset claim, MonotonicTime now);

    const std::map<std::string, HostView, std::less<>>& views() const { return m_views; }
    // The time of the first list; there is no host data from before.
    MonotonicTime hostDataSince() const { return m_hostDataSince; }

private:
    HostView& view(std::string_view host, MonotonicTime now);
    void setAnswering(HostView&, bool, MonotonicTime now);
    void removeLongUnlisted(MonotonicTime now);

    std::map<std::string, HostView, std::less<>> m_views;
    MonotonicTime m_hostDataSince = MonotonicTime::max();
};

} // namespace Kumquatpick
