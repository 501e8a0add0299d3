#include "fleet/firsteventforecast.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    // A call arrives in the middle of a pass and gets its first event at the end of the next one.
    constexpr double passesToFirstEvent = 1.5;
    // Of the difference to what was observed. Too short a prediction fills heads that are full already; one that is too
    // long only lasts until the next observation.
    constexpr double riseShare = 0.3;
    constexpr double fallShare = 0.1;
    constexpr double headShare = 0.5;
    // A single stalled head must not stand for its model: one observation counts as at most this multiple of what was
    // predicted.
    constexpr double maxStep = 2;
    // Without observations for a while, the delay halves in this time, so that calls are sent there again.
    constexpr Milliseconds observationLifetime { 500 };
    constexpr Milliseconds modelHalving { 700 };
    constexpr Milliseconds headHalving { 1000 };
    // Times to the first event differ between calls that are predicted alike; a call counts as in time if it is so with
    // this multiple of their mean deviation.
    constexpr double deviations = 1;
    constexpr double deviationShare = 0.1;
    constexpr double fastestFall = 0.3;
    constexpr double fastestRise = 0.02;
    constexpr size_t maxHeads = 4096; // Heads without calls are forgotten beyond this.

    double toMilliseconds(MonotonicTime::duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    double decayed(double value, MonotonicTime::duration age, Milliseconds halving)
    {
        double silentMs = toMilliseconds(age - observationLifetime);
        return value * std::exp2(-std::max(0.0, silentMs) / static_cast<double>(halving.count()));
    }

    bool isUsable(const EngineTiming& timing)
    {
        bool isFinite = std::isfinite(timing.stepMs) && std::isfinite(timing.perSequenceMs)
            && std::isfinite(timing.promptTokensPerSecond);
        return isFinite && timing.stepMs > 0 && timing.perSequenceMs >= 0 && timing.promptTokensPerSecond > 0;
    }

    double passMs(const EngineTiming& timing, double pace, double active)
    {
        double contextTokens = timing.usualPromptTokens + timing.usualAnswerTokens / 2.0;
        double perSequence = timing.perSequenceMs + timing.contextMsPerThousand * contextTokens / 1000;
        return pace * std::max(1u, timing.stepsPerPass) * (timing.stepMs + active * perSequence);
    }

    double readMs(const EngineTiming& timing, double pace, double tokens)
    {
        return pace * tokens * 1000 / timing.promptTokensPerSecond;
    }

    // Until a slot is free for one more call.
    double slotWaitMs(const EngineTiming& timing, const HeadLoad& head)
    {
        if (head.inFlight < head.capacity)
            return 0;
        double passes
            = std::max(1.0, static_cast<double>(timing.usualAnswerTokens) / std::max(1u, timing.stepsPerPass));
        double answerMs = passes * passMs(timing, head.pace, head.capacity);
        return (head.inFlight - head.capacity + 1.0) * answerMs / head.capacity;
    }

}

std::string FirstEventForecast::modelKey(std::string_view service, std::string_view model)
{
    return std::string(service) + '/' + std::string(model);
}

void FirstEventForecast::setTiming(std::string_view service, const EngineTiming& timing)
{
    m_timings.insert_or_assign(std::string(service), timing);
}

uint64_t FirstEventForecast::owedPromptTokens(std::string_view hostId) const
{
    auto head = m_heads.find(hostId);
    uint64_t total = 0;
    if (head != m_heads.end()) {
        for (const Owed& owed : head->second.owed)
            total += owed.promptTokens;
    }
    return total;
}

std::optional<ForecastedTime> FirstEventForecast::predictByEngine(const HeadLoad& head, uint32_t promptTokens) const
{
    auto found = m_timings.find(head.service);
    bool isKnown = found != m_timings.end() && isUsable(found->second) && head.capacity > 0;
    if (!isKnown || !std::isfinite(head.pace) || head.pace <= 0)
        return std::nullopt;
    const EngineTiming& timing = found->second;
    uint32_t own = promptTokens > 0 ? promptTokens : timing.usualPromptTokens;
    double active = std::min(head.inFlight + 1, head.capacity);
    ForecastedTime result;
    result.readMs = readMs(timing, head.pace, static_cast<double>(own) - timing.usualPromptTokens);
    result.engineMs = passesToFirstEvent * passMs(timing, head.pace, active) + slotWaitMs(timing, head)
        + readMs(timing, head.pace, static_cast<double>(owedPromptTokens(head.hostId)) + own);
    return result;
}

double FirstEventForecast::modelDelayMs(std::string_view key, MonotonicTime now) const
{
    auto model = m_models.find(key);
    return model == m_models.end() ? 0 : decayed(model->second.delayMs, now - model->second.observedAt, modelHalving);
}

double FirstEventForecast::headDelayMs(const Head& head, double usualDelayMs, MonotonicTime now) const
{
    double delay = decayed(head.delayMs, now - head.observedAt, headHalving);
    for (const Owed& owed : head.owed)
        delay = std::max(delay, toMilliseconds(now - owed.sentAt) - owed.engineMs - usualDelayMs);
    return delay;
}

