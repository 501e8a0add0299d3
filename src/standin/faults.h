#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json_fwd.hpp>

namespace Kumquatpick {

// What a stand-in does wrong on purpose. A count is used up by one case each.
struct Faults {
    uint32_t delayMs = 0; // Before each request is looked at.
    uint32_t dropAnswerAfterActing = 0; // Answers to anything but GET lost after the action took effect.
    bool outage = false; // Connections are closed without an answer.
    double appendRate = 0; // Appends a second that the log takes; 0 is no limit.
    double slowFactor = 1; // Multiplies an engine's times.
    bool lieAboutLoad = false; // Reports an empty engine.
    uint32_t truncateStreams = 0; // Answers cut in the middle.
    uint32_t wrongRequestIds = 0; // Answers that carry another request's identity and text.
    bool stall = false; // Running requests make no progress.
    bool leaving = false; // The host reports that it leaves.

    // Absent fields keep their defaults. Throws nlohmann::json::exception.
    static Faults parse(const nlohmann::json&);
    nlohmann::json toJson() const;
};

// The faults switched on now; thread-safe.
class FaultSwitches {
public:
    Faults current() const;
    void replace(const Faults&);
    // Uses up one of a counted fault; says whether there was one left.
    bool take(uint32_t Faults::*count);

private:
    mutable std::mutex m_mutex;
    Faults m_faults;
};

} // namespace Kumquatpick
