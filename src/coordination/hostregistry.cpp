#include "coordination/hostregistry.h"

#include <algorithm>
#include <set>

namespace Kumquatpick {

namespace {

    constexpr std::chrono::minutes unlistedRetention { 10 };

    void updateListing(HostView& view, bool listed, uint64_t incarnation, MonotonicTime now)
    {
        if (view.listed != listed || view.listedIncarnation != incarnation)
            view.listedSince = now;
        view.listed = listed;
        view.listedIncarnation = incarnation;
    }

}

HostView& HostRegistry::view(std::string_view host, MonotonicTime now)
{
    auto found = m_views.find(host);
    if (found != m_views.end())
        return found->second;
    HostView& fresh = m_views[std::string(host)];
    fresh.listedSince = now;
    fresh.answeringSince = now;
    return fresh;
}

void HostRegistry::setListed(std::span<const HostEntry> entries, MonotonicTime now)
{
    m_hostDataSince = std::min(m_hostDataSince, now);
    std::set<std::string_view> listed;
    for (const HostEntry& entry : entries) {
        listed.insert(entry.host);
        HostView& host = view(entry.host, now);
        host.zone = entry.zone;
        host.domain = entry.domain;
        host.service = entry.service;
        host.leaving = entry.leaving;
        updateListing(host, true, entry.incarnation, now);
    }
    for (auto& [name, host] : m_views) {
        if (!listed.contains(name))
            updateListing(host, false, host.listedIncarnation, now);
    }
    removeLongUnlisted(now);
}

void HostRegistry::recordAnswer(
    std::string_view host, const HostAnswer& answer, MonotonicTime askedAt, MonotonicTime now)
{
    HostView& known = view(host, now);
    // The answers to probes may arrive out of order.
    if (askedAt < known.statusAt)
        return;
    setAnswering(known, true, now);
    known.incarnation = answer.incarnation;
    known.engineLeaving = answer.leaving;
    known.phase = answer.phase;
    known.claim = answer.claim;
    known.requests = answer.requests;
    known.statusAt = askedAt;
}

void HostRegistry::recordNoAnswer(std::string_view host, MonotonicTime now)
{
    setAnswering(view(host, now), false, now);
}

void HostRegistry::recordOrder(std::string_view host, Offset claim, MonotonicTime now)
{
    view(host, now).lastOrder = SentOrder { claim, now };
}

void HostRegistry::setAnswering(HostView& host, bool answering, MonotonicTime now)
{
    if (host.answering != answering)
        host.answeringSince = now;
    host.answering = answering;
}

void HostRegistry::removeLongUnlisted(MonotonicTime now)
{
    std::erase_if(m_views, [&](const auto& entry) {
        const HostView& host = entry.second;
        return !host.listed && !host.answering
            && now - std::max(host.listedSince, host.answeringSince) > unlistedRetention;
    });
}

} // namespace Kumquatpick
