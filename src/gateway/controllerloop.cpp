#include "gateway/controllerloop.h"

#include "gateway/asio.h"
#include "gateway/task.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds tickPeriod { 100 };
    constexpr std::chrono::seconds summaryPeriod { 1 };
    // Hosts answer status requests within a round trip, without occupying a slot.
    constexpr Milliseconds statusTimeout { 100 };
    constexpr Milliseconds orderTimeout { 600 };
    constexpr Milliseconds statusPeriod { 180 };
    constexpr Milliseconds silentStatusPeriod { 400 };
    constexpr Milliseconds deferredStatusPeriod { 400 };
    // Concurrent status requests. Requests to silent hosts last until their timeout, so after a partition the first
    // lost hosts fill this limit and the others wait. A node that polled 500 hosts at once read none of the responses
    // in time.
    constexpr size_t maxStatusCalls = 48;
    // Hosts polled through peers at the same time, each of them through several peers.
    constexpr size_t maxRelayedCalls = 16;
    constexpr int failuresUntilSilent = 2;
    // If this node's event loop was blocked for longer during an unanswered status request, the delay may have been on
    // this node.
    constexpr Milliseconds maxExcusedPause { 40 };
    // Enough to distinguish a dead host from one behind a partition; all peers in a small fleet.
    constexpr size_t maxRelayPeers = 8;
    constexpr Milliseconds relayTimeout { 300 };
    constexpr Milliseconds contactValidity { 2000 };
    constexpr std::chrono::seconds contactRetention { 30 }; // After a host was unlisted.
    // A head may stall again after a stall that was disproved; older progress does not tell the two apart.
    constexpr Milliseconds progressDisproves { 1000 };
    // Nodes that start later, or missed a status, get it again.
    constexpr Milliseconds republishPeriod { 1000 };

}

ControllerLoop::ControllerLoop(GatewayContext& context, ControllerLease& lease, Peers& peers, const LoadExchange& loads)
    : m_context(context)
    , m_lease(lease)
    , m_peers(peers)
    , m_loads(loads)
{
}

asio::awaitable<void> ControllerLoop::run()
{
    for (;;) {
        co_await sleepFor(tickPeriod);
        // Every node tracks the demand, so that a new controller has it for its first plan.
        if (m_context.routes)
            updateDemand();
        auto fencing = m_lease.fencing();
        if (fencing && m_context.routes && m_context.hasHostList && !m_context.isStopping())
            tick(*fencing);
    }
}

void ControllerLoop::tick(uint64_t fencing)
{
    if (!m_planner || fencing != m_fencing) {
        m_planner = std::make_unique<FleetPlanner>(fencing);
        m_contacts.clear();
        m_fencing = fencing;
    }
    if (m_addressesVersion != m_context.hosts.version()) {
        for (const auto& [id, host] : m_context.hosts.hosts())
            m_addresses.insert_or_assign(id, host.address);
        m_addressesVersion = m_context.hosts.version();
    }
    HostIdSet hostsToPoll;
    HostIdSet hostsToPollLater;
    bool isSummaryDue = m_context.now() - m_summaryAt >= summaryPeriod;
    if (isSummaryDue)
        m_summaryAt = m_context.now();
    for (const ServiceSpec* service : m_planner->beginRound(m_context.routes->config())) {
        planService(*service, fencing, isSummaryDue);
        const ReplicaPlanner& planner = m_planner->plannerOf(service->name);
        hostsToPoll.insert(planner.hostsToPoll().begin(), planner.hostsToPoll().end());
        hostsToPollLater.insert(planner.hostsToPollLater().begin(), planner.hostsToPollLater().end());
    }
    pollHosts(hostsToPoll, hostsToPollLater);
}

