#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace Kumquatpick {

// Calls its subscribers periodically on one thread. A callback must not block for long:
// work that waits for a peer belongs on a thread of the subscriber.
class TimerService {
public:
    // Cancels on destruction; after that the callback is not running and will not run again.
    class Subscription {
    public:
        Subscription() = default;
        Subscription(TimerService&, uint64_t id);
        Subscription(Subscription&&) noexcept;
        Subscription& operator=(Subscription&&) noexcept;
        ~Subscription();
        void cancel();

    private:
        TimerService* m_service = nullptr;
        uint64_t m_id = 0;
    };

    TimerService();
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    // Calls back every period, first after one period; after a delay, missed calls are not made up for.
    [[nodiscard]] Subscription every(Milliseconds period, std::function<void(MonotonicTime)>);

private:
    struct Entry {
        MonotonicTime due;
        Milliseconds period;
        std::function<void(MonotonicTime)> callback;
    };

    void run();
    void cancel(uint64_t id);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<uint64_t, std::shared_ptr<Entry>> m_entries;
    uint64_t m_nextId = 1;
    uint64_t m_runningId = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Kumquatpick
