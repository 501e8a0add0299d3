#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace Kumquatpick {

// Threads for an HTTP server, started when first needed: a stand-in needs one for each open stream,
// and dozens of mostly idle stand-ins run on one machine.
class GrowingThreadPool : public httplib::TaskQueue {
public:
    explicit GrowingThreadPool(size_t limit);

    void enqueue(std::function<void()>) override;
    void shutdown() override;

private:
    void run();

    size_t m_limit;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace Kumquatpick
