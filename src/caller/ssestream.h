#pragma once

#include <string>
#include <string_view>

namespace Kumquatpick {

// Buffers an event stream and releases it only at the ends of events, so that a stream that breaks off leaves the
// caller no partial event. Also detects whether the stream ended with [DONE].
class SseStream {
public:
    // Adds received bytes; returns the bytes that may be sent to the caller now.
    std::string push(std::string_view piece);
    // Returns the bytes still buffered at the end of the stream.
    std::string takeRemaining();
    // Whether the last event was `data: [DONE]`.
    bool isDone() const;
    // Whether part of an event was released without its end because it exceeded the buffer's limit.
    bool isMidEvent() const { return m_midEvent; }

private:
    void updateTail(std::string_view);

    std::string m_buffered;
    std::string m_tail; // The last bytes of the stream so far.
    bool m_midEvent = false;
};

} // namespace Kumquatpick
