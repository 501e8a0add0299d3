#include "daemon/hosttracker.h"

namespace Kumquatpick {

namespace {

    EnginePhase phaseOf(EngineState state)
    {
        switch (state) {
        case EngineState::Idle:
            return EnginePhase::Idle;
        case EngineState::Loading:
            return EnginePhase::Loading;
        case EngineState::Ready:
            return EnginePhase::Ready;
        }
        return EnginePhase::Idle;
    }

    HostEntry entryOf(const ListedHost& host)
    {
        return { host.host, host.zone, host.domain, host.service, host.incarnation, host.leaving };
    }

    HostAnswer answerOf(const EngineStatus& status)
    {
        return { status.incarnation, status.leaving, phaseOf(status.state), status.claim,
            status.running + status.queued };
    }

}

void HostTracker::setListed(std::span<const ListedHost> hosts, MonotonicTime now)
{
    std::vector<HostEntry> entries;
    for (const auto& host : hosts)
        entries.push_back(entryOf(host));
    std::lock_guard lock(m_mutex);
    m_registry.setListed(entries, now);
}

void HostTracker::recordStatus(const EngineStatus& status)
{
    std::lock_guard lock(m_mutex);
    m_registry.recordAnswer(status.host, answerOf(status), status.readAt, monotonicNow());
}

void HostTracker::recordNoAnswer(std::string_view host, MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    m_registry.recordNoAnswer(host, now);
}

void HostTracker::recordOrder(std::string_view host, Offset claim, MonotonicTime now)
{
    std::lock_guard lock(m_mutex);
    m_registry.recordOrder(host, claim, now);
}

HostRegistry HostTracker::registry() const
{
    std::lock_guard lock(m_mutex);
    return m_registry;
}

} // namespace Kumquatpick
