#include "fleet/firstevents.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Kumquatpick {

namespace {

    // As a transport chooses the time after which it sends again: the mean and several deviations.
    constexpr double waitGain = 0.1;
    constexpr double deviations = 4;
    // Some passes of a batch, and an exchange or two between nodes, which tells of other calls' events there.
    constexpr Milliseconds shortestLimit { 500 };
    // Callers give up two seconds after their last event.
    constexpr Milliseconds longestLimit { 1500 };
    constexpr Milliseconds evidenceLasts { 2000 };
    constexpr Milliseconds toldFor { 1000 };
    constexpr Milliseconds arrivalKept { 10'000 };

    template <typename Times> void keepLatest(Times& times, std::string_view hostId, MonotonicTime at)
    {
        auto found = times.find(hostId);
        if (found == times.end())
            times.emplace(hostId, at);
        else
            found->second = std::max(found->second, at);
    }

}

Milliseconds FirstEvents::longestUsual(std::string_view kind) const
{
    auto usual = m_usual.find(kind);
    if (usual == m_usual.end())
        return longestLimit;
    double limit = usual->second.meanMs + deviations * usual->second.deviationMs;
    return std::clamp(Milliseconds(std::llround(limit)), shortestLimit, longestLimit);
}

void FirstEvents::sent(uint64_t call, std::string_view hostId, std::string_view kind, MonotonicTime now)
{
    m_waiting.insert_or_assign(call, Waiting { std::string(hostId), std::string(kind), now });
}

void FirstEvents::began(uint64_t call, MonotonicTime now)
{
    auto found = m_waiting.find(call);
    if (found == m_waiting.end())
        return;
    double wait = std::chrono::duration<double, std::milli>(now - found->second.since).count();
    auto [usual, isFirst] = m_usual.try_emplace(found->second.kind, UsualWait { wait, wait / 2 });
    if (!isFirst) {
        UsualWait& learned = usual->second;
        learned.deviationMs += waitGain * (std::abs(wait - learned.meanMs) - learned.deviationMs);
        learned.meanMs += waitGain * (wait - learned.meanMs);
    }
    m_waiting.erase(found);
}

void FirstEvents::ended(uint64_t call, bool gaveUp, MonotonicTime now)
{
    auto found = m_waiting.find(call);
    if (found == m_waiting.end())
        return;
    bool isEvidence = gaveUp && now - found->second.since > shortestLimit;
    if (isEvidence)
        found->second.gaveUp = true;
    else
        m_waiting.erase(found);
}

void FirstEvents::arrived(std::string_view hostId, MonotonicTime at)
{
    keepLatest(m_ownArrivals, hostId, at);
    keepLatest(m_arrivals, hostId, at);
}

void FirstEvents::toldArrived(std::string_view hostId, MonotonicTime at) { keepLatest(m_arrivals, hostId, at); }

void FirstEvents::excusePause(MonotonicTime::duration pause)
{
    for (auto& [call, waiting] : m_waiting)
        waiting.since += pause;
}

std::vector<FirstEvents::Silence> FirstEvents::silences(MonotonicTime now)
{
    for (Arrivals* arrivals : { &m_ownArrivals, &m_arrivals })
        std::erase_if(*arrivals, [&](const auto& entry) { return now - entry.second > arrivalKept; });
    std::erase_if(m_waiting, [&](const auto& entry) {
        const Waiting& waiting = entry.second;
        return waiting.gaveUp && now - waiting.since > longestLimit + evidenceLasts;
    });
    std::map<std::string, std::vector<uint64_t>> byHost;
    for (const auto& [call, waiting] : m_waiting) {
        auto arrival = m_arrivals.find(waiting.hostId);
        MonotonicTime quietSince
            = arrival == m_arrivals.end() ? waiting.since : std::max(waiting.since, arrival->second);
        if (now - quietSince <= longestUsual(waiting.kind))
            continue;
        auto& calls = byHost[waiting.hostId];
        if (!waiting.gaveUp)
            calls.push_back(call);
    }
    std::vector<Silence> result;
    result.reserve(byHost.size());
    for (auto& [hostId, calls] : byHost)
        result.push_back({ hostId, std::move(calls) });
    return result;
}

ArrivalAges FirstEvents::recent(const Arrivals& arrivals, MonotonicTime now)
{
    ArrivalAges result;
    for (const auto& [hostId, at] : arrivals) {
        if (now - at < toldFor)
            result.emplace(hostId, std::chrono::ceil<Milliseconds>(now - at));
    }
    return result;
}

} // namespace Kumquatpick