void ControllerLoop::planService(const ServiceSpec& service, uint64_t fencing, bool isSummaryDue)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::Planning);
    ReplicaPlanner& planner = m_planner->plannerOf(service.name);
    auto wanted = m_demand.wantedReplicas(service, m_context.hosts);
    bool anyCallSeen = m_context.anyCallSeen || m_peers.anyCallSeen();
    ProgressTimes progress = progressTimes();
    HostIdSet stalledHosts = stalledHeads(service, progress);
    PlannerInput input { m_context.now(), m_context.hosts, service, wanted,
        [this](std::string_view id) { return contact(id); },
        [&stalledHosts](std::string_view id) { return stalledHosts.contains(id); }, !anyCallSeen,
        m_context.disabledMechanisms, [this](std::string_view id) { return m_context.balancer.inFlightAtHost(id); },
        [this](std::string_view zone) { return m_context.evacuations.isEvacuated(zone); },
        [&progress](std::string_view id) {
            auto found = progress.find(id);
            return found == progress.end() ? std::nullopt : std::optional(found->second);
        },
        m_context.reach.isCutOff(service.name) };
    auto orders = planner.plan(input);
    logHealthChanges(service.name, planner);
    if (isSummaryDue)
        summarize(input, planner);
    for (HostOrder& order : orders) {
        auto address = m_addresses.find(order.hostId);
        if (address != m_addresses.end())
            asio::co_spawn(m_context.io, send(std::move(order), address->second, service.name, fencing),
                loggingFailure(m_context.log, "sending an order"));
    }
}

// Once a second, for the logs and the metrics.
void ControllerLoop::summarize(const PlannerInput& input, const ReplicaPlanner& planner)
{
    const ServiceSpec& service = input.service;
    auto summary = planner.summary(input);
    std::map<std::string, double> inFlight;
    for (const ModelSpec& model : service.models)
        inFlight[model.name] = m_demand.demandedSlots(service, model);
    for (HealthState state : { HealthState::Whole, HealthState::InDoubt, HealthState::Broken })
        m_context.metrics.set(
            fmt::format("replicas_by_health{{service=\"{}\",health=\"{}\"}}", service.name, name(state)),
            summary.health[state]);
    m_context.log.write("replicas",
        { { "service", service.name }, { "open", summary.open }, { "forming", summary.forming },
            { "wanted", input.wantedReplicas }, { "in_flight", inFlight }, { "dissolving", summary.dissolving },
            { "free_hosts", summary.freeHosts }, { "loads", summary.loads }, { "shift", summary.shift },
            { "in_doubt", summary.health[HealthState::InDoubt] }, { "free_by_domain", summary.freeByDomain },
            { "planned_by_domain", summary.plannedByDomain }, { "free_by_reason", summary.freeByReason } });
    for (const auto& [reason, hosts] : summary.freeByReason) {
        m_context.metrics.count(
            fmt::format("free_host_seconds_total{{reason=\"{}\"}}", reason), hosts * summaryPeriod.count());
    }
}

// When the streams of each head last went on at any node.
ControllerLoop::ProgressTimes ControllerLoop::progressTimes() const
{
    MonotonicTime now = m_context.now();
    ProgressTimes times = m_context.balancer.progressSince(now - maxProgressAge);
    const NodeLoads* others = m_loads.others();
    MonotonicTime receivedAt = others ? m_loads.updatedAt().value_or(now) : now;
    for (const auto& [id, age] : others ? others->progressAges : m_peers.progressOfOthers()) {
        MonotonicTime& latest = times.try_emplace(id, receivedAt - age).first->second;
        latest = std::max(latest, receivedAt - age);
    }
    return times;
}

// Heads whose streams stand still as this node or another one sees it, unless they went on at any node since.
ControllerLoop::HostIdSet ControllerLoop::stalledHeads(const ServiceSpec& service, const ProgressTimes& progress)
{
    MonotonicTime now = m_context.now();
    bool isCutOff = m_context.reach.isCutOff(service.name);
    auto hasProgressedSince = [&progress, now](const std::string& id, MonotonicTime since) {
        auto found = progress.find(id);
        return found != progress.end() && found->second > since && now - found->second < progressDisproves;
    };
    HostIdSet stalled = stalledHeads();
    std::erase_if(stalled,
        [&](const std::string& id) { return hasProgressedSince(id, m_peers.stallObservedAt(id).value_or(now)); });
    std::erase_if(m_suspectedSince,
        [&](const auto& entry) { return isCutOff || !m_context.balancer.isSuspected(entry.first, now); });
    for (const std::string& id : m_context.balancer.suspectedTargets(now)) {
        MonotonicTime since = m_suspectedSince.try_emplace(id, now).first->second;
        if (!isCutOff && !hasProgressedSince(id, since))
            stalled.insert(id);
    }
    return stalled;
}

