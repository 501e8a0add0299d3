#include "policy/servicerouter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Kumquatpick {

namespace {

    constexpr double averageDecaySeconds = 60; // Decay of the averages over the whole service.
    constexpr double baseTimeSmoothing = 0.02;
    constexpr double maxSlowness = 32;
    constexpr double minWeight = 0.01;
    constexpr double minSeconds = 1e-4;
    // A success after failures restores the weight step by step, not at once.
    constexpr double successFactor = 2;
    constexpr double initialSecondsPerStream = 2;
    // A replica that asks for a longer backoff is tried again after this time.
    constexpr std::chrono::minutes maxBackoff { 2 };
    constexpr size_t maxRememberedEvents
        = 1024; // Limit of the dispatches and ends kept for a replica that stopped reporting.

} // namespace

ServiceRouter::ServiceRouter(RouterSettings settings)
    : m_settings(settings)
{
}

void ServiceRouter::setServing(std::vector<ReplicaSample> samples)
{
    m_serving.clear();
    for (auto& [name, replica] : m_replicas)
        replica.serving = false;
    for (ReplicaSample& sample : samples) {
        auto entry = m_replicas.try_emplace(sample.replica).first;
        Replica& replica = entry->second;
        bool alreadyListed = replica.serving;
        replica.serving = true;
        replica.sample = std::move(sample);
        auto reported = [&](MonotonicTime time) { return time <= replica.sample.reportedAt; };
        std::erase_if(replica.dispatches, reported);
        std::erase_if(replica.ends, reported);
        if (!alreadyListed)
            m_serving.push_back(&*entry);
    }
    std::erase_if(m_replicas, [](const auto& entry) { return !entry.second.serving && !entry.second.inFlight; });
    updateTotalPerLocalLoad();
}

void ServiceRouter::cacheEvent(const CacheEvent& event)
{
    if (event.gap)
        m_prefixes.eventsLost(event.replica);
    if (event.stored)
        m_prefixes.stored(event.prefix, event.replica);
    else
        m_prefixes.dropped(event.prefix, event.replica);
}

// Adds this node's dispatches and ends since the report to the reported load.
double ServiceRouter::correctedReport(const Replica& replica) const
{
    double reported = double(replica.sample.reportedRunning) + replica.sample.reportedQueued;
    if (m_settings.correctsReports)
        reported += double(replica.dispatches.size()) - double(replica.ends.size());
    return std::max(reported, double(replica.inFlight));
}

// Combines two estimates: reports cover all nodes but are old, and this node's requests in flight are exact and current
// but only a part. Other nodes choose replicas in much the same way, so scaling this part up gives an estimate that
// does not depend on what replicas report.
double ServiceRouter::load(const Replica& replica) const
{
    if (!m_totalPerLocalLoad)
        return correctedReport(replica);
    double scaledLocal = double(replica.inFlight) * m_totalPerLocalLoad;
    return m_settings.reportWeight * correctedReport(replica) + (1 - m_settings.reportWeight) * scaledLocal;
}

void ServiceRouter::updateTotalPerLocalLoad()
{
    double total = 0;
    double local = 0;
    for (const auto* entry : m_serving) {
        total += correctedReport(entry->second);
        local += entry->second.inFlight;
    }
    // A node without requests in flight cannot compute the ratio and uses the reports alone until it can.
    if (local > 0)
        m_totalPerLocalLoad = std::max(1.0, total / local);
}

double ServiceRouter::secondsPerStream() const
{
    return m_ends < 1 ? initialSecondsPerStream : m_inFlightSeconds / m_ends;
}

// Prompt processing competes with the running streams of the engine; beyond the stream limit, requests also wait for a
// stream to end.
double ServiceRouter::expectedBeforeSpeed(const Replica& replica, double missShare) const
{
    double limit = std::max(1U, replica.sample.streamLimit);
    double busy = load(replica);
    double promptWork = m_settings.fixedShare + (1 - m_settings.fixedShare) * missShare;
    double seconds = m_baseSeconds * promptWork * (1 + m_settings.loadSlope * std::min(busy, limit) / limit);
    if (busy >= limit)
        seconds += (busy - limit + 1) * secondsPerStream() / limit;
    return std::max(minSeconds, seconds);
}

// The learned slowness decays, so that a replica which gets no requests because it was slow is tried again.
double ServiceRouter::learnedLogSlowness(const Replica& replica, MonotonicTime now) const
{
    double age = std::max(0.0, toSeconds(now - replica.learnedAt));
    return replica.logSlowness * std::exp(-age / m_settings.speedDecaySeconds);
}

