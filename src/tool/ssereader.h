#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Takes server-sent events apart as their bytes arrive.
class SseReader {
public:
    using OnEvent = std::function<void(std::string_view event, std::string_view data)>;

    explicit SseReader(OnEvent);
    void feed(std::string_view bytes);

private:
    void line(std::string_view);

    OnEvent m_onEvent;
    std::string m_partialLine;
    std::string m_event;
    std::string m_data;
};

} // namespace Kumquatpick