void ControllerLoop::logHealthChanges(const std::string& service, ReplicaPlanner& planner)
{
    MonotonicTime now = m_context.now();
    auto ageMs = [now](std::optional<MonotonicTime> at) {
        return at ? nlohmann::json(std::chrono::floor<Milliseconds>(now - *at).count()) : nlohmann::json();
    };
    for (const ReplicaPlanner::HealthChange& change : planner.takeHealthChanges()) {
        nlohmann::json suspects = nlohmann::json::object();
        for (const auto& [id, since] : change.health.suspects)
            suspects[id] = { { "contact", name(contact(id)) }, { "listed", m_context.hosts.find(id) != nullptr },
                { "for_ms", ageMs(since) } };
        m_context.metrics.count(fmt::format("replica_health_changes_total{{to=\"{}\",reason=\"{}\"}}",
            name(change.health.state), name(change.health.reason)));
        m_context.log.write("replica_health",
            { { "service", service }, { "replica", change.replica }, { "epoch", change.epoch },
                { "model", change.model }, { "before", name(change.before) }, { "health", name(change.health.state) },
                { "reason", name(change.health.reason) }, { "host", change.health.hostId }, { "suspects", suspects },
                { "progress_age_ms", ageMs(change.evidence.progressAt) },
                { "progress_valid_ms", change.evidence.progressValidity.count() },
                { "in_flight", change.evidence.inFlight }, { "stalled", change.evidence.isStalled },
                { "observer_cut_off", change.evidence.isObserverCutOff } });
    }
}

// By the requests in flight at all nodes and those that any of them refused.
void ControllerLoop::updateDemand()
{
    const NodeLoads* others = m_loads.others();
    UnmetDemand unmetDemand = others ? others->unmetDemand : m_peers.unmetDemandOfOthers();
    for (const auto& [key, demand] : m_context.demand)
        unmetDemand[key] += demand.unmetDemand;
    m_demand.observe(
        m_context.routes->config(),
        [this](auto service, auto model) { return m_context.balancer.inFlightOf(service, model); }, unmetDemand);
}

// Heads of replicas that other nodes report as stalled.
ControllerLoop::HostIdSet ControllerLoop::stalledHeads() const
{
    auto heads = m_peers.stalledHeads();
    return { heads.begin(), heads.end() };
}

HostContact ControllerLoop::contact(std::string_view hostId) const
{
    // A listed incarnation is the newest one of its name.
    const Host* newest = m_context.hosts.find(hostId) ? nullptr : m_context.hosts.findByName(hostName(hostId));
    bool hasRestarted = newest != nullptr;
    auto found = m_contacts.find(hostId);
    if (found == m_contacts.end())
        return hasRestarted ? HostContact::Ended : HostContact::Unknown;
    const Contact& contact = found->second;
    if (contact.hasEnded || hasRestarted)
        return HostContact::Ended;
    if (contact.failures >= failuresUntilSilent && contact.isRefused)
        return HostContact::Refused;
    if (contact.failures >= failuresUntilSilent)
        return isUnreachableByAll(contact) ? HostContact::UnreachableByAll : HostContact::Unreachable;
    bool isFresh = m_context.now() - contact.answeredAt < contactValidity;
    return isFresh && contact.failures == 0 ? HostContact::Reachable : HostContact::Unknown;
}

// Polls the hosts on which pending decisions about replicas depend first, because the number of concurrent requests is
// limited.
void ControllerLoop::pollHosts(const HostIdSet& hostsToPoll, const HostIdSet& hostsToPollLater)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::Status);
    MonotonicTime now = m_context.now();
    std::erase_if(m_published, [&](const auto& entry) { return !m_context.hosts.find(entry.first); });
    std::erase_if(m_contacts, [&](const auto& entry) {
        return !entry.second.isPolling && !m_context.hosts.find(entry.first)
            && now - entry.second.polledAt > contactRetention;
    });
    std::vector<std::string> silent;
    for (const auto& [id, contact] : m_contacts) {
        if (contact.failures > 0 && !hostsToPoll.contains(id) && m_context.hosts.find(id))
            silent.push_back(id);
    }
    pollLeastRecent({ hostsToPoll.begin(), hostsToPoll.end() }, statusPeriod);
    pollLeastRecent(std::move(silent), silentStatusPeriod);
    pollLeastRecent({ hostsToPollLater.begin(), hostsToPollLater.end() }, deferredStatusPeriod);
    m_context.metrics.set("host_status_calls_in_flight", static_cast<double>(m_statusCalls));
}

