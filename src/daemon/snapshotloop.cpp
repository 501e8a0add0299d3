#include "daemon/snapshotloop.h"

#include "base/logline.h"
#include "coordination/snapshot.h"
#include "log/appender.h"
#include "log/reader.h"

namespace Kumquatpick {

namespace {

    constexpr Milliseconds appendTimeout { 30'000 };

}

SnapshotLoop::SnapshotLoop(
    Settings settings, LogReader& reader, LogAppender& appender, std::function<bool()> holdsLease)
    : m_settings(settings)
    , m_reader(reader)
    , m_appender(appender)
    , m_holdsLease(std::move(holdsLease))
{
}

SnapshotLoop::~SnapshotLoop() { stop(); }

void SnapshotLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void SnapshotLoop::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void SnapshotLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_changed.wait_for(lock, m_settings.period, [&] { return m_stopping; })) {
        lock.unlock();
        if (m_reader.ready() && m_reader.reachable() && isDue())
            append();
        lock.lock();
    }
}

bool SnapshotLoop::isDue() const
{
    auto need = m_reader.snapshotStatus();
    SnapshotConditions conditions;
    conditions.retention = m_settings.retention;
    conditions.oldestUncoveredAge = need.oldestUncoveredTime ? wallNow() - *need.oldestUncoveredTime : Milliseconds(0);
    conditions.uncoveredExpired = need.uncoveredExpired;
    conditions.holdsLease = m_holdsLease();
    conditions.spread = m_settings.spread;
    bool hasManyRecords = m_reader.offset() - need.snapshotCovers >= m_settings.recordInterval;
    return isSnapshotDue(conditions) || (hasManyRecords && conditions.holdsLease);
}

void SnapshotLoop::append()
{
    auto random = seededFromSystem();
    auto appended = settle([&] { return m_appender.appendSnapshot(random, monotonicNow() + appendTimeout); });
    if (auto* error = std::get_if<Error>(&appended))
        logError("appending a snapshot failed", *error);
}

} // namespace Kumquatpick
