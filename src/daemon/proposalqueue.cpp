#include "daemon/proposalqueue.h"

#include "base/logline.h"
#include "log/appender.h"

namespace Kumquatpick {

namespace {

    constexpr size_t maxQueuedProposals = 256;
    constexpr Milliseconds proposalTimeout { 5'000 };

}

ProposalQueue::ProposalQueue(LogAppender& appender)
    : m_appender(appender)
    , m_random(seededFromSystem())
    , m_thread([this] { run(); })
{
}

ProposalQueue::~ProposalQueue()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

bool ProposalQueue::push(RecordBody body)
{
    std::lock_guard lock(m_mutex);
    if (m_queue.size() >= maxQueuedProposals)
        return false;
    m_queue.push_back(std::move(body));
    m_changed.notify_all();
    return true;
}

void ProposalQueue::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_queue.empty(); });
        if (m_stopping)
            return;
        Record record { randomHex128(m_random), std::move(m_queue.front()) };
        m_queue.pop_front();
        lock.unlock();
        auto settled = settle([&] { return m_appender.propose(record, monotonicNow() + proposalTimeout); });
        if (auto* error = std::get_if<Error>(&settled))
            logError("queued proposal outcome unknown", *error);
        lock.lock();
    }
}

} // namespace Kumquatpick
