#include "suspicion/suspicion.h"

#include "base/hash.h"
#include "suspicion/suspicionstate.h"

#include <fmt/format.h>
#include <mutex>
#include <string>

namespace Kumquatpick {

uint64_t requestFingerprint(const RequestContent& request)
{
    uint64_t fingerprint = hash64(request.target);
    // Without these the fingerprint is that of target and body alone.
    if (!request.caller.empty())
        fingerprint = hash64(request.caller, fingerprint);
    if (!request.host.empty())
        fingerprint = hash64(request.host, fingerprint);
    return hash64(request.body, fingerprint);
}

std::string fingerprintName(uint64_t fingerprint) { return fmt::format("{:016x}", fingerprint); }

std::string suspectName(const Suspect& suspect)
{
    return suspect.kind == SuspectKind::Request ? fingerprintName(suspect.id) : fmt::format("{:x}", suspect.id);
}

std::vector<std::string> promptPartNames(const RunSuspects& run)
{
    std::vector<std::string> names;
    for (uint64_t part : run.promptParts)
        names.push_back(suspectName({ SuspectKind::PromptPart, part }));
    return names;
}

struct SuspicionTable::Impl {
    explicit Impl(uint64_t selfIncarnation)
        : state(selfIncarnation)
    {
    }

    mutable std::mutex mutex;
    SuspicionState state;
};

SuspicionTable::SuspicionTable(uint64_t selfIncarnation)
    : m_impl(std::make_unique<Impl>(selfIncarnation))
{
}

SuspicionTable::~SuspicionTable() = default;

bool SuspicionTable::mayDispatch(uint64_t fingerprint, MonotonicTime now) const
{
    std::lock_guard lock(m_impl->mutex);
    return m_impl->state.verdict(fingerprint, now) == SuspicionVerdict::Clear;
}

Milliseconds SuspicionTable::retryAfter(uint64_t fingerprint, MonotonicTime now) const
{
    std::lock_guard lock(m_impl->mutex);
    return m_impl->state.retryAfter(fingerprint, now);
}

std::vector<std::string> SuspicionTable::replicasToAvoid(uint64_t fingerprint, MonotonicTime now) const
{
    std::lock_guard lock(m_impl->mutex);
    return m_impl->state.replicasToAvoid(fingerprint, now);
}

void SuspicionTable::dispatched(uint64_t fingerprint, std::string_view replica, MonotonicTime now)
{
    std::lock_guard lock(m_impl->mutex);
    m_impl->state.dispatched(fingerprint, replica, now);
}

void SuspicionTable::finished(uint64_t fingerprint, std::string_view replica, MonotonicTime now)
{
    std::lock_guard lock(m_impl->mutex);
    m_impl->state.finished(fingerprint, replica, now);
}

void SuspicionTable::withdrawn(uint64_t fingerprint, std::string_view replica)
{
    std::lock_guard lock(m_impl->mutex);
    m_impl->state.withdrawn(fingerprint, replica);
}

void SuspicionTable::replicaDied(std::string_view replica, MonotonicTime now)
{
    std::lock_guard lock(m_impl->mutex);
    m_impl->state.replicaDied(replica, now);
}

std::vector<SuspicionCount> SuspicionTable::counts() const
{
    std::lock_guard lock(m_impl->mutex);
    return m_impl->state.counts();
}

void SuspicionTable::merge(std::span<const SuspicionCount> counts, MonotonicTime now)
{
    std::lock_guard lock(m_impl->mutex);
    m_impl->state.merge(counts, now);
}

} // namespace Kumquatpick
