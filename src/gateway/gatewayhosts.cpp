#include "gateway/gateway.h"

#include "gateway/asio.h"
#include "gateway/serverends.h"
#include "gateway/task.h"

#include <nlohmann/json.hpp>

// The part of Gateway that maintains the host table from the list of backend servers.

namespace Kumquatpick {

namespace {

    // Entries that expired during an outage of the store are back within two seconds of its end, whatever the time
    // between heartbeats.
    constexpr Milliseconds entryRecoveryTime { 2200 };
    // Added to the time between heartbeats, in which a host whose entry was overwritten writes it again.
    constexpr Milliseconds heartbeatDelay { 100 };
    // A record reaches all nodes within this time.
    constexpr Milliseconds listDelay { 700 };
    constexpr size_t maxUnreadableKeys = 1000; // Keys; further ones are not logged.
    constexpr std::chrono::seconds addressRetention { 60 };

}

LogFollower::Handlers Gateway::hostHandlers()
{
    return { [this] {
                m_listedNames.clear();
                m_hostsWithoutService.clear(); // The listing contains all entries again.
            },
        [this](const LogRecord& record) {
            m_listedNames.insert(record.key);
            // An exception would end the task that follows the list, and so the node. The record stays in the list and
            // would end each node after each start, so it costs its entry only.
            try {
                return applyHostRecord(record);
            } catch (const std::exception& failure) {
                m_context.metrics.count("host_entries_failed_total");
                handleUnreadableEntry(
                    record.key, { ErrorCode::Internal, Step::MembershipRead, "store", failure.what() });
                return true;
            }
        },
        [this] { removeUnlistedHosts(); }, [this] { m_context.hosts.setListReadAt(m_context.now()); } };
}

// Returns false if the entry contains nothing new.
bool Gateway::applyHostRecord(const LogRecord& record)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::List);
    if (record.isReadable && !record.value) {
        m_unreadableHosts.erase(record.key);
        m_hostsWithoutService.erase(record.key);
        removeHost(record.key);
        return true;
    }
    auto host = record.isReadable
        ? m_context.platform.host(record.key, *record.value)
        : Settled<Host>(Error { ErrorCode::Malformed, Step::MembershipRead, "store", "bytes" });
    if (auto* error = std::get_if<Error>(&host)) {
        handleUnreadableEntry(record.key, *error);
        return true;
    }
    return applyHostEntry(record.key, std::get<Host>(std::move(host)));
}

bool Gateway::applyHostEntry(const std::string& key, Host host)
{
    bool isOfNoService = m_context.routes && !m_context.routes->config().service(host.service);
    if (isOfNoService) {
        handleUnreadableEntry(key,
            { ErrorCode::Malformed, Step::MembershipRead, "store",
                "the configuration has no service " + host.service });
        if (m_hostsWithoutService.size() < maxUnreadableKeys)
            m_hostsWithoutService.insert_or_assign(key, std::move(host));
        return true;
    }
    // Cancelling a pending removal counts as news for nodes that read the list from this one.
    bool isBack = m_pendingRemovals.erase(key) > 0;
    isBack = m_unreadableHosts.erase(key) > 0 || isBack;
    m_hostsWithoutService.erase(key);
    bool wasCold = m_context.balancer.warmups().isCold(host.id, m_context.now());
    noteWarmup(host);
    // It changes with each heartbeat, and nothing but the warm-up limits depends on it.
    bool isCold = std::exchange(host.warmupLeft, Milliseconds(0)) > Milliseconds(0);
    const Host* known = m_context.hosts.find(host.id);
    // Those that read the store log it for all: a line for each host on each node is most of what a starting fleet
    // writes.
    if (m_hostFollower.mayReadStore() && (!known || (host.draining && !known->draining)))
        m_context.log.write("host_listed",
            { { "host", host.id }, { "service", host.service }, { "draining", host.draining }, { "zone", host.zone },
                { "domain", host.status.domain } });
    return m_context.hosts.applyListEntry(std::move(host), m_context.now()) || isBack || isCold || wasCold;
}

