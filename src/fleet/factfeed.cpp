#include "fleet/factfeed.h"

namespace Kumquatpick {

namespace {

    // A stalled replica is dissolved or recovers within about a second.
    constexpr Milliseconds stallLifetime { 1500 };
    // By then the list of backend servers has the status.
    constexpr Milliseconds statusLifetime { 3000 };

    struct Key {
        std::string operator()(const StalledHead& head) const { return "stall/" + head.hostId; }
        std::string operator()(const ReportedStatus& reported) const { return "status/" + reported.hostId; }
    };

    struct Lifetime {
        Milliseconds operator()(const StalledHead&) const { return stallLifetime; }
        Milliseconds operator()(const ReportedStatus&) const { return statusLifetime; }
    };

    std::string keyOf(const HostFact& fact) { return std::visit(Key {}, fact.content); }

}

Milliseconds FactFeed::lifetimeOf(const HostFact& fact) { return std::visit(Lifetime {}, fact.content); }

FactFeed::FactFeed(std::string origin)
    : m_origin(std::move(origin))
{
}

void FactFeed::publish(std::variant<StalledHead, ReportedStatus> content, MonotonicTime observedAt)
{
    HostFact fact { m_origin, ++m_published, {}, std::move(content) };
    std::string key = keyOf(fact);
    add(std::move(key), Entry { std::move(fact), observedAt, {}, 0 });
}

bool FactFeed::merge(const HostFact& fact, std::string_view source, MonotonicTime now)
{
    if (fact.origin == m_origin || fact.age > lifetimeOf(fact))
        return false;
    std::string key = keyOf(fact);
    MonotonicTime observedAt = now - fact.age;
    auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        const Entry& entry = known->second;
        bool isNewer
            = entry.fact.origin == fact.origin ? fact.number > entry.fact.number : observedAt > entry.observedAt;
        if (!isNewer)
            return false;
    }
    add(std::move(key), Entry { fact, observedAt, std::string(source), 0 });
    return true;
}

void FactFeed::add(std::string key, Entry entry)
{
    auto known = m_entries.find(key);
    if (known != m_entries.end())
        entry.version = known->second.version;
    m_changes.record(key, entry.version);
    m_entries.insert_or_assign(std::move(key), std::move(entry));
}

void FactFeed::expire(MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const Entry& entry = item.second;
        bool isExpired = now - entry.observedAt > lifetimeOf(entry.fact);
        if (isExpired)
            m_changes.erase(entry.version);
        return isExpired;
    });
}

FactFeed::Changes FactFeed::changesSince(
    uint64_t version, std::string_view receiver, size_t most, MonotonicTime now) const
{
    Changes changes;
    auto visited = m_changes.visitSince(version, [&](const std::string& key) {
        const Entry& entry = m_entries.find(key)->second;
        if (entry.source == receiver)
            return true;
        if (changes.facts.size() == most)
            return false;
        changes.facts.push_back(entry.fact);
        changes.facts.back().age = std::chrono::ceil<Milliseconds>(now - entry.observedAt);
        return true;
    });
    changes.through = visited.through;
    return changes;
}

std::vector<std::string> FactFeed::recentStalls(Milliseconds within, MonotonicTime now) const
{
    std::vector<std::string> result;
    for (const auto& [key, entry] : m_entries) {
        auto* stall = std::get_if<StalledHead>(&entry.fact.content);
        if (stall && now - entry.observedAt < within)
            result.push_back(stall->hostId);
    }
    return result;
}

std::optional<MonotonicTime> FactFeed::stallObservedAt(std::string_view hostId) const
{
    std::optional<MonotonicTime> latest;
    for (const auto& [key, entry] : m_entries) {
        auto* stall = std::get_if<StalledHead>(&entry.fact.content);
        if (stall && stall->hostId == hostId)
            latest = std::max(latest.value_or(entry.observedAt), entry.observedAt);
    }
    return latest;
}

} // namespace Kumquatpick
