#include "fleet/answertimes.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr size_t minAnswers = 8;

}

void AnswerTimes::record(std::string_view route, MonotonicTime::duration duration)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end())
        found = m_routes.emplace(route, Latest {}).first;
    Latest& latest = found->second;
    latest.durations[latest.recorded++ % kept] = duration;
}

std::optional<MonotonicTime::duration> AnswerTimes::usualDuration(std::string_view route) const
{
    auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.recorded < minAnswers)
        return std::nullopt;
    const Latest& latest = found->second;
    auto end = latest.durations.begin() + static_cast<std::ptrdiff_t>(std::min(latest.recorded, kept));
    return *std::max_element(latest.durations.begin(), end);
}

} // namespace Kumquatpick