// Hosts that were polled longest ago come first.
void ControllerLoop::pollLeastRecent(std::vector<std::string> hostIds, Milliseconds period)
{
    MonotonicTime now = m_context.now();
    std::erase_if(hostIds, [&](const std::string& id) {
        const Contact& contact = m_contacts[id];
        return contact.isPolling || now - contact.polledAt < period || !m_addresses.contains(id);
    });
    std::ranges::stable_sort(hostIds, {}, [this](const std::string& id) { return m_contacts[id].polledAt; });
    for (std::string& id : hostIds) {
        if (m_statusCalls >= maxStatusCalls)
            return;
        Contact& contact = m_contacts[id];
        contact.isPolling = true;
        contact.polledAt = now;
        ++m_statusCalls;
        Address address = m_addresses.find(id)->second;
        asio::co_spawn(m_context.io, pollStatus(std::move(id), std::move(address)),
            loggingFailure(m_context.log, "polling a host"));
    }
}

asio::awaitable<void> ControllerLoop::pollStatus(std::string hostId, Address address)
{
    m_context.metrics.count("host_status_calls_total");
    MonotonicTime askedAt = m_context.now();
    MonotonicTime asOf = askedAt - reportLag(hostId);
    auto answer = co_await m_context.pool.exchange(
        address, m_context.platform.statusRequest(hostId), statusTimeout, Step::Probe);
    auto* error = std::get_if<Error>(&answer);
    bool isUnanswered = error && error->code != ErrorCode::Refused;
    bool wasOwnPause = isUnanswered && m_context.pauses.since(askedAt, m_context.now()) > maxExcusedPause;
    m_contacts[hostId].isRefused = error && !isUnanswered;
    if (!isUnanswered)
        m_contacts[hostId].relayPeer.clear();
    else if (!wasOwnPause && m_relayedCalls < maxRelayedCalls) {
        ++m_relayedCalls;
        answer = co_await pollThroughPeers(hostId, address);
        --m_relayedCalls;
    }
    --m_statusCalls;
    m_contacts[hostId].isPolling = false;
    if (wasOwnPause) {
        m_context.metrics.count("host_status_calls_unread_total");
        co_return;
    }
    LoopTime::Section section(m_context.loopTime, LoopPart::Status);
    applyStatusResponse(hostId, answer, asOf);
}

void ControllerLoop::applyStatusResponse(
    const std::string& hostId, const Settled<HttpResponse>& answer, MonotonicTime asOf)
{
    auto* response = std::get_if<HttpResponse>(&answer);
    auto status
        = response ? m_context.platform.status(hostId, *response) : Settled<HostStatus>(std::get<Error>(answer));
    if (auto* error = std::get_if<Error>(&status))
        return recordFailure(hostId, *error);
    Contact& contact = m_contacts[hostId];
    contact.failures = 0;
    contact.peersFailed.clear();
    contact.answeredAt = m_context.now();
    m_context.hosts.applyReport(hostId, std::move(std::get<HostStatus>(status)), asOf);
    publishStatus(hostId, asOf);
}

Milliseconds ControllerLoop::reportLag(std::string_view hostId) const
{
    const Host* host = m_context.hosts.find(hostId);
    const ServiceSpec* service = host && m_context.routes ? m_context.routes->config().service(host->service) : nullptr;
    return service ? service->timing.reportLag : Milliseconds(0);
}

void ControllerLoop::recordFailure(const std::string& hostId, const Error& error)
{
    Contact& contact = m_contacts[hostId];
    contact.hasEnded = contact.hasEnded || error.code == ErrorCode::NotFound;
    if (++contact.failures <= failuresUntilSilent)
        m_context.log.write("host_silent",
            { { "host", hostId }, { "failures", contact.failures }, { "ended", contact.hasEnded },
                { "problem", describe(error) } });
}

// A partition may separate a host from some nodes only. Peers are asked concurrently, because streams are stalled until
// the result is known.
asio::awaitable<Settled<HttpResponse>> ControllerLoop::pollThroughPeers(std::string hostId, Address address)
{
    std::vector<std::string> peers = m_peers.aliveAddresses();
    if (m_context.disabledMechanisms.contains(Mechanism::RelayedProbes))
        peers.clear();
    std::ranges::shuffle(peers, m_context.random);
    std::stable_partition(peers.begin(), peers.end(),
        [&](const std::string& peer) { return !m_contacts[hostId].peersFailed.contains(peer); });
    peers.resize(std::min(peers.size(), maxRelayPeers));
    auto poll = std::make_shared<RelayedPoll>(m_context.io.get_executor(), peers.size());
    poll->done.expires_after(relayTimeout);
    for (const std::string& peer : peers)
        asio::co_spawn(m_context.io, pollThroughPeer(peer, hostId, address, poll),
            loggingFailure(m_context.log, "polling a host through a peer"));
    if (poll->unanswered > 0)
        co_await poll->done.async_wait(asTuple);
    if (poll->answer)
        co_return *poll->answer;
    m_contacts[hostId].relayPeer.clear();
    co_return Error { ErrorCode::Unreachable, Step::Probe, hostId, "no peer can reach the host" };
}

