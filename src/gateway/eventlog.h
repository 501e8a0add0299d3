#pragma once

#include "base/clock.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Structured logs on standard output: one JSON object a line. Lines wait in a bounded buffer and are written when the
// reader takes them; what does not fit is dropped and counted, and the count is the next line that fits. Never blocks.
class EventLog {
public:
    EventLog(int descriptor, std::string node);

    // A decision or a change of belief. Fields hold its inputs and outcome.
    void write(std::string_view event, nlohmann::json fields);
    // The same for what happens with every request: beyond a fixed number of lines a second it is thinned.
    void writeRoutine(std::string_view event, nlohmann::json fields);

    uint64_t dropped() const { return m_droppedTotal; }
    // Writes what is buffered, as far as the reader takes it at once. Called now and then for what was left over.
    void flush();

private:
    void append(const std::string& line);

    int m_descriptor;
    std::string m_node;
    std::string m_waiting;
    uint64_t m_droppedSinceLine = 0;
    uint64_t m_droppedTotal = 0;
    MonotonicTime m_second {};
    uint32_t m_routineLines = 0;
    uint64_t m_thinned = 0;
};

} // namespace Kumquatpick
