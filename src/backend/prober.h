#pragma once

#include "backend/cacheevents.h"
#include "backend/enginestatus.h"
#include "base/address.h"
#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Kumquatpick {

class ReplicaDirectory;

struct ProbeTarget {
    std::string host;
    Address address;
    bool isLeader = false; // Of a model replica: its cache events are read too.

    bool operator==(const ProbeTarget&) const = default;
};

struct ProberSettings {
    Milliseconds period { 1000 };
    Milliseconds timeout { 300 };
    size_t threads = 16;
};

// Told on the prober's threads, several at once, after the directory; empty ones are left out.
struct ProberListener {
    std::function<void(const EngineStatus&)> answered;
    std::function<void(const std::string& host, const Error&)> unanswered;
    // The process that gave this last status is gone: the host answers in another life.
    std::function<void(const EngineStatus& lastOfIt)> died;
    std::function<void(const CacheEventBatch&)> cacheEvents;
};

// Reads the status of given hosts once a period, spread over it, on a bounded set of threads. Hosts that did
// not answer last time get at most half of the threads, so that a dark zone does not hold up the others.
class Prober {
public:
    Prober(ReplicaDirectory&, ProberSettings, ProberListener);
    ~Prober();
    Prober(const Prober&) = delete;
    Prober& operator=(const Prober&) = delete;

    // Replaces the hosts to probe; those that stay keep their turns. One that was taken away may be told of
    // once more if its probe was under way.
    void setTargets(std::vector<ProbeTarget>);

private:
    struct Host {
        ProbeTarget target;
        MonotonicTime due;
        bool isFailing = false;
        bool isInProgress = false;
        std::optional<EngineStatus> last;
        uint64_t nextCacheEvent = 1;
    };

    // The hosts whose turn it is not yet, soonest first.
    using Queue = std::set<std::pair<MonotonicTime, std::string>>;

    void work();
    // Waits for a host whose turn it is; false when stopping.
    bool take(std::unique_lock<std::mutex>&, Host& taken);
    Queue* queueInTurn(MonotonicTime now);
    bool mayTakeFailing() const;
    MonotonicTime nextTurn(MonotonicTime now) const;
    void giveBack(Host, bool answered);
    void enqueue(const Host&);
    void dequeue(const Host&);
    bool probe(Host&);
    void readCache(Host&);

    ReplicaDirectory& m_directory;
    const ProberSettings m_settings;
    const ProberListener m_listener;

    std::mutex m_mutex;
    // Of the free threads one watches the clock and the others sleep, or each turn would wake them all.
    std::condition_variable m_turnsChanged; // For the one that watches.
    std::condition_variable m_watchNeeded; // For the others.
    bool m_isWatched = false;
    std::map<std::string, Host> m_hosts;
    Queue m_answering;
    Queue m_failing;
    size_t m_failingInProgress = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace Kumquatpick
