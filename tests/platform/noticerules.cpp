#include "platform/noticerules.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>

namespace Kumquatpick {

namespace {

    using namespace std::chrono_literals;
    using Time = std::chrono::steady_clock::time_point;

    constexpr auto limitSpan = 4s;
    constexpr auto timeToLearn = 3s;
    constexpr auto onTheWay = 500ms;
    constexpr auto drain = 2s;
    constexpr size_t mostWithin = 2;

    std::string_view nodeOf(const StandinHost::Arrival& arrival)
    {
        return std::string_view(arrival.from).substr(0, arrival.from.find('/'));
    }

}

std::vector<std::string> overLimits(std::span<const StandinHost::Arrival> arrivals)
{
    std::vector<std::string> broken;
    std::map<std::string_view, Time> toldAt;
    std::deque<Time> inSpan;
    Time namedAt {};
    for (const auto& arrival : arrivals) {
        if (arrival.namedLimit < 0) {
            toldAt.clear();
            inSpan.clear();
            continue;
        }
        if (toldAt.empty())
            namedAt = arrival.at;
        Time told = toldAt.try_emplace(nodeOf(arrival), arrival.at).first->second;
        if (arrival.at < told + onTheWay)
            continue;
        inSpan.push_back(arrival.at);
        while (arrival.at - inSpan.front() >= limitSpan)
            inSpan.pop_front();
        auto allowed = static_cast<size_t>(1.5 * arrival.namedLimit * 4 + 5);
        if (arrival.at > namedAt + timeToLearn && inSpan.size() > allowed)
            broken.push_back(fmt::format(
                "{} requests in 4 s at a limit of {}, allowed {}", inSpan.size(), arrival.namedLimit, allowed));
    }
    return broken;
}

std::vector<std::string> withinBackoffs(std::span<const StandinHost::Arrival> arrivals)
{
    std::vector<std::string> broken;
    for (const auto& asking : arrivals) {
        if (asking.backoffAsked == 0)
            continue;
        Time end = asking.at + std::chrono::seconds(asking.backoffAsked);
        auto count = static_cast<size_t>(std::ranges::count_if(arrivals, [&](const auto& each) {
            return nodeOf(each) == nodeOf(asking) && each.at > asking.at + onTheWay && each.at < end;
        }));
        if (count > mostWithin)
            broken.push_back(
                fmt::format("{} requests by {} in a backoff of {} s", count, asking.from, asking.backoffAsked));
    }
    return broken;
}

std::vector<std::string> afterDraining(std::span<const StandinHost::Arrival> arrivals)
{
    std::vector<std::string> broken;
    std::map<std::string_view, Time> toldAt;
    for (const auto& arrival : arrivals) {
        if (!arrival.saidDraining)
            continue;
        Time told = toldAt.try_emplace(nodeOf(arrival), arrival.at).first->second;
        if (arrival.at > told + drain)
            broken.push_back(
                fmt::format("a request by {} over 2 s after the server announced its drain", arrival.from));
    }
    return broken;
}

} // namespace Kumquatpick
