#include "log/reader.h"

#include "base/logline.h"

namespace Kumquatpick {

LogReader::LogReader(LogClient client, Settings settings, Random::result_type seed)
    : m_client(std::move(client))
    , m_settings(settings)
    , m_pageRecords(settings.pageRecords)
    , m_random(seed)
{
}

LogReader::~LogReader() { stop(); }

void LogReader::subscribe(LogSubscriber subscriber) { m_subscribers.push_back(std::move(subscriber)); }

void LogReader::start()
{
    m_thread = std::thread([this] { run(); });
}

// Waits for a long poll in progress, so it can take as long as settings.wait and the timeout.
void LogReader::stop()
{
    m_stopping = true;
    wakeWaiters();
    if (m_thread.joinable())
        m_thread.join();
}

void LogReader::run()
{
    uint32_t failures = 0;
    while (!m_stopping) {
        // Long polling makes sense only when all existing records have been read.
        bool wait = m_ready && failures == 0;
        failures = readOnce(wait ? m_settings.wait : Milliseconds(0)) ? 0 : failures + 1;
        if (failures != 1)
            setReachable(failures == 0);
        wakeWaiters();
        if (failures > 1)
            backOff(failures - 1);
    }
}

void LogReader::setReachable(bool reachable)
{
    if (m_reachable.exchange(reachable) == reachable)
        return;
    if (reachable)
        logLine(LogLevel::Info, "the log is reachable");
    else
        logLine(LogLevel::Warning, "the log is unreachable");
}

bool LogReader::readOnce(Milliseconds wait)
{
    Offset from = m_replay.nextOffset();
    auto outcome = settle([&]() -> Result<std::pair<ReplayStep, bool>> {
        BOOST_LEAF_AUTO(page, m_client.read(from, m_pageRecords, wait, m_settings.timeout));
        std::unique_lock lock(m_stateMutex);
        BOOST_LEAF_AUTO(step, m_replay.add(page));
        bool atEnd = m_replay.nextOffset() >= page.next;
        return std::pair(std::move(step), atEnd);
    });
    if (auto* error = std::get_if<Error>(&outcome)) {
        if (m_reachable || error->code == ErrorCode::Stale)
            logError("reading the log failed", *error);
        // The page may have been too large to be read, or to be read in time.
        if (error->code == ErrorCode::Malformed || error->code == ErrorCode::Timeout)
            m_pageRecords = std::max(1U, m_pageRecords / 2);
        return false;
    }
    m_pageRecords = std::min(m_settings.pageRecords, 2 * m_pageRecords);
    auto& [step, atEnd] = std::get<0>(outcome);
    notifySubscribers(step, monotonicNow());
    if (atEnd && m_replay.isComplete())
        m_ready = true;
    return true;
}

void LogReader::notifySubscribers(const ReplayStep& step, MonotonicTime readAt)
{
    m_offset = m_replay.state().offset();
    for (const LogSubscriber& subscriber : m_subscribers) {
        if (step.restored && subscriber.onRestored)
            subscriber.onRestored(readAt);
        if (!subscriber.onApplied)
            continue;
        for (const AppliedRecord& record : step.applied)
            subscriber.onApplied(record, readAt);
    }
}

// Jitter keeps the nodes from reconnecting all at once after an outage.
void LogReader::backOff(uint32_t failures)
{
    auto longest = std::min(m_settings.maxBackoff, m_settings.minBackoff * (1U << std::min(failures, 10U)));
    std::uniform_int_distribution<int64_t> jitter(m_settings.minBackoff.count() / 2, longest.count());
    std::unique_lock lock(m_waitMutex);
    m_changed.wait_for(lock, Milliseconds(jitter(m_random)), [&] { return m_stopping.load(); });
}

bool LogReader::waitUntil(const std::function<bool()>& predicate, MonotonicTime deadline) const
{
    std::unique_lock lock(m_waitMutex);
    return m_changed.wait_until(lock, deadline, [&] { return m_stopping || predicate(); }) && predicate();
}

void LogReader::wakeWaiters() const
{
    {
        std::lock_guard lock(m_waitMutex);
    }
    m_changed.notify_all();
}

bool LogReader::adoptConfig(Offset version, std::string_view text)
{
    std::unique_lock lock(m_stateMutex);
    return m_replay.state().adoptConfig(version, text);
}

LogReader::SnapshotStatus LogReader::snapshotStatus() const
{
    std::shared_lock lock(m_stateMutex);
    return { m_replay.state().snapshotCovers(), m_replay.oldestUncoveredTime(), m_replay.uncoveredExpired() };
}

} // namespace Kumquatpick
