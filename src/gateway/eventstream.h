#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Splits the bytes of a text/event-stream into complete events, so that a stream that breaks within an event can
// continue on another server without duplicated or merged fragments.
class EventStream {
public:
    // lastId: the last event that the caller has received; events up to it are skipped.
    explicit EventStream(std::string_view lastId);

    // Appends received bytes and returns the complete events.
    std::string consume(std::string_view bytes);
    // True if the start of an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partial.empty(); }
    size_t partialBytes() const { return m_partial.size(); }
    void dropPartialEvent() { m_partial.clear(); }
    // Id of the last event returned, after which a resumed stream continues.
    const std::string& lastId() const { return m_lastId; }
    uint64_t events() const { return m_events; }

private:
    std::string m_partial;
    std::string m_lastId;
    uint64_t m_events = 0;
};

} // namespace Kumquatpick
