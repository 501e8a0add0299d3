#include "fleet/balancer.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // In mean gaps. An engine step writes several tokens and may process part of a prompt in between; neither takes
    // several times the mean gap.
    constexpr double stallGaps = 5;
    constexpr double minStallMs = 250;
    constexpr double maxStallMs = 1200;
    // Used until the mean gap is known.
    constexpr double initialStallMs = 600;
    constexpr double gapSmoothing = 0.1;
    // Events of one engine step arrive together. Only larger gaps measure the duration of a step.
    constexpr double sameStepMs = 8;

    // A replica with a lost member never recovers by itself; its controller is notified and dissolves it meanwhile.
    constexpr Milliseconds stalledAvoidance { 1500 };
    constexpr Milliseconds failedAvoidance { 400 };
    constexpr double maxFailures = 6;
    // A target that refuses because it is full has a queue of several seconds. Each consecutive refusal doubles the
    // time. Without this, a full target could look empty because the other nodes' counts are out of date: single
    // replicas refused up to 400 requests in half a minute.
    constexpr Milliseconds fullAvoidance { 150 };
    constexpr int maxDoublings = 3;
    constexpr double failureDecay = 0.5; // Factor applied to a target's failures on each success.

    // Traffic between zones is paid for, but a difference of a tenth of a target's load outweighs that cost.
    constexpr double remoteZonePenalty = 0.08;
    // Two targets are sampled at random because all nodes would choose the best target at the same time. Of the two,
    // the less loaded one is only preferred, by the square of the free share, because the other nodes' counts are out
    // of date. With counts 0.3 to 0.5 s old, always choosing the less loaded one sent 5.1 to 9.1 of 100 calls to a
    // replica without a free slot; the weighted choice sent 3.5 to 6.0 (simulation: 75 replicas, two thirds full, 95
    // nodes).
    constexpr size_t sampledTargets = 2;
    constexpr double minFreeShare = 0.05; // Of a target's capacity; a full target is still chosen occasionally.
    // Of a target's capacity: by how much a preferred target may be loaded more than the one chosen otherwise.
    constexpr double preferredExcess = 0.1;

}

Balancer::Balancer(std::string zone)
    : m_zone(std::move(zone))
{
}

void Balancer::setTargets(std::vector<ServingTarget> targets)
{
    std::map<std::string, Target, std::less<>> next;
    for (ServingTarget& serving : targets) {
        std::string id = serving.hostId;
        auto known = m_targets.find(id);
        Target target = known == m_targets.end() ? Target {} : std::move(known->second);
        target.serving = std::move(serving);
        auto remote = m_remoteInFlight.find(id);
        target.remoteInFlight = remote == m_remoteInFlight.end() ? 0 : remote->second;
        next.emplace(std::move(id), std::move(target));
    }
    // Requests in flight at a removed target are counted until they end.
    for (auto& [id, target] : m_targets) {
        if (target.localInFlight > 0 && !next.contains(id)) {
            target.serving.capacity = 0;
            next.emplace(id, std::move(target));
        }
    }
    m_targets = std::move(next);
}

void Balancer::setRemoteInFlight(std::map<std::string, uint32_t, std::less<>> inFlight)
{
    m_remoteInFlight = std::move(inFlight);
    for (auto& [id, target] : m_targets) {
        auto remote = m_remoteInFlight.find(id);
        target.remoteInFlight = remote == m_remoteInFlight.end() ? 0 : remote->second;
    }
}

double Balancer::expectedLoad(const Target& target) const
{
    double load = (target.localInFlight + target.remoteInFlight + 1.0) / target.serving.capacity;
    double zonePenalty = target.serving.zone == m_zone ? 0 : remoteZonePenalty;
    return load + zonePenalty + target.failures;
}

bool Balancer::isUsable(const Target& target, const ChoiceRequest& request, MonotonicTime now) const
{
    bool serves = target.serving.service == request.service && target.serving.model == request.model;
    bool hasRoom = target.localInFlight + target.remoteInFlight < target.serving.capacity + request.queueLimit;
    return serves && target.serving.capacity > 0 && hasRoom && std::max(target.avoidUntil, target.fullUntil) <= now
        && !m_backoffs.isBackedOff(target.serving.hostId, now)
        && std::ranges::find(request.excludedHosts, target.serving.hostId) == request.excludedHosts.end();
}

HeadLoad Balancer::headLoad(const Target& target)
{
    const ServingTarget& serving = target.serving;
    return { serving.hostId, serving.service, serving.model, serving.capacity, serving.pace,
        target.localInFlight + target.remoteInFlight };
}

std::optional<HeadLoad> Balancer::headLoad(std::string_view hostId) const
{
    auto found = m_targets.find(hostId);
    if (found == m_targets.end())
        return std::nullopt;
    return headLoad(found->second);
}

