#pragma once

#include "base/clock.h"
#include "fleet/hostorder.h"
#include "fleet/hosttable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// The controller's count of the orders that each host has accepted, from the host's reports and from the answers to
// later orders. A join carries this count, and a host refuses it if it has accepted any other order in the meantime,
// such as a delayed one or one from another controller. A wrong count costs one refused join and one report.
//
// Reports lag by about 200 ms; without the answers, each move of a host would wait that long. Not thread-safe.
class OrderCounts {
public:
    void beginOrder(const HostOrder&, const HostTable&);
    void endOrder(const HostOrder&, OrderResult, MonotonicTime now);
    void removeUnlisted(const HostTable&);

    // nullopt if a new report is needed, or if the host's current status is not from its own report.
    std::optional<uint64_t> currentCount(const HostTable&, std::string_view hostId) const;
    // Whether the host's latest report is newer than the end of the last order to it.
    bool hasReportSinceLastOrder(const HostTable&, std::string_view hostId) const;

private:
    struct Count {
        std::optional<uint64_t> beforeOrder;
        std::optional<bool> wasMember; // Of the order's replica; nullopt if unknown.
        std::optional<uint64_t> afterOrder;
        std::optional<uint64_t> joinedEpoch; // Set if the order was a join and was accepted.
        MonotonicTime endedAt {};
    };

    std::optional<bool> isMember(const HostOrder&, const HostTable&) const;

    std::map<std::string, Count, std::less<>> m_counts; // By host; only hosts that were sent an order.
};

} // namespace Kumquatpick