// Requests whose first token is overdue count before it arrives: otherwise a stalled server would be detected only when
// it answers.
double ServiceRouter::slowness(const Replica& replica, MonotonicTime now) const
{
    if (!m_settings.learnsSpeed)
        return 1;
    double learned = std::exp(learnedLogSlowness(replica, now));
    if (replica.pending.empty())
        return learned;
    const Pending& oldest = replica.pending.front();
    double overdue = toSeconds(now - oldest.dispatched) / oldest.expectedUncached;
    return std::clamp(std::max(learned, overdue), 1 / maxSlowness, maxSlowness);
}

// The weight recovers with time, so that the replica is tried again; the result of the trial then sets the weight.
double ServiceRouter::weight(const Replica& replica, MonotonicTime now) const
{
    double age = std::max(0.0, toSeconds(now - replica.weightAt));
    return 1 - (1 - replica.weight) * std::exp(-age / m_settings.recoverySeconds);
}

double ServiceRouter::score(
    const Replica& replica, const RequestShape& shape, double missShare, MonotonicTime now) const
{
    double seconds = expectedBeforeSpeed(replica, missShare) * slowness(replica, now);
    if (replica.sample.zone != shape.zone)
        seconds *= m_settings.otherZoneFactor;
    return seconds / weight(replica, now);
}

// Compares a random sample instead of all replicas: nodes with the same delayed reports would otherwise all choose the
// same replica.
std::vector<ServiceRouter::Replicas::value_type*> ServiceRouter::candidates(
    const RequestShape& shape, MonotonicTime now, Random& random)
{
    std::vector<Replicas::value_type*> allowed;
    allowed.reserve(m_serving.size());
    for (auto* entry : m_serving) {
        bool isAvoided = std::find(shape.avoid.begin(), shape.avoid.end(), entry->first) != shape.avoid.end();
        if (!isAvoided && entry->second.backedOffUntil <= now)
            allowed.push_back(entry);
    }
    size_t wanted = std::min<size_t>(m_settings.sampledReplicas, allowed.size());
    for (size_t i = 0; i < wanted; ++i) {
        size_t other = i + random() % (allowed.size() - i);
        std::swap(allowed[i], allowed[other]);
    }
    std::vector<Replicas::value_type*> chosen(allowed.begin(), allowed.begin() + static_cast<ptrdiff_t>(wanted));
    if (!m_settings.usesPrefixes || shape.prefixes.empty())
        return chosen;
    auto match = m_prefixes.longestMatch(shape.prefixes);
    for (size_t tried = 0; tried < m_settings.holdersCompared && !match.holders.empty(); ++tried) {
        size_t pick = random() % match.holders.size();
        auto isPick = [&](const auto* entry) { return entry->first == match.holders[pick]; };
        auto holder = std::find_if(allowed.begin() + static_cast<ptrdiff_t>(wanted), allowed.end(), isPick);
        if (holder != allowed.end())
            chosen.push_back(*holder);
        match.holders.erase(match.holders.begin() + static_cast<ptrdiff_t>(pick));
    }
    return chosen;
}

std::string ServiceRouter::choose(const RequestShape& shape, MonotonicTime now, Random& random)
{
    Replicas::value_type* best = nullptr;
    double bestScore = std::numeric_limits<double>::infinity();
    double bestMiss = 1;
    for (auto* entry : candidates(shape, now, random)) {
        double miss = 1;
        if (m_settings.usesPrefixes && !shape.prefixes.empty())
            miss -= m_prefixes.hitRatio(shape.prefixes, entry->first);
        double candidateScore = score(entry->second, shape, miss, now);
        candidateScore *= 1 + m_settings.jitter * (static_cast<double>(random() >> 11) * 0x1p-53);
        if (best && candidateScore >= bestScore)
            continue;
        best = entry;
        bestScore = candidateScore;
        bestMiss = miss;
    }
    if (!best)
        return {};
    accumulateInFlightTime(now);
    Replica& replica = best->second;
    replica.pending.push_back({ now, expectedBeforeSpeed(replica, bestMiss), expectedBeforeSpeed(replica, 1) });
    replica.dispatches.push_back(now);
    ++replica.inFlight;
    ++m_totalInFlight;
    return best->first;
}

// A backoff ends only with time: a shorter one does not replace an earlier request for a later end.
void ServiceRouter::backoffRequested(std::string_view replica, Milliseconds backoff, MonotonicTime now)
{
    auto found = m_replicas.find(replica);
    if (found == m_replicas.end())
        return;
    MonotonicTime end = now + std::min<Milliseconds>(backoff, maxBackoff);
    found->second.backedOffUntil = std::max(found->second.backedOffUntil, end);
}