void Gateway::noteWarmup(const Host& host)
{
    if (!m_context.balancer.warmups().reportCold(host.id, host.service, host.warmupLeft, m_context.now()))
        return;
    m_context.metrics.count("server_warmups_total");
    if (m_hostFollower.mayReadStore())
        m_context.log.writeRoutine("server_warmup",
            { { "host", host.id }, { "service", host.service }, { "left_ms", host.warmupLeft.count() } });
}

// The servers of a zone that was evacuated may be cold, and their entries may be older than that.
void Gateway::assumeColdZone(std::string_view zone)
{
    if (!m_context.routes)
        return;
    size_t servers = 0;
    for (const auto& [id, host] : m_context.hosts.hosts()) {
        const ServiceSpec* service = m_context.routes->config().service(host.service);
        if (host.zone != zone || !service || service->coldRequestsPerSecond <= 0)
            continue;
        m_context.balancer.warmups().assumeCold(id, host.service, service->warmup, m_context.now());
        ++servers;
    }
    if (servers > 0)
        m_context.log.write("zone_warmup", { { "zone", zone }, { "servers", servers } });
}

void Gateway::applyColdRates()
{
    for (const ServiceSpec& service : m_context.routes->config().services)
        m_context.balancer.warmups().setRate(service.name, service.coldRequestsPerSecond, m_context.now());
}

void Gateway::retryHostsWithoutService()
{
    auto waiting = std::move(m_hostsWithoutService);
    m_hostsWithoutService.clear();
    for (auto& [key, host] : waiting)
        applyHostEntry(key, std::move(host));
}

// An unreadable entry names no usable host. A host listed under the same key is removed unless its next heartbeat
// rewrites the entry in time.
void Gateway::handleUnreadableEntry(const std::string& key, const Error& problem)
{
    if (m_unreadableHosts.size() < maxUnreadableKeys && m_unreadableHosts.insert(key).second)
        m_context.log.write("host_unreadable", { { "host", key }, { "problem", describe(problem) } });
    if (m_context.hosts.findByName(key))
        m_pendingRemovals.try_emplace(key, m_context.now() + overwrittenEntryGrace());
}

// It may have been the entry of a host that is leaving.
Milliseconds Gateway::overwrittenEntryGrace() const
{
    const GatewaySettings& settings = m_context.settings;
    return std::clamp(settings.leaveWithin - listDelay, Milliseconds(0), settings.heartbeat + heartbeatDelay);
}

void Gateway::removeUnlistedHosts()
{
    std::vector<std::string> gone;
    for (const auto& [id, host] : m_context.hosts.hosts()) {
        if (!m_listedNames.contains(hostName(id)))
            gone.emplace_back(hostName(id));
    }
    for (const std::string& name : gone)
        removeHost(name);
    m_context.hasHostList = true;
}

// Entries that expire during a store outage return shortly after it if their hosts are alive.
void Gateway::removeHost(const std::string& name)
{
    const Host* host = m_context.hosts.findByName(name);
    if (!host)
        return;
    MonotonicTime entriesAreBack = m_health.servedSince() + entryRecoveryTime;
    if (m_context.now() < entriesAreBack) {
        m_pendingRemovals.try_emplace(name, entriesAreBack);
        return;
    }
    if (m_hostFollower.mayReadStore())
        m_context.log.write("host_unlisted", { { "host", host->id } });
    m_context.hosts.removeListEntry(std::string(host->id));
}

void Gateway::removeDueHosts()
{
    std::vector<std::string> due;
    for (const auto& [name, at] : m_pendingRemovals) {
        if (at <= m_context.now())
            due.push_back(name);
    }
    for (const std::string& name : due) {
        m_pendingRemovals.erase(name);
        removeHost(name);
    }
}

void Gateway::examineGoneHosts()
{
    for (GoneHost& host : m_context.hosts.takeGone()) {
        if (m_context.suspicion.hasUnanswered(host.id))
            asio::co_spawn(m_context.io, examineGoneHost(m_context, std::move(host)),
                loggingFailure(m_context.log, "examining a server that left the list"));
    }
}

void Gateway::refreshHostAddresses()
{
    MonotonicTime now = m_context.now();
    for (const auto& [id, host] : m_context.hosts.hosts())
        m_context.hostAddresses.insert_or_assign(host.address, now);
    std::erase_if(m_context.hostAddresses, [&](const auto& entry) { return now - entry.second > addressRetention; });
}

} // namespace Kumquatpick
