#include "standin/threadpool.h"

namespace Kumquatpick {

GrowingThreadPool::GrowingThreadPool(size_t limit)
    : m_limit(limit)
{
}

void GrowingThreadPool::enqueue(std::function<void()> task)
{
    std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle && m_threads.size() < m_limit)
        m_threads.emplace_back([this] { run(); });
    m_changed.notify_one();
}

void GrowingThreadPool::shutdown()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    for (std::thread& thread : m_threads)
        thread.join();
}

void GrowingThreadPool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_changed.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty())
            return;
        std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace Kumquatpick
