#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Kumquatpick {

// The tasks of an event loop between waits.
enum class LoopPart : uint8_t {
    Peers, // Messages of other nodes, sent and received.
    List, // Entries of the list of backend servers, including their delivery to other nodes.
    Targets, // Recomputation of the targets of calls.
    Planning,
    Status, // Status requests to hosts and their responses.
    Upkeep, // Other periodic tasks.
};

inline constexpr std::array loopPartNames { "peers", "list", "targets", "planning", "status", "upkeep" };

// Time spent by part. Calls of callers are not included, because they wait in between.
class LoopTime {
public:
    // Measures the time until the end of the scope, which must not suspend.
    class Section {
    public:
        Section(LoopTime& times, LoopPart part)
            : m_spent(times.m_spent[static_cast<size_t>(part)])
            , m_begun(monotonicNow())
        {
        }
        ~Section() { m_spent += monotonicNow() - m_begun; }
        Section(const Section&) = delete;
        Section& operator=(const Section&) = delete;

    private:
        MonotonicTime::duration& m_spent;
        MonotonicTime m_begun;
    };

    MonotonicTime::duration spent(LoopPart part) const { return m_spent[static_cast<size_t>(part)]; }

private:
    std::array<MonotonicTime::duration, loopPartNames.size()> m_spent {};
};

} // namespace Kumquatpick
