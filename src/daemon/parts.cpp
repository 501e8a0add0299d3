#include "daemon/parts.h"

#include "base/hash.h"
#include "base/logline.h"
#include "daemon/publisher.h"
#include "daemon/statusreport.h"
#include "fleet/hostlimits.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds routingPeriod { 50 };
    constexpr Milliseconds slotPeriod { 100 };
    constexpr Milliseconds listPeriod { 500 };
    constexpr Milliseconds publishTimeout { 5'000 };
    constexpr Milliseconds answerFetchTimeout { 500 };

    ControllerLoop::Settings controllerSettings(const DaemonSettings& settings)
    {
        ControllerLoop::Settings result;
        result.lease = settings.lease;
        result.orderTimeout = std::min(settings.engineOrderTimeout, Milliseconds(1'500));
        result.weightStore = settings.weightStore;
        return result;
    }

    SnapshotLoop::Settings snapshotSettings(const DaemonSettings& settings, const NodeId& self)
    {
        SnapshotLoop::Settings result;
        result.retention = settings.logRetention;
        result.recordInterval = settings.snapshotEvery;
        result.spread = static_cast<double>(hash64(self.name)) / static_cast<double>(UINT64_MAX);
        return result;
    }

    SlotService::Settings slotSettings(const DaemonSettings& settings)
    {
        SlotService::Settings result;
        result.retention = settings.keyRetention;
        return result;
    }

    ClusterView::Settings clusterSettings(const DaemonSettings& settings)
    {
        ClusterView::Settings result;
        result.gossip.period = settings.gossipPeriod;
        return result;
    }

    CallerSettings callerSettings(const DaemonSettings& settings)
    {
        CallerSettings result;
        result.ip = settings.callerListen.ip;
        result.port = settings.callerListen.port;
        result.threads = settings.callerThreads;
        result.bodyLimitBytes = settings.maxBodyBytes;
        result.clients = clientLimits({ settings.memoryMb, settings.maxDescriptors },
            { .memoryMb = settings.callerMemoryMb,
                .connections = settings.callerConnections,
                .memoryEighths = 3,
                .connectionSixteenths = 6 });
        result.requestReadTimeout = settings.readTimeout;
        result.answerLifetime = settings.answerRetention;
        result.answerStoreBytes = settings.answerBytes;
        return result;
    }

    EntryNode entryNode(const NodeDigest& digest)
    {
        return { digest.node.callerAddress, digest.node.zone, digest.streams, digest.stopping };
    }

}

Daemon::Parts::Parts(const DaemonSettings& given, NodeInfo info)
    : settings(given)
    , self(std::move(info))
    , traces(settings.traceFile, "kumquatpickd")
    , router(seededFromSystem()())
    , suspicion(self.id.incarnation)
    , directory(settings.probeLifetime)
    , backends(settings.backendThreads)
    , routing(directory, router, admission)
    , reader(LogClient(settings.logService, settings.logName), {}, seededFromSystem()())
    , appender(reader)
    , proposals(appender)
    , controller(self.id, controllerSettings(settings), reader, appender, directory, hosts)
    , snapshots(snapshotSettings(settings, self.id), reader, appender, [this] { return controller.holdsLease(); })
    , slots(
          self, slotSettings(settings),
          [this](const NodeInfo& to, const SlotMessage& message) {
              if (auto* active = activeTransport.load())
                  active->send(to, message);
          },
          [this](const SlotsProposal& proposal) { proposals.push(proposal); })
    , cluster({ [this] { return ownReport(); }, [this](const AcceptedText& text) { adoptText(text); },
                  [this] { onGossipRound(); }, {} },
          clusterSettings(settings), seededFromSystem()())
    , prober(directory, { settings.probePeriod, Milliseconds(300), 16 },
          { [this](const EngineStatus& status) { hosts.recordStatus(status); },
              [this](const std::string& host, const Error&) { hosts.recordNoAnswer(host, monotonicNow()); },
              [this](const EngineStatus& last) { onEngineReplaced(last); },
              [this](const CacheEventBatch& batch) { onCacheEvents(batch); } })
{
}

// Components that call others are stopped before those. The caller-facing server was drained before; it is destroyed
// after the threads that query its requests in flight and its stored answers.
Daemon::Parts::~Parts()
{
    subscriptions.clear();
    membership.reset();
    controller.stop();
    snapshots.stop();
    reader.stop();
    cluster.stop();
    activeTransport = nullptr;
    transport.reset();
    callerServer.reset();
}

Result<void> Daemon::Parts::start()
{
    PeerHandlers handlers { [this](const SlotMessage& message) { slots.deliver(message); },
        [this](
            const std::string& lookup) { return callerServer ? callerServer->storedAnswer(lookup) : StoredAnswer {}; },
        [this](const GossipMessage& message) { return cluster.answer(message); },
        [this] { return config.accepted(); } };
    callerServer = std::make_unique<CallerServer>(callerSettings(settings), collaborators());
    BOOST_LEAF_ASSIGN(transport, NodeTransport::start(self, std::move(handlers)));
    activeTransport = transport.get();
    // Started before the other components that have threads, as the log reader and the membership client call it.
    cluster.start(*transport);

    config.setListener([this](const OperatorConfig& text) { onConfigChanged(text); });
    reader.subscribe({ [this](const AppliedRecord& record, MonotonicTime readAt) { onRecordFolded(record, readAt); },
        [this](MonotonicTime readAt) { onStateRestored(readAt); } });
    reader.start();
    membership = std::make_unique<MembershipClient>(timers, MembershipSettings { settings.membership },
        [this](const MembershipSnapshot& list) { onMembershipChanged(list); });
    controller.start();
    snapshots.start();
    subscriptions.push_back(timers.every(routingPeriod, [this](MonotonicTime now) { refreshRouting(now); }));
    subscriptions.push_back(timers.every(listPeriod, [this](MonotonicTime) { updateListedNodes(); }));
    subscriptions.push_back(timers.every(listPeriod, [this](MonotonicTime) { stopIfReplaced(); }));
    subscriptions.push_back(timers.every(slotPeriod, [this](MonotonicTime now) { tickSlots(now); }));
    return callerServer->start();
}

void Daemon::Parts::onRecordFolded(const AppliedRecord& record, MonotonicTime readAt)
{
    controller.onRecordFolded(record, readAt);
    if (record.verdict != Verdict::Accepted)
        return;
    const RecordBody& body = record.logged.record.body;
    if (std::holds_alternative<ConfigProposal>(body)) {
        reader.withState([&](const State& state) { config.update(state.config()); });
        cluster.requestGossipRound();
    } else if (auto* proposal = std::get_if<SlotsProposal>(&body)) {
        std::vector<uint32_t> changed;
        for (const auto& change : proposal->changes)
            changed.push_back(change.slot);
        publishSlots(changed);
    } else if (!std::holds_alternative<LeaseProposal>(body)) {
        publishClaims();
    }
}

void Daemon::Parts::onStateRestored(MonotonicTime readAt)
{
    reader.withState([&](const State& state) {
        controller.onStateRestored(state, readAt);
        config.update(state.config());
    });
    publishClaims();
    std::vector<uint32_t> all(slotCount);
    for (uint32_t slot = 0; slot < slotCount; ++slot)
        all[slot] = slot;
    publishSlots(all);
}

void Daemon::Parts::publishClaims()
{
    reader.withState([&](const State& state) { directory.setClaims(state.claims()); });
    refreshProbeTargets();
}

void Daemon::Parts::publishSlots(std::span<const uint32_t> changed)
{
    std::set<NodeId> members;
    reader.withState([&](const State& state) {
        slots.applyAssignments(state.slots(), changed);
        for (uint32_t slot = 0; slot < slotCount; ++slot) {
            const SlotAssignment& assignment = state.slots().assignment(slot);
            members.insert(assignment.owner.id);
            members.insert(assignment.witness.id);
        }
    });
    std::lock_guard lock(membersMutex);
    slotMembers.assign(members.begin(), members.end());
}

void Daemon::Parts::onConfigChanged(const OperatorConfig& text)
{
    admission.configure(text);
    logLine(LogLevel::Info, "operators' text applied", { { "deployment", text.deployment } });
}

void Daemon::Parts::onMembershipChanged(const MembershipSnapshot& list)
{
    directory.setListed(list.backends);
    hosts.setListed(list.backends, monotonicNow());
    refreshProbeTargets();
}

// The cluster view treats a node as absent only after repeated readings, so an unchanged list is passed on again each
// time it is read.
void Daemon::Parts::updateListedNodes()
{
    auto list = membership->snapshot();
    if (!list || list->readAt == listReadAt)
        return;
    listReadAt = list->readAt;
    std::vector<NodeInfo> entries;
    for (const auto& entry : list->entries)
        entries.push_back(entry.node);
    cluster.setListedNodes(std::move(entries));
}

// A newer process runs under this node's name. Peers accept the newer incarnation and treat this one as dead.
void Daemon::Parts::stopIfReplaced()
{
    if (stopping || !cluster.isReplaced())
        return;
    logLine(LogLevel::Error, "a newer process runs under this node's name; stopping", { { "name", self.id.name } });
    stopping = true;
    kill(getpid(), SIGTERM); // Sent to the process, whose main thread takes it with sigwait(); raise() would signal
                             // only this thread.
}

// Probes every listed host, claimed or not, because the controller needs the engine state of free hosts too. The list
// does not always tell an address.
void Daemon::Parts::refreshProbeTargets()
{
    std::set<std::string> leaders;
    reader.withState([&](const State& state) {
        for (const auto& [offset, claim] : state.claims())
            leaders.insert(claim.proposal.hosts.front());
    });
    std::vector<ProbeTarget> targets;
    for (const auto& host : directory.listed()) {
        if (host.address.port != 0)
            targets.push_back({ host.host, host.address, leaders.contains(host.host) });
    }
    prober.setTargets(std::move(targets));
}

void Daemon::Parts::onEngineReplaced(const EngineStatus& lastStatus)
{
    if (!lastStatus.replica.empty())
        suspicion.replicaDied(lastStatus.replica, monotonicNow());
}

void Daemon::Parts::onCacheEvents(const CacheEventBatch& batch)
{
    bool gap = batch.gap;
    for (const auto& change : batch.changes) {
        router.cacheEvent(batch.service, { batch.replica, change.prefix, change.stored, gap });
        gap = false;
    }
}

OwnReport Daemon::Parts::ownReport()
{
    OwnReport report;
    report.stopping = stopping;
    report.configVersion = config.version();
    report.logOffset = reader.offset();
    report.streams = callerServer->inFlight();
    report.usage = admission.localUsage();
    report.suspicions = suspicion.counts();
    return report;
}

void Daemon::Parts::onGossipRound()
{
    auto usage = cluster.otherNodesUsage();
    admission.setRemoteUsage(usage);
    suspicion.merge(cluster.suspicions(), monotonicNow());
    std::lock_guard lock(usageMutex);
    remoteRunning.clear();
    for (const auto& team : usage)
        remoteRunning[team.service] += team.running;
}

void Daemon::Parts::adoptText(const AcceptedText& text)
{
    if (reader.adoptConfig(text.version, text.text))
        reader.withState([&](const State& state) { config.update(state.config()); });
}

void Daemon::Parts::refreshRouting(MonotonicTime now)
{
    auto text = config.text();
    if (!text)
        return;
    auto nodes = static_cast<uint32_t>(std::max<size_t>(1, cluster.liveNodes().size()));
    std::map<std::string, uint32_t> localRunning;
    for (const auto& team : admission.localUsage())
        localRunning[team.service] += team.running;
    std::lock_guard lock(usageMutex);
    routing.refresh(*text, { remoteRunning, localRunning, nodes }, now);
}

void Daemon::Parts::tickSlots(MonotonicTime now)
{
    std::vector<NodeId> members;
    {
        std::lock_guard lock(membersMutex);
        members = slotMembers;
    }
    auto live = cluster.liveNodes();
    slots.tick(now, wallNow(), live, cluster.provenGone(members));
    if (stopping)
        slots.handOver(live);
}

std::vector<EntryNode> Daemon::Parts::entryNodes() const
{
    std::vector<EntryNode> nodes;
    for (const auto& digest : cluster.entryNodes()) {
        if (digest.node.id != self.id)
            nodes.push_back(entryNode(digest));
    }
    nodes.push_back({ self.callerAddress, self.zone, callerServer->inFlight(), stopping });
    return nodes;
}

PublishOutcome Daemon::Parts::publish(const PublishRequest& request)
{
    auto outcome = publishText(appender, config.version(), request, monotonicNow() + publishTimeout);
    if (outcome.kind == PublishOutcome::Kind::Accepted)
        cluster.requestGossipRound();
    // The version read before the proposal may be older than the one that the proposal lost to.
    if (outcome.kind == PublishOutcome::Kind::Outdated) {
        reader.withState([&](const State& state) { config.update(state.config()); });
        outcome.version = config.version();
    }
    return outcome;
}

nlohmann::json Daemon::Parts::status() const
{
    std::vector<NodeStatus> nodes;
    for (const auto& digest : cluster.digests())
        nodes.push_back({ digest.node.id.name, digest.node.zone, digest.configVersion, digest.stopping });
    auto text = config.text();
    return statusReport({ self, text.get(), config.version(), reader.offset(), reader.reachable(),
        controller.holdsLease(), nodes, directory, monotonicNow() });
}

CallerDependencies Daemon::Parts::collaborators()
{
    CallerDependencies result { self, admission, router, retryBudget, suspicion, directory, metrics, traces, {}, {}, {},
        {}, {}, {}, {}, {}, {}, {}, {} };
    result.startCall = [this](BackendRequest request) { return backends.start(std::move(request)); };
    result.permit = [this](const RequestKey& key, ArrivalId arrival, MonotonicTime deadline) {
        return slots.permit(key, arrival, deadline);
    };
    result.makeVoid = [this](const RequestKey& key, ArrivalId arrival, MonotonicTime deadline) {
        return slots.makeVoid(key, arrival, deadline);
    };
    result.mintKey = [this](WallTime now) { return slots.mintKey(now); };
    result.fetchAnswer = [this](const NodeInfo& node, const std::string& lookup) {
        return transport->fetchAnswer(node.peerAddress, lookup, answerFetchTimeout);
    };
    result.text = [this] { return config.text(); };
    result.isReady = [this] { return config.version() > 0; };
    result.entryNodes = [this] { return entryNodes(); };
    result.acceptedText = [this] { return config.accepted(); };
    result.publish = [this](const PublishRequest& request) { return publish(request); };
    result.status = [this] { return status(); };
    return result;
}

} // namespace Kumquatpick
