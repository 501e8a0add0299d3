#include "platform/retryrules.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace Kumquatpick {

namespace {

    using Time = std::chrono::steady_clock::time_point;

    ptrdiff_t countIn(const std::vector<Time>& times, Time begin, Time end)
    {
        return std::ranges::lower_bound(times, end) - std::ranges::lower_bound(times, begin);
    }

}

std::vector<std::string> retryViolations(std::span<const FakeHost::Arrival> arrivals, const RetryLimits& limits)
{
    std::vector<FakeHost::Arrival> ordered(arrivals.begin(), arrivals.end());
    std::ranges::sort(ordered, {}, &FakeHost::Arrival::at);
    std::set<std::string> seen;
    std::vector<Time> calls;
    std::vector<Time> retries;
    for (const FakeHost::Arrival& arrival : ordered)
        (seen.insert(arrival.callId).second ? calls : retries).push_back(arrival.at);

    std::string worst;
    double worstExcess = 0;
    for (Time begin : retries) {
        auto counted
            = std::max({ countIn(calls, begin, begin + limits.window), countIn(calls, begin - limits.window, begin),
                countIn(calls, begin - limits.window / 2, begin + limits.window / 2) });
        double allowed = limits.ratio * static_cast<double>(counted) + limits.allowance;
        auto found = static_cast<double>(countIn(retries, begin, begin + limits.window));
        if (found - allowed <= worstExcess)
            continue;
        worstExcess = found - allowed;
        worst = fmt::format(
            "{} retries in {} s for {} calls, {:.1f} are allowed", found, limits.window.count(), counted, allowed);
    }
    return worst.empty() ? std::vector<std::string>() : std::vector { worst };
}

} // namespace Kumquatpick
