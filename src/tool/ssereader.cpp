#include "tool/ssereader.h"

#include <utility>

namespace Kumquatpick {

SseReader::SseReader(OnEvent onEvent)
    : m_onEvent(std::move(onEvent))
{
}

void SseReader::feed(std::string_view bytes)
{
    m_partialLine += bytes;
    size_t begin = 0;
    for (size_t end = m_partialLine.find('\n'); end != std::string::npos; end = m_partialLine.find('\n', begin)) {
        std::string_view whole = std::string_view(m_partialLine).substr(begin, end - begin);
        if (whole.ends_with('\r'))
            whole.remove_suffix(1);
        line(whole);
        begin = end + 1;
    }
    m_partialLine.erase(0, begin);
}

void SseReader::line(std::string_view line)
{
    auto valueOf = [&](std::string_view field) {
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    };
    if (line.empty()) {
        if (!m_data.empty())
            m_onEvent(m_event, m_data);
        m_event.clear();
        m_data.clear();
    } else if (line.starts_with("event:")) {
        m_event = valueOf("event:");
    } else if (line.starts_with("data:")) {
        if (!m_data.empty())
            m_data += '\n';
        m_data += valueOf("data:");
    }
}

} // namespace Kumquatpick