std::optional<ForecastedTime> FirstEventForecast::predict(
    const HeadLoad& head, uint32_t promptTokens, MonotonicTime now) const
{
    std::optional<ForecastedTime> result = predictByEngine(head, promptTokens);
    if (!result)
        return std::nullopt;
    result->delayMs = modelDelayMs(modelKey(head.service, head.model), now);
    auto model = m_models.find(modelKey(head.service, head.model));
    if (model != m_models.end())
        result->marginMs
            = deviations * decayed(model->second.deviationMs, now - model->second.observedAt, modelHalving);
    auto known = m_heads.find(head.hostId);
    if (known != m_heads.end())
        result->delayMs += headDelayMs(known->second, result->delayMs + result->marginMs, now);
    // It may be faster than the engine's figures, but not without any time.
    result->delayMs = std::max(result->delayMs, -result->engineMs / 2);
    return result;
}

double FirstEventForecast::fastestMs(std::string_view service, std::string_view model) const
{
    auto known = m_models.find(modelKey(service, model));
    return known == m_models.end() ? 0 : known->second.fastestMs;
}

uint64_t FirstEventForecast::sendStarted(const HeadLoad& load, uint32_t promptTokens, MonotonicTime now)
{
    std::optional<ForecastedTime> predicted = predict(load, promptTokens, now);
    if (!predicted)
        return 0;
    if (m_heads.size() >= maxHeads)
        std::erase_if(m_heads, [](const auto& entry) { return entry.second.owed.empty(); });
    Head& head = m_heads.try_emplace(std::string(load.hostId)).first->second;
    head.model = modelKey(load.service, load.model);
    uint32_t tokens = promptTokens > 0 ? promptTokens : m_timings.find(load.service)->second.usualPromptTokens;
    head.owed.push_back({ ++m_lastSend, now, predicted->engineMs, predicted->totalMs(), tokens, false });
    return m_lastSend;
}

std::optional<FirstEventForecast::Owed> FirstEventForecast::takeOwed(std::string_view hostId, uint64_t send)
{
    auto head = m_heads.find(hostId);
    if (head == m_heads.end())
        return std::nullopt;
    auto owed = std::ranges::find(head->second.owed, send, &Owed::send);
    if (owed == head->second.owed.end())
        return std::nullopt;
    Owed result = *owed;
    head->second.owed.erase(owed);
    return result;
}

void FirstEventForecast::observe(Head& head, double engineMs, double observedMs, MonotonicTime now)
{
    Model& model = m_models[head.model];
    double delay = decayed(model.delayMs, now - model.observedAt, modelHalving);
    double error = observedMs - engineMs - delay;
    double maxError = maxStep * (engineMs + std::max(0.0, delay));
    double step = std::clamp(error, -maxError, maxError);
    model.deviationMs += deviationShare * (std::min(std::abs(error), maxError) - model.deviationMs);
    model.delayMs = delay + step * (error > 0 ? riseShare : fallShare);
    model.observedAt = now;
    double headDelay = decayed(head.delayMs, now - head.observedAt, headHalving);
    head.delayMs = std::max(0.0, headDelay + headShare * (error - headDelay));
    head.observedAt = now;
}

void FirstEventForecast::recordFastest(Model& model, double observedMs)
{
    if (model.fastestMs == 0)
        model.fastestMs = observedMs;
    else if (observedMs < model.fastestMs)
        model.fastestMs += fastestFall * (observedMs - model.fastestMs);
    else
        model.fastestMs = std::min(observedMs, model.fastestMs * (1 + fastestRise));
}

std::optional<double> FirstEventForecast::firstEventArrived(std::string_view hostId, uint64_t send, MonotonicTime now)
{
    std::optional<Owed> owed = takeOwed(hostId, send);
    if (!owed)
        return std::nullopt;
    double observedMs = toMilliseconds(now - owed->sentAt);
    Head& head = m_heads.find(hostId)->second;
    observe(head, owed->engineMs, observedMs, now);
    recordFastest(m_models[head.model], observedMs);
    return observedMs - owed->predictedMs;
}

void FirstEventForecast::sendWithdrawn(std::string_view hostId, uint64_t send) { takeOwed(hostId, send); }

void FirstEventForecast::callerLeft(std::string_view hostId, uint64_t send, MonotonicTime now)
{
    std::optional<Owed> owed = takeOwed(hostId, send);
    if (!owed)
        return;
    // What it waited is the least that the first event would have taken.
    double waitedMs = toMilliseconds(now - owed->sentAt);
    if (waitedMs > owed->predictedMs)
        observe(m_heads.find(hostId)->second, owed->engineMs, waitedMs, now);
}

void FirstEventForecast::tick(MonotonicTime now)
{
    for (auto& [hostId, head] : m_heads) {
        for (Owed& owed : head.owed) {
            double waitedMs = toMilliseconds(now - owed.sentAt);
            if (owed.isCountedLate || waitedMs <= owed.predictedMs + owed.engineMs)
                continue;
            owed.isCountedLate = true;
            observe(head, owed.engineMs, waitedMs, now);
        }
    }
}

} // namespace Kumquatpick
