#include "policy/bench_model.h"

#include <algorithm>
#include <cmath>

namespace Kumquatpick {

namespace {

    constexpr double workResolution = 1e-9;

} // namespace

void EventQueue::at(double seconds, Action action)
{
    m_events.push({ std::max(seconds, m_now), ++m_serial, std::move(action) });
}

void EventQueue::runUntil(double seconds)
{
    while (!m_events.empty() && m_events.top().time <= seconds) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = seconds;
}

MonotonicTime EventQueue::timeAt(double seconds) { return MonotonicTime(std::chrono::hours(1)) + nanoseconds(seconds); }

double uniform(Random& random, double low, double high)
{
    // Does not use the standard library's distributions: their results differ between implementations.
    return low + (high - low) * (static_cast<double>(random() >> 11) * 0x1p-53);
}

double exponential(Random& random, double mean) { return -mean * std::log1p(-uniform(random, 0, 1)); }

std::chrono::nanoseconds nanoseconds(double seconds)
{
    return std::chrono::nanoseconds(static_cast<int64_t>(seconds * 1e9));
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

ModelReplica::ModelReplica(EventQueue& events, Settings settings, Callbacks callbacks)
    : m_events(events)
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
{
}

double ModelReplica::rate() const
{
    double others = m_running.empty() ? 0 : static_cast<double>(m_running.size() - 1);
    return m_settings.speed / (1 + others * m_settings.slowdownPerStream);
}

void ModelReplica::advance()
{
    m_work += (m_events.now() - m_advancedAt) * rate();
    m_advancedAt = m_events.now();
}

// Only the latest scheduled event takes effect; earlier ones find that the generation has changed.
void ModelReplica::schedule()
{
    uint64_t generation = ++m_generation;
    if (m_running.empty())
        return;
    double delay = std::max(0.0, m_running.begin()->first - m_work) / rate();
    m_events.after(delay, [this, generation] {
        if (generation == m_generation)
            runNextPhase();
    });
}

void ModelReplica::runNextPhase()
{
    advance();
    while (!m_running.empty() && m_running.begin()->first <= m_work + workResolution) {
        Run run = m_running.begin()->second;
        m_running.erase(m_running.begin());
        if (run.firstTokenDue) {
            run.firstTokenDue = false;
            m_running.emplace(m_work + run.answerSeconds, run);
            m_callbacks.firstToken(run.id, run.hitRatio);
        } else {
            m_callbacks.finished(run.id);
        }
    }
    fillStreams();
    schedule();
}

void ModelReplica::fillStreams()
{
    while (!m_queue.empty() && m_running.size() < m_settings.streamLimit) {
        ModelRequest request = std::move(m_queue.front());
        m_queue.pop_front();
        double hit = touchCache(request.prefixes);
        double promptSeconds = request.fixedSeconds + request.promptSeconds * (1 - hit);
        m_running.emplace(m_work + promptSeconds, Run { request.id, request.answerSeconds, hit });
    }
}

void ModelReplica::start(ModelRequest request)
{
    advance();
    m_queue.push_back(std::move(request));
    fillStreams();
    schedule();
}

void ModelReplica::cancel(uint64_t id)
{
    advance();
    m_queue.remove_if([&](const ModelRequest& request) { return request.id == id; });
    std::erase_if(m_running, [&](const auto& entry) { return entry.second.id == id; });
    fillStreams();
    schedule();
}

void ModelReplica::setSpeed(double speed)
{
    advance();
    m_settings.speed = speed;
    schedule();
}

// Returns the cached share of the prompt, then caches the whole prompt and evicts the least recently used prefixes.
double ModelReplica::touchCache(const std::vector<uint64_t>& prefixes)
{
    double hit = 0;
    bool unbroken = true;
    for (size_t i = 0; i < prefixes.size(); ++i) {
        auto found = m_cache.find(prefixes[i]);
        if (found != m_cache.end()) {
            m_cacheLruOrder.splice(m_cacheLruOrder.end(), m_cacheLruOrder, found->second.lruPosition);
            if (unbroken)
                hit = std::exp2(static_cast<double>(i + 1) - static_cast<double>(prefixes.size()));
            continue;
        }
        unbroken = false;
        size_t units = i ? size_t(1) << (i - 1) : 1;
        m_cache[prefixes[i]] = { m_cacheLruOrder.insert(m_cacheLruOrder.end(), prefixes[i]), units };
        m_cacheUsed += units;
        m_callbacks.cacheChanged(prefixes[i], true);
    }
    while (m_cacheUsed > m_settings.cacheUnits) {
        uint64_t oldest = m_cacheLruOrder.front();
        m_cacheLruOrder.pop_front();
        m_cacheUsed -= m_cache[oldest].units;
        m_cache.erase(oldest);
        m_callbacks.cacheChanged(oldest, false);
    }
    return hit;
}

} // namespace Kumquatpick
