#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Structured logs on standard output, one JSON object per line. Lines are held in a bounded buffer until the reader
// takes them. Lines that do not fit are dropped, and their number is logged in the next line that fits. Never blocks.
class EventLog {
public:
    EventLog(int descriptor, std::string node);

    // Logs a decision or a state change; the fields hold its inputs and outcome.
    void write(std::string_view event, nlohmann::json fields);
    // Logs an event that occurs with every request; limited to a fixed number of lines per second for each event, so
    // that frequent events do not suppress others.
    void writeRoutine(std::string_view event, nlohmann::json fields);

    uint64_t dropped() const { return m_droppedTotal; }
    // Writes as much of the buffer as the reader accepts without blocking. Called periodically for the remainder.
    void flush();
    // Writes the whole buffer; waits for the reader, but no longer than this. For the end of the process.
    void drain(Milliseconds limit);

private:
    struct RoutineRate {
        MonotonicTime windowStart {};
        uint32_t lines = 0;
        uint64_t suppressed = 0;
    };

    void append(const std::string& line);

    int m_descriptor;
    std::string m_node;
    std::string m_buffer;
    uint64_t m_unreportedDrops = 0;
    uint64_t m_droppedTotal = 0;
    std::map<std::string, RoutineRate, std::less<>> m_routineRates; // By event.
};

} // namespace Kumquatpick
