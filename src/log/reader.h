#pragma once

#include "base/random.h"
#include "log/client.h"
#include "log/replay.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <thread>
#include <vector>

namespace Kumquatpick {

// Callbacks for log records, called on the reader's thread in offset order, with no lock held.
struct LogSubscriber {
    std::function<void(const AppliedRecord&, MonotonicTime readAt)> onApplied;
    // The state was restored from a snapshot, so anything derived from it must be rebuilt.
    std::function<void(MonotonicTime readAt)> onRestored;
};

// Reads the log on one thread and applies it to the state. The state is accessed under a shared lock and never
// copied: at 12,000 claims a copy takes some ten milliseconds, and an immutable copy for each record or even each
// tick would cost more than applying the records.
class LogReader {
public:
    struct Settings {
        uint32_t pageRecords = 512;
        Milliseconds wait { 2'000 }; // Of a long poll at the log service.
        Milliseconds timeout { 1'500 }; // For the answer, after the wait.
        Milliseconds minBackoff { 50 };
        Milliseconds maxBackoff { 2'000 };
    };

    LogReader(LogClient, Settings, Random::result_type seed);
    ~LogReader();
    LogReader(const LogReader&) = delete;
    LogReader& operator=(const LogReader&) = delete;

    // Must be called before start().
    void subscribe(LogSubscriber);
    void start();
    void stop();

    // Calls use(const State&) under a shared lock. It must be short, as it blocks the reader thread.
    template <typename Use> auto withState(Use&& use) const
    {
        std::shared_lock lock(m_stateMutex);
        return use(m_replay.state());
    }

    // False after two failed reads in a row: a single broken connection does not count as an outage.
    bool reachable() const { return m_reachable; }
    // Whether the state is complete and has reached the log's end once.
    bool ready() const { return m_ready; }
    Offset offset() const { return m_offset; }

    // Waits until the predicate holds, checking it after each read or failure. Returns false at the deadline.
    bool waitUntil(const std::function<bool()>& predicate, MonotonicTime deadline) const;
    // For callers that changed something that predicates of waitUntil() depend on.
    void wakeWaiters() const;

    // Adopts a configuration received from a peer. Returns whether it was newer than the current one.
    bool adoptConfig(Offset version, std::string_view text);

    // Used to decide whether a snapshot is due.
    struct SnapshotStatus {
        Offset snapshotCovers = 0;
        std::optional<WallTime> oldestUncoveredTime;
        bool uncoveredExpired = false;
    };
    SnapshotStatus snapshotStatus() const;

    const LogClient& client() const { return m_client; }

private:
    void run();
    bool readOnce(Milliseconds wait);
    void notifySubscribers(const ReplayStep&, MonotonicTime readAt);
    void setReachable(bool);
    void backOff(uint32_t failures);

    LogClient m_client;
    Settings m_settings;
    uint32_t m_pageRecords; // Asked for at once; used by the reader thread only.
    Random m_random; // Used by the reader thread only.
    std::vector<LogSubscriber> m_subscribers;

    mutable std::shared_mutex m_stateMutex;
    LogReplay m_replay;

    mutable std::mutex m_waitMutex;
    mutable std::condition_variable m_changed;
    std::atomic<bool> m_reachable { false };
    std::atomic<bool> m_ready { false };
    std::atomic<Offset> m_offset { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace Kumquatpick
