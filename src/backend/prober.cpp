#include "backend/prober.h"

#include "backend/directory.h"
#include "backend/orders.h"
#include "base/hash.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    Error notThisHost(const ProbeTarget& target, const EngineStatus& status)
    {
        return { ErrorCode::Malformed, Step::Probe, target.address.toString(),
            "host " + status.host + " answers at the address of " + target.host };
    }

}

Prober::Prober(ReplicaDirectory& directory, ProberSettings settings, ProberListener listener)
    : m_directory(directory)
    , m_settings(settings)
    , m_listener(std::move(listener))
{
    std::lock_guard lock(m_mutex); // The threads look at how many they are.
    for (size_t i = 0; i < std::max<size_t>(1, m_settings.threads); ++i)
        m_threads.emplace_back([this] { work(); });
}

Prober::~Prober()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_turnsChanged.notify_all();
    m_watchNeeded.notify_all();
    for (auto& thread : m_threads)
        thread.join();
}

// A host's place in the period follows from its name, so the probes of one node are spread evenly.
void Prober::setTargets(std::vector<ProbeTarget> targets)
{
    MonotonicTime now = monotonicNow();
    std::lock_guard lock(m_mutex);
    std::map<std::string, Host> next;
    for (ProbeTarget& target : targets) {
        auto known = m_hosts.find(target.host);
        if (known != m_hosts.end() && known->second.target == target) {
            next.insert(m_hosts.extract(known));
            continue;
        }
        Host host;
        host.due = now + Milliseconds(hash64(target.host) % std::max<int64_t>(1, m_settings.period.count()));
        host.target = std::move(target);
        next.emplace(host.target.host, std::move(host));
    }
    m_hosts = std::move(next);
    m_answering.clear();
    m_failing.clear();
    for (const auto& [name, host] : m_hosts) {
        if (!host.isInProgress)
            enqueue(host);
    }
    m_turnsChanged.notify_one();
}

void Prober::work()
{
    std::unique_lock lock(m_mutex);
    Host host;
    while (take(lock, host)) {
        lock.unlock();
        bool wasFailing = host.isFailing;
        bool hasAnswered = probe(host);
        lock.lock();
        if (wasFailing)
            --m_failingInProgress;
        giveBack(std::move(host), hasAnswered);
    }
}

bool Prober::take(std::unique_lock<std::mutex>& lock, Host& taken)
{
    while (!m_isStopping) {
        MonotonicTime now = monotonicNow();
        if (Queue* queue = queueInTurn(now)) {
            Host& host = m_hosts.at(queue->begin()->second);
            dequeue(host);
            host.isInProgress = true;
            m_failingInProgress += host.isFailing ? 1 : 0;
            taken = host;
            m_watchNeeded.notify_one();
            return true;
        }
        if (m_isWatched) {
            m_watchNeeded.wait(lock);
            continue;
        }
        m_isWatched = true;
        m_turnsChanged.wait_until(lock, nextTurn(now));
        m_isWatched = false;
    }
    return false;
}

Prober::Queue* Prober::queueInTurn(MonotonicTime now)
{
    if (!m_answering.empty() && m_answering.begin()->first <= now)
        return &m_answering;
    if (mayTakeFailing() && !m_failing.empty() && m_failing.begin()->first <= now)
        return &m_failing;
    return nullptr;
}

bool Prober::mayTakeFailing() const { return m_failingInProgress < std::max<size_t>(1, m_threads.size() / 2); }

MonotonicTime Prober::nextTurn(MonotonicTime now) const
{
    MonotonicTime next = now + m_settings.period;
    if (!m_answering.empty())
        next = std::min(next, m_answering.begin()->first);
    if (mayTakeFailing() && !m_failing.empty())
        next = std::min(next, m_failing.begin()->first);
    return next;
}

// A probe that came late does not shift the host's later turns. A host that was replaced meanwhile, or taken
// away, has another entry or none: the result is dropped.
void Prober::giveBack(Host host, bool hasAnswered)
{
    auto known = m_hosts.find(host.target.host);
    if (known == m_hosts.end() || !known->second.isInProgress || !(known->second.target == host.target))
        return;
    MonotonicTime now = monotonicNow();
    auto missedTurns = std::max<int64_t>(0, (now - host.due) / m_settings.period);
    host.due += (missedTurns + 1) * m_settings.period;
    host.isInProgress = false;
    host.isFailing = !hasAnswered;
    known->second = std::move(host);
    enqueue(known->second);
    m_turnsChanged.notify_one();
}

void Prober::enqueue(const Host& host)
{
    (host.isFailing ? m_failing : m_answering).emplace(host.due, host.target.host);
}

void Prober::dequeue(const Host& host)
{
    (host.isFailing ? m_failing : m_answering).erase({ host.due, host.target.host });
}

bool Prober::probe(Host& host)
{
    const ProbeTarget& target = host.target;
    MonotonicTime askedAt = monotonicNow();
    auto settled = settle([&]() -> Result<EngineStatus> {
        BOOST_LEAF_AUTO(status, readStatus(target.address, m_settings.timeout));
        if (status.host != target.host)
            return fail(notThisHost(target, status));
        return status;
    });
    if (const Error* error = std::get_if<Error>(&settled)) {
        m_directory.unanswered(target.host, askedAt);
        if (m_listener.unanswered)
            m_listener.unanswered(target.host, *error);
        return false;
    }
    const EngineStatus& status = std::get<0>(settled);
    m_directory.probed(status);
    bool isNewLife = host.last && host.last->incarnation != status.incarnation;
    if (isNewLife && m_listener.died)
        m_listener.died(*host.last);
    host.last = status;
    if (m_listener.answered)
        m_listener.answered(status);
    if (target.isLeader && m_listener.cacheEvents)
        readCache(host);
    return true;
}

// Late and with gaps by nature, and only advice: a failure is left for the next turn.
void Prober::readCache(Host& host)
{
    auto settled
        = settle([&] { return readCacheEvents(host.target.address, host.nextCacheEvent, m_settings.timeout); });
    auto* batch = std::get_if<CacheEventBatch>(&settled);
    if (batch == nullptr)
        return;
    host.nextCacheEvent = batch->next;
    if (!batch->gap && batch->changes.empty())
        return;
    batch->service = host.last->service;
    batch->replica = host.last->replica;
    m_listener.cacheEvents(*batch);
}

} // namespace Kumquatpick