bool Balancer::isInTime(const Target& target, const ChoiceRequest& request, MonotonicTime now) const
{
    const FirstEventBound& bound = request.firstEvent;
    if (!bound.forecast)
        return true;
    std::optional<ForecastedTime> predicted = bound.forecast->predict(headLoad(target), bound.promptTokens, now);
    if (!predicted)
        return true;
    bool hasSlot = bound.maxLoad >= 1
        || target.localInFlight + target.remoteInFlight + 1 <= bound.maxLoad * target.serving.capacity;
    return hasSlot && predicted->usualMs() <= bound.maxMs;
}

double Balancer::speedWeight(const Target& target, const ChoiceRequest& request, MonotonicTime now) const
{
    const FirstEventBound& bound = request.firstEvent;
    auto predicted = bound.forecast ? bound.forecast->predict(headLoad(target), bound.promptTokens, now) : std::nullopt;
    return predicted ? 1 / std::max(1.0, predicted->totalMs() * predicted->totalMs()) : 1;
}

std::optional<double> Balancer::shortestFirstEventMs(const ChoiceRequest& request, MonotonicTime now) const
{
    std::optional<double> shortest;
    for (const auto& [id, target] : m_targets) {
        bool serves = target.serving.service == request.service && target.serving.model == request.model;
        if (!serves || !request.firstEvent.forecast)
            continue;
        auto predicted = request.firstEvent.forecast->predict(headLoad(target), request.firstEvent.promptTokens, now);
        if (predicted)
            shortest = std::min(shortest.value_or(predicted->totalMs()), predicted->totalMs());
    }
    return shortest;
}

std::string Balancer::choose(const ChoiceRequest& request, MonotonicTime now, Random& random)
{
    std::vector<const Target*> usable;
    for (const auto& [id, target] : m_targets) {
        if (!isUsable(target, request, now) || !isInTime(target, request, now))
            continue;
        if (m_limits.admits(id, now))
            usable.push_back(&target);
        else
            ++m_rateLimitExclusions;
    }
    if (usable.empty())
        return {};
    const Target& chosen = sample(usable, request, now, random);
    std::erase_if(usable, [&](const Target* target) {
        return std::ranges::find(request.preferredHosts, target->serving.hostId) == request.preferredHosts.end();
    });
    if (usable.empty())
        return chosen.serving.hostId;
    const Target& preferred = sample(std::move(usable), request, now, random);
    // A target that failed is drawn seldom, and must be tried then, as only a success ends its avoidance.
    bool isOverloaded = expectedLoad(preferred) > expectedLoad(chosen) - chosen.failures + preferredExcess;
    return (isOverloaded ? chosen : preferred).serving.hostId;
}

const Balancer::Target& Balancer::sample(
    std::vector<const Target*> targets, const ChoiceRequest& request, MonotonicTime now, Random& random) const
{
    for (size_t i = 0; i < std::min(sampledTargets, targets.size()); ++i)
        std::swap(targets[i], targets[i + random() % (targets.size() - i)]);
    targets.resize(std::min(sampledTargets, targets.size()));
    std::vector<double> weights;
    double total = 0;
    for (const Target* target : targets) {
        double free = std::max(minFreeShare, 1 + 1.0 / target->serving.capacity - expectedLoad(*target));
        weights.push_back(free * free * speedWeight(*target, request, now));
        total += weights.back();
    }
    double draw = std::uniform_real_distribution<double>(0, total)(random);
    for (size_t i = 0; i + 1 < targets.size(); ++i) {
        if (draw < weights[i])
            return *targets[i];
        draw -= weights[i];
    }
    return *targets.back();
}