void ServiceRouter::accumulateInFlightTime(MonotonicTime now)
{
    if (now > m_accumulatedUntil && m_accumulatedUntil != MonotonicTime {}) {
        double passed = toSeconds(now - m_accumulatedUntil);
        double kept = std::exp(-passed / averageDecaySeconds);
        m_inFlightSeconds = m_inFlightSeconds * kept + double(m_totalInFlight) * passed;
        m_ends *= kept;
    }
    m_accumulatedUntil = std::max(m_accumulatedUntil, now);
}

// A time between those expected for a cached and an uncached prompt gives no information about the speed, because the
// prefix may not have been cached.
double ServiceRouter::observedRatio(const Pending& pending, double observed)
{
    double ratio = 1;
    if (observed > pending.expectedUncached)
        ratio = observed / pending.expectedUncached;
    else if (observed < pending.expected)
        ratio = observed / pending.expected;
    return std::clamp(ratio, 1 / maxSlowness, maxSlowness);
}

void ServiceRouter::learnSpeed(Replica& replica, const Pending& pending, double observed, MonotonicTime now)
{
    double ratio = observedRatio(pending, observed);
    double before = learnedLogSlowness(replica, now);
    replica.logSlowness = before + m_settings.speedSmoothing * (std::log(ratio) - before);
    replica.learnedAt = now;
    // The base time changes in small bounded steps, so that it follows the typical replica and not one slow replica.
    m_baseSeconds *= std::exp(baseTimeSmoothing * std::clamp(std::log(ratio), -1.0, 1.0));
    m_baseSeconds = std::max(minSeconds, m_baseSeconds);
}

void ServiceRouter::firstToken(std::string_view name, std::chrono::nanoseconds sinceDispatch, MonotonicTime now)
{
    auto found = m_replicas.find(name);
    if (found == m_replicas.end() || found->second.pending.empty())
        return;
    Replica& replica = found->second;
    auto dispatched = now - sinceDispatch;
    auto distance = [&](const Pending& pending) { return std::chrono::abs(pending.dispatched - dispatched); };
    auto nearest = std::min_element(replica.pending.begin(), replica.pending.end(),
        [&](const Pending& left, const Pending& right) { return distance(left) < distance(right); });
    learnSpeed(replica, *nearest, toSeconds(sinceDispatch), now);
    replica.pending.erase(nearest);
}

void ServiceRouter::ended(std::string_view name, DispatchEnd end, MonotonicTime now)
{
    auto found = m_replicas.find(name);
    if (found == m_replicas.end() || !found->second.inFlight)
        return;
    accumulateInFlightTime(now);
    Replica& replica = found->second;
    --replica.inFlight;
    --m_totalInFlight;
    replica.ends.push_back(now);
    // Only the difference of the two sizes is used, so removing one of each does not change it.
    if (replica.ends.size() > maxRememberedEvents && !replica.dispatches.empty()) {
        replica.ends.pop_front();
        replica.dispatches.pop_front();
    }
    if (replica.pending.size() > replica.inFlight)
        replica.pending.pop_front();
    if (end == DispatchEnd::Finished)
        m_ends += 1;
    if (end == DispatchEnd::Finished || end == DispatchEnd::Failed) {
        double factor = end == DispatchEnd::Failed ? m_settings.failureFactor : successFactor;
        replica.weight = std::clamp(weight(replica, now) * factor, minWeight, 1.0);
        replica.weightAt = now;
    }
    if (!replica.serving && !replica.inFlight)
        m_replicas.erase(found);
}

uint32_t ServiceRouter::freeStreams() const
{
    double free = 0;
    for (const auto* entry : m_serving)
        free += std::max(0.0, double(entry->second.sample.streamLimit) - correctedReport(entry->second));
    return static_cast<uint32_t>(free);
}

uint32_t ServiceRouter::inFlight(std::string_view name) const
{
    auto found = m_replicas.find(name);
    return found == m_replicas.end() ? 0 : found->second.inFlight;
}

double ServiceRouter::expectedSeconds(std::string_view name, MonotonicTime now) const
{
    auto found = m_replicas.find(name);
    if (found == m_replicas.end() || !found->second.serving)
        return std::numeric_limits<double>::infinity();
    return expectedBeforeSpeed(found->second, 1) * slowness(found->second, now) / weight(found->second, now);
}

} // namespace Kumquatpick
