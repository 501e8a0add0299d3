#include "gateway/eventstream.h"

#include <charconv>

namespace Kumquatpick {

namespace {

    constexpr std::string_view eventEnd = "\n\n";

    std::string_view eventId(std::string_view event)
    {
        constexpr std::string_view field = "id:";
        size_t at = event.starts_with(field) ? 0 : event.find("\nid:");
        if (at == std::string_view::npos)
            return {};
        at = event.find(field, at) + field.size();
        std::string_view value = event.substr(at, event.find('\n', at) - at);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (value.ends_with('\r'))
            value.remove_suffix(1);
        return value;
    }

    std::optional<int64_t> number(std::string_view text)
    {
        int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc {} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
    }

    // Numeric ids up to the last one are repeats; other ids are only compared with the last one.
    bool isRepeat(std::string_view id, std::string_view lastId)
    {
        auto value = number(id);
        auto last = number(lastId);
        return value && last ? *value <= *last : !id.empty() && id == lastId;
    }

}

EventStream::EventStream(std::string_view lastId)
    : m_lastId(lastId)
{
}

std::string EventStream::consume(std::string_view bytes)
{
    m_partial += bytes;
    std::string whole;
    size_t begin = 0;
    for (size_t end = m_partial.find(eventEnd); end != std::string::npos; end = m_partial.find(eventEnd, begin)) {
        std::string_view event = std::string_view(m_partial).substr(begin, end + eventEnd.size() - begin);
        begin = end + eventEnd.size();
        std::string_view id = eventId(event);
        if (isRepeat(id, m_lastId))
            continue;
        whole += event;
        ++m_events;
        if (!id.empty())
            m_lastId = id;
    }
    m_partial.erase(0, begin);
    return whole;
}

} // namespace Kumquatpick