std::optional<MonotonicTime> Balancer::allBackedOffUntil(
    std::string_view service, std::string_view model, MonotonicTime now) const
{
    std::optional<MonotonicTime> earliest;
    for (const auto& [id, target] : m_targets) {
        bool serves = target.serving.service == service && target.serving.model == model && target.serving.capacity > 0;
        if (!serves)
            continue;
        MonotonicTime end = m_backoffs.endOf(id);
        if (end <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

void Balancer::sendStarted(std::string_view hostId, MonotonicTime now)
{
    m_limits.recordSend(hostId, now);
    auto found = m_targets.find(hostId);
    if (found == m_targets.end())
        return;
    ++found->second.localInFlight;
    if (found->second.activeStreams == 0)
        found->second.lastArrival = now;
}

void Balancer::dataArrived(std::string_view hostId, MonotonicTime now)
{
    auto found = m_targets.find(hostId);
    if (found == m_targets.end())
        return;
    Target& target = found->second;
    double gap = std::chrono::duration<double, std::milli>(now - target.lastArrival).count();
    if (target.activeStreams > 0 && gap > sameStepMs)
        target.gapMs += gapSmoothing * (gap - target.gapMs);
    target.lastArrival = now;
    target.heardAt = now;
}

void Balancer::streamProgressed(std::string_view hostId, MonotonicTime now)
{
    auto found = m_targets.find(hostId);
    if (found != m_targets.end())
        found->second.progressedAt = now;
}

std::vector<std::string> Balancer::suspectedTargets(MonotonicTime now) const
{
    std::vector<std::string> result;
    for (const auto& [id, target] : m_targets) {
        if (target.avoidUntil > now)
            result.push_back(id);
    }
    return result;
}

std::map<std::string, MonotonicTime, std::less<>> Balancer::progressSince(MonotonicTime since) const
{
    std::map<std::string, MonotonicTime, std::less<>> result;
    for (const auto& [id, target] : m_targets) {
        bool isStreaming = target.progressedAt != MonotonicTime {} && !target.serving.model.empty();
        if (isStreaming && target.progressedAt >= since)
            result.emplace(id, target.progressedAt);
    }
    return result;
}

bool Balancer::hasHeardFrom(std::string_view hostId, MonotonicTime since) const
{
    auto found = m_targets.find(hostId);
    return found != m_targets.end() && found->second.heardAt > since;
}

void Balancer::excludePause(MonotonicTime::duration pause, MonotonicTime now)
{
    for (auto& [id, target] : m_targets)
        target.lastArrival = std::min(now, target.lastArrival + pause);
}

void Balancer::adjustActiveStreams(std::string_view hostId, int change)
{
    auto found = m_targets.find(hostId);
    if (found != m_targets.end())
        found->second.activeStreams = std::max(0, found->second.activeStreams + change);
}

void Balancer::sendEnded(std::string_view hostId, SendResult end, MonotonicTime now)
{
    auto found = m_targets.find(hostId);
    if (found == m_targets.end())
        return;
    Target& target = found->second;
    target.localInFlight -= std::min(1u, target.localInFlight);
    switch (end) {
    case SendResult::Finished:
        target.failures *= failureDecay;
        target.refusals = 0;
        break;
    case SendResult::Failed:
        target.failures = std::min(maxFailures, target.failures + 1);
        target.avoidUntil
            = std::max(target.avoidUntil, now + failedAvoidance * static_cast<int>(std::ceil(target.failures)));
        break;
    case SendResult::RefusedFull:
        target.fullUntil = now + fullAvoidance * (1 << std::min(target.refusals++, maxDoublings));
        break;
    case SendResult::Stalled:
    case SendResult::Unreachable:
    case SendResult::NotServing:
        target.avoidUntil = std::max(target.avoidUntil, now + stalledAvoidance);
        break;
    case SendResult::Left:
    case SendResult::CallerGone:
        break;
    }
}

void Balancer::suspect(std::string_view hostId, MonotonicTime until)
{
    auto found = m_targets.find(hostId);
    if (found != m_targets.end())
        found->second.avoidUntil = std::max(found->second.avoidUntil, until);
}

bool Balancer::isSuspected(std::string_view hostId, MonotonicTime now) const
{
    auto found = m_targets.find(hostId);
    return found != m_targets.end() && found->second.avoidUntil > now;
}

std::vector<std::string> Balancer::stalledTargets(MonotonicTime now) const
{
    std::vector<std::string> result;
    for (const auto& [id, target] : m_targets) {
        if (target.activeStreams == 0 || target.serving.model.empty())
            continue;
        double limit = target.gapMs > 0 ? std::clamp(stallGaps * target.gapMs, minStallMs, maxStallMs) : initialStallMs;
        // A single stream may have been preempted by others; for two streams, both would have to be.
        if (target.activeStreams == 1)
            limit *= 2;
        if (std::chrono::duration<double, std::milli>(now - target.lastArrival).count() > limit)
            result.push_back(id);
    }
    return result;
}

std::map<std::string, uint32_t, std::less<>> Balancer::inFlight() const
{
    std::map<std::string, uint32_t, std::less<>> result;
    for (const auto& [id, target] : m_targets) {
        if (target.localInFlight > 0)
            result.emplace(id, target.localInFlight);
    }
    return result;
}

uint32_t Balancer::inFlightAt(std::string_view hostId) const
{
    auto found = m_targets.find(hostId);
    return found == m_targets.end() ? 0 : found->second.localInFlight + found->second.remoteInFlight;
}

uint32_t Balancer::inFlightAtHost(std::string_view hostId) const
{
    auto target = m_targets.find(hostId);
    auto remote = m_remoteInFlight.find(hostId);
    return (target == m_targets.end() ? 0 : target->second.localInFlight)
        + (remote == m_remoteInFlight.end() ? 0 : remote->second);
}

uint32_t Balancer::inFlightOf(std::string_view service, std::string_view model) const
{
    uint32_t total = 0;
    for (const auto& [id, target] : m_targets) {
        if (target.serving.service == service && target.serving.model == model)
            total += target.localInFlight + target.remoteInFlight;
    }
    return total;
}

double Balancer::largestLoad() const
{
    struct Use {
        double taken = 0;
        double slots = 0;
    };
    std::map<std::pair<std::string_view, std::string_view>, Use> uses;
    for (const auto& [id, target] : m_targets) {
        Use& use = uses[{ target.serving.service, target.serving.model }];
        use.taken += target.localInFlight + target.remoteInFlight;
        use.slots += target.serving.capacity;
    }
    double largest = 0;
    for (const auto& [key, use] : uses)
        largest = std::max(largest, use.slots > 0 ? use.taken / use.slots : 1);
    return largest;
}

} // namespace Kumquatpick
