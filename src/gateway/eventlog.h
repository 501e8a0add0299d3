#pragma once

#include "base/clock.h"

#include <cstdint>
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
    // Logs an event that occurs with every request; limited to a fixed number of lines per second.
    void writeRoutine(std::string_view event, nlohmann::json fields);

    uint64_t dropped() const { return m_droppedTotal; }
    // Writes as much of the buffer as the reader accepts without blocking. Called periodically for the remainder.
    void flush();

private:
    void append(const std::string& line);

    int m_descriptor;
    std::string m_node;
    std::string m_buffer;
    uint64_t m_unreportedDrops = 0;
    uint64_t m_droppedTotal = 0;
    MonotonicTime m_rateWindowStart {};
    uint32_t m_routineLines = 0;
    uint64_t m_suppressedLines = 0;
};

} // namespace Kumquatpick