asio::awaitable<void> ControllerLoop::pollThroughPeer(
    std::string peer, std::string hostId, Address address, std::shared_ptr<RelayedPoll> poll)
{
    auto answer = co_await m_peers.relay(peer, address, m_context.platform.statusRequest(hostId));
    Contact& contact = m_contacts[hostId];
    if (auto* response = std::get_if<HttpResponse>(&answer)) {
        contact.relayPeer = peer;
        poll->answer = *response;
        poll->unanswered = 0;
    } else {
        if (std::get<Error>(answer).code != ErrorCode::Malformed)
            contact.peersFailed.insert(peer);
        poll->unanswered -= std::min<size_t>(1, poll->unanswered);
    }
    if (poll->unanswered == 0)
        poll->done.cancel();
}

bool ControllerLoop::isUnreachableByAll(const Contact& contact) const
{
    std::vector<std::string> peers = m_peers.aliveAddresses();
    auto failed = static_cast<size_t>(
        std::ranges::count_if(peers, [&](const std::string& peer) { return contact.peersFailed.contains(peer); }));
    return contact.failures >= failuresUntilSilent && failed >= std::min(peers.size(), maxRelayPeers);
}

asio::awaitable<Settled<HttpResponse>> ControllerLoop::callHost(
    std::string hostId, Address address, HttpRequest request, Milliseconds timeout, Step step)
{
    auto contact = m_contacts.find(hostId);
    if (contact != m_contacts.end() && !contact->second.relayPeer.empty())
        co_return co_await m_peers.relay(contact->second.relayPeer, address, std::move(request));
    co_return co_await m_context.pool.exchange(address, std::move(request), timeout, step);
}

asio::awaitable<void> ControllerLoop::send(HostOrder order, Address address, std::string service, uint64_t fencing)
{
    m_context.metrics.count("orders_total");
    if (m_context.disabledMechanisms.contains(Mechanism::ConditionalJoins))
        order.expectedOrderCount.reset();
    auto answer
        = co_await callHost(order.hostId, address, m_context.platform.order(order, fencing), orderTimeout, Step::Order);
    auto* response = std::get_if<HttpResponse>(&answer);
    OrderResult result = response ? m_context.platform.orderResult(*response) : OrderResult::Lost;
    nlohmann::json fields { { "order", name(order.kind) }, { "host", order.hostId }, { "service", service },
        { "replica", order.replica }, { "epoch", order.epoch }, { "model", order.model }, { "fencing", fencing },
        { "result", name(result) } };
    if (!response)
        fields["problem"] = describe(std::get<Error>(answer));
    else if (response->result_int() >= 400)
        fields["problem"] = response->body().substr(0, 200);
    m_context.log.write("order", std::move(fields));
    if (result == OrderResult::Fenced)
        m_lease.endFencedTerm(fencing);
    m_contacts[order.hostId].polledAt = {}; // The next status request is due at once.
    if (result == OrderResult::Gone)
        m_contacts[order.hostId].hasEnded = true; // Its entry remains listed until it expires.
    ReplicaPlanner* planner = fencing == m_fencing && m_planner ? m_planner->find(service) : nullptr;
    if (planner)
        planner->orderEnded(order, result, m_context.now());
}

// Tells the other nodes of a status that is ahead of the list, when it changes and now and then.
void ControllerLoop::publishStatus(const std::string& hostId, MonotonicTime asOf)
{
    const Host* host = m_context.hosts.find(hostId);
    if (!host || !m_context.hosts.differsFromList(hostId))
        return;
    PublishedStatus& published = m_published[hostId];
    if (published.status == host->status && asOf - published.at < republishPeriod)
        return;
    published = { host->status, asOf };
    m_peers.publishStatus({ hostId, host->status }, asOf);
}

} // namespace Kumquatpick
