#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

// Runs actions in order of time, and actions with the same time in the order in which they were added.
class EventQueue {
public:
    using Action = std::function<void()>;

    void at(double seconds, Action);
    void after(double seconds, Action action) { at(m_now + seconds, std::move(action)); }
    void runUntil(double seconds);

    double now() const { return m_now; }
    // The current time as the policies take it. Second 0 of the simulation is one hour after the clock's epoch.
    MonotonicTime time() const { return timeAt(m_now); }
    static MonotonicTime timeAt(double seconds);

private:
    struct Event {
        double time = 0;
        uint64_t serial = 0;
        Action action;
        bool operator<(const Event& other) const
        {
            return std::pair(other.time, other.serial) < std::pair(time, serial);
        }
    };

    std::priority_queue<Event> m_events;
    double m_now = 0;
    uint64_t m_serial = 0;
};

double exponential(Random&, double mean);
double uniform(Random&, double low, double high);
std::chrono::nanoseconds nanoseconds(double seconds);

// Returns the given quantile (0..1) and sorts the values.
double quantile(std::vector<double>&, double share);

// The work of one simulated request, in seconds on an idle replica of normal speed.
struct ModelRequest {
    uint64_t id = 0;
    std::vector<uint64_t> prefixes; // Shortest first, each twice the length of the one before.
    double promptSeconds = 0; // Without any cached prefix.
    double fixedSeconds = 0; // Spent even if the whole prompt is cached.
    double answerSeconds = 0;
};

// Models a batching engine: running streams share its speed, requests beyond the stream limit wait in order of
// arrival, and a cached prompt prefix saves its share of the prompt's work. The cache is limited.
class ModelReplica {
public:
    struct Settings {
        uint32_t streamLimit = 16;
        double speed = 1;
        double slowdownPerStream = 0.08; // Slowdown of the others by each additional stream.
        size_t cacheUnits = 4096; // One unit is the length of the shortest prefix.
    };

    struct Callbacks {
        std::function<void(uint64_t id, double hitRatio)> firstToken;
        std::function<void(uint64_t id)> finished;
        std::function<void(uint64_t prefix, bool stored)> cacheChanged;
    };

    ModelReplica(EventQueue&, Settings, Callbacks);

    void start(ModelRequest);
    // Removes a waiting or running request.
    void cancel(uint64_t id);
    void setSpeed(double speed);

    uint32_t running() const { return static_cast<uint32_t>(m_running.size()); }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }

private:
    struct Run {
        uint64_t id = 0;
        double answerSeconds = 0;
        double hitRatio = 0;
        bool firstTokenDue = true;
    };

    double rate() const;
    void advance();
    void schedule();
    void runNextPhase();
    void fillStreams();
    double touchCache(const std::vector<uint64_t>& prefixes);

    EventQueue& m_events;
    Settings m_settings;
    Callbacks m_callbacks;
    std::list<ModelRequest> m_queue;
    // Keyed by the value of m_work at which the stream's phase ends.
    std::multimap<double, Run> m_running;
    double m_work = 0;
    double m_advancedAt = 0;
    uint64_t m_generation = 0;
    std::list<uint64_t> m_cacheLruOrder; // Least recently used first.
    struct Cached {
        std::list<uint64_t>::iterator lruPosition;
        size_t units = 0;
    };
    std::unordered_map<uint64_t, Cached> m_cache;
    size_t m_cacheUsed = 0;
};

} // namespace Kumquatpick
