#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Kumquatpick {

// What an event loop spends its time on, besides waiting.
enum class LoopPart : uint8_t {
    Peers, // Digests, both ways.
    List, // Entries of the list of backend servers, and what they are handed on to.
    Targets, // Where calls may go, made anew.
    Planning,
    Status, // Hosts' own reports, asked and read.
    Upkeep, // The rest of what is done some times a second.
};

inline constexpr std::array loopPartNames { "peers", "list", "targets", "planning", "status", "upkeep" };

// Time by part; calls of callers are not in it, as they wait in between.
class LoopTime {
public:
    // Counts from here to the end of the scope, which must not suspend.
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
