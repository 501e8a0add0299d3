#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Cuts the bytes of a text/event-stream into whole events, so that a stream that breaks in the middle of one can go on
// elsewhere without a doubled or joined piece.
class EventStream {
public:
    // lastId: the last event that the caller has already; events up to it are left out.
    explicit EventStream(std::string_view lastId);

    // Takes what arrived and returns the whole events in it.
    std::string take(std::string_view bytes);
    // The start of an event whose end has not arrived.
    bool hasPartialEvent() const { return !m_partial.empty(); }
    void dropPartialEvent() { m_partial.clear(); }
    // Of the last event handed out; what a resumed stream goes on after.
    const std::string& lastId() const { return m_lastId; }
    uint64_t events() const { return m_events; }

private:
    std::string m_partial;
    std::string m_lastId;
    uint64_t m_events = 0;
};

} // namespace Kumquatpick
