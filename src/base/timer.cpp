#include "base/timer.h"

#include <algorithm>

namespace Kumquatpick {

TimerService::Subscription::Subscription(TimerService& service, uint64_t id)
    : m_service(&service)
    , m_id(id)
{
}

TimerService::Subscription::Subscription(Subscription&& other) noexcept
    : m_service(std::exchange(other.m_service, nullptr))
    , m_id(other.m_id)
{
}

TimerService::Subscription& TimerService::Subscription::operator=(Subscription&& other) noexcept
{
    if (this != &other) {
        cancel();
        m_service = std::exchange(other.m_service, nullptr);
        m_id = other.m_id;
    }
    return *this;
}

TimerService::Subscription::~Subscription() { cancel(); }

void TimerService::Subscription::cancel()
{
    if (auto* service = std::exchange(m_service, nullptr))
        service->cancel(m_id);
}

TimerService::TimerService()
    : m_thread([this] { run(); })
{
}

TimerService::~TimerService()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

TimerService::Subscription TimerService::every(Milliseconds period, std::function<void(MonotonicTime)> callback)
{
    std::lock_guard lock(m_mutex);
    uint64_t id = m_nextId++;
    m_entries[id] = std::make_shared<Entry>(Entry { monotonicNow() + period, period, std::move(callback) });
    m_changed.notify_all();
    return { *this, id };
}

// A callback may cancel its own subscription; calls from other threads wait until a running callback returns.
void TimerService::cancel(uint64_t id)
{
    std::unique_lock lock(m_mutex);
    m_entries.erase(id);
    if (std::this_thread::get_id() != m_thread.get_id())
        m_changed.wait(lock, [&] { return m_runningId != id; });
}

void TimerService::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        auto next = std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& a, const auto& b) { return a.second->due < b.second->due; });
        if (next == m_entries.end()) {
            m_changed.wait(lock);
            continue;
        }
        auto now = monotonicNow();
        if (next->second->due > now) {
            // Copied, as the entry may be cancelled during the wait.
            auto due = next->second->due;
            m_changed.wait_until(lock, due);
            continue;
        }
        auto entry = next->second;
        entry->due = now + entry->period;
        m_runningId = next->first;
        lock.unlock();
        entry->callback(now);
        lock.lock();
        m_runningId = 0;
        m_changed.notify_all();
    }
}

} // namespace Kumquatpick
