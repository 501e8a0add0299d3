#include "caller/ssestream.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr size_t maxBufferedBytes = 64 * 1024;
    constexpr size_t tailBytes = 64;
    constexpr std::string_view doneEvent = "data: [DONE]";

    // Offset after the last blank line, or 0 if there is none.
    size_t endOfLastEvent(std::string_view text)
    {
        size_t end = 0;
        for (std::string_view blankLine : { "\n\n", "\r\n\r\n" }) {
            size_t at = text.rfind(blankLine);
            if (at != std::string_view::npos)
                end = std::max(end, at + blankLine.size());
        }
        return end;
    }

}

std::string SseStream::push(std::string_view piece)
{
    updateTail(piece);
    m_buffered += piece;
    size_t end = endOfLastEvent(m_buffered);
    if (end == 0 && m_buffered.size() > maxBufferedBytes) {
        m_midEvent = true;
        return takeRemaining();
    }
    if (end > 0)
        m_midEvent = false;
    std::string ready = m_buffered.substr(0, end);
    m_buffered.erase(0, end);
    return ready;
}

std::string SseStream::takeRemaining()
{
    std::string rest = std::move(m_buffered);
    m_buffered.clear();
    return rest;
}

void SseStream::updateTail(std::string_view piece)
{
    m_tail += piece.substr(piece.size() - std::min(piece.size(), tailBytes));
    if (m_tail.size() > tailBytes)
        m_tail.erase(0, m_tail.size() - tailBytes);
}

bool SseStream::isDone() const
{
    std::string_view tail = m_tail;
    while (tail.ends_with('\n') || tail.ends_with('\r'))
        tail.remove_suffix(1);
    if (!tail.ends_with(doneEvent))
        return false;
    tail.remove_suffix(doneEvent.size());
    return tail.empty() || tail.ends_with('\n');
}

} // namespace Kumquatpick
