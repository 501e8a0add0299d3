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

// How many orders each host has accepted, as far as the controller that gives them can tell: by the host's own report,
// and by the answers to orders since. A join that names this number is refused by a host that accepted any other order
// meanwhile, late or from another controller. A wrong number costs one refused join and a report, never more.
//
// Reports are some 200 ms behind; without the answers each move of a host would wait for that long. Not thread-safe.
class OrderCounts {
public:
    void sending(const HostOrder&, const HostTable&);
    void ended(const HostOrder&, OrderResult, MonotonicTime now);
    void forgetUnlisted(const HostTable&);

    // Nothing if only a report can tell, or if what counts as the host's state now is not its own word.
    std::optional<uint64_t> known(const HostTable&, std::string_view hostId) const;
    // Whether the host's latest report is from after the last order to it ended.
    bool isReported(const HostTable&, std::string_view hostId) const;

private:
    struct Count {
        std::optional<uint64_t> beforeOrder;
        std::optional<bool> wasMember; // Of the replica that the order is about; nothing if that is not certain.
        std::optional<uint64_t> afterOrder;
        std::optional<uint64_t> joinedEpoch; // If the order was a join that it accepted.
        MonotonicTime endedAt {};
    };

    std::optional<bool> isMember(const HostOrder&, const HostTable&) const;

    std::map<std::string, Count, std::less<>> m_counts; // By host; of those that got an order.
};

} // namespace Kumquatpick
