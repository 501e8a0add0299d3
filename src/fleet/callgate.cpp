#include "fleet/callgate.h"

#include <algorithm>
#include <limits>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds minPatience { 2000 };
    constexpr int patienceTargets = 4;
    constexpr int patienceGaps = 8;
    constexpr double slowHeadTime = 2;
    // Above this share of its slots, a head needs the rest for calls that arrive before the counts are exchanged again.
    constexpr double spareLoad = 0.75;
    // Of what the target exceeds the fastest times by. Calls that others should precede wait at most this long, so that
    // they do not take the room of those.
    constexpr double spareTime = 0.5;
    // Of the target. A prediction includes a margin; where there is room, a call that may be late is tried.
    constexpr double doubtfulTime = 1.5;
    // A caller that leaves has cost the head its prompt, so predictions must keep some distance.
    constexpr double patienceShare = 0.75;
    constexpr Milliseconds minRetryAfter { 400 };
    constexpr int retryShare = 3; // Callers wait for at most this part of their remaining time.

}

Milliseconds callerPatience(Milliseconds target, Milliseconds targetGap)
{
    return std::max({ minPatience, target * patienceTargets, targetGap * patienceGaps });
}

std::vector<GateStep> gateSteps(const GateInputs& inputs)
{
    if (inputs.target.count() <= 0)
        return {};
    auto elapsed = static_cast<double>(inputs.elapsed.count());
    double targetMs = static_cast<double>(inputs.target.count()) - elapsed;
    Milliseconds patience = std::min(callerPatience(inputs.target, inputs.targetGap) - inputs.elapsed, inputs.timeLeft);
    double latestMs = patienceShare * static_cast<double>(patience.count());
    std::vector<GateStep> steps;
    auto fullTargetMs = static_cast<double>(inputs.target.count());
    bool isLate = inputs.isCallerRetry || targetMs <= 0;
    double spareMs = inputs.fastestMs + spareTime * std::max(0.0, fullTargetMs - inputs.fastestMs);
    if (!isLate && inputs.isOverShare)
        steps.push_back({ std::min({ spareMs, targetMs, latestMs }), 1, true });
    else if (!isLate) {
        steps.push_back({ std::min(targetMs, latestMs), 1, true });
        steps.push_back({ std::min(targetMs * doubtfulTime, latestMs), spareLoad, true });
    }
    // If even the fastest heads miss the target, all calls are late, and no call is better served by refusing others
    // than by bounding the queues.
    if (inputs.fastestMs > fullTargetMs)
        steps.push_back({ std::min(slowHeadTime * inputs.fastestMs, latestMs), 1, false });
    // Late already, so the call takes only room that calls in time do not need.
    if (inputs.elapsed.count() > 0 || isLate)
        steps.push_back({ std::min({ spareMs, fullTargetMs, latestMs }), spareLoad, false });
    // Nothing shows whether the prediction is right, and only a call can.
    if (inputs.fastestMs <= 0)
        steps.push_back({ std::numeric_limits<double>::infinity(), spareLoad, false });
    // Serving this call late delays few others, or the route's callers can do with late answers.
    if (!inputs.isOverloaded)
        steps.push_back({ latestMs, 1, false });
    return steps;
}

Milliseconds gateRetryAfter(double fastestPredictedMs, Milliseconds target, Milliseconds timeLeft, double draw)
{
    Milliseconds latest = timeLeft / retryShare;
    auto drain = Milliseconds(static_cast<int64_t>(std::clamp(
        fastestPredictedMs - static_cast<double>(target.count()), 0.0, static_cast<double>(latest.count()))));
    Milliseconds earliest = std::min(std::max(minRetryAfter, drain), latest);
    auto spread = std::chrono::duration_cast<Milliseconds>((latest - earliest) * draw);
    return earliest + spread;
}

} // namespace Kumquatpick
