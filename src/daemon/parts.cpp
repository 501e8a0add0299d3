#include "daemon/parts.h"

#include "base/hash.h"
#include "base/logline.h"
#include "daemon/publisher.h"
#include "daemon/statusreport.h"

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
        result.everyRecords = settings.snapshotEvery;
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
        result.requestReadTimeout = settings.readTimeout;
        result.answerLifetime = settings.answerRetention;
        result.answerBytes = settings.answerBytes;
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
              if (auto* open = openTransport.load())
                  open->send(to, message);
          },
          [this](const SlotsProposal& proposal) { proposals.push(proposal); })
    , cluster({ [this] { return ownReport(); }, [this](const AcceptedText& text) { adoptText(text); },
                  [this] { gossiped(); }, {} },
          clusterSettings(settings), seededFromSystem()())
    , prober(directory, { settings.probePeriod, Milliseconds(300), 16 },
          { [this](const EngineStatus& status) { hosts.probed(status); },
              [this](const std::string& host, const Error&) { hosts.unanswered(host, monotonicNow()); },
              [this](const EngineStatus& last) { hostDied(last); },
              [this](const CacheEventBatch& batch) { cacheChanged(batch); } })
{
}

// Who calls into others goes before them. The callers' server was drained by then; it goes after the threads that
// ask it how much is in flight and what answers it keeps.
Daemon::Parts::~Parts()
{
    subscriptions.clear();
    membership.reset();
    controller.stop();
    snapshots.stop();
    reader.stop();
    cluster.stop();
    openTransport = nullptr;
    transport.reset();
    callers.reset();
}

Result<void> Daemon::Parts::start()
{
    PeerHandlers handlers { [this](const SlotMessage& message) { slots.deliver(message); },
        [this](const std::string& lookup) { return callers ? callers->storedAnswer(lookup) : StoredAnswer {}; },
        [this](const GossipMessage& message) { return cluster.answer(message); },
        [this] { return config.accepted(); } };
    callers = std::make_unique<CallerServer>(callerSettings(settings), collaborators());
    BOOST_LEAF_ASSIGN(transport, NodeTransport::start(self, std::move(handlers)));
    openTransport = transport.get();
    // First of those with threads: the log and the list have things to tell it.
    cluster.start(*transport);

    config.listen([this](const OperatorConfig& text) { configChanged(text); });
    reader.subscribe({ [this](const AppliedRecord& record, MonotonicTime readAt) { folded(record, readAt); },
        [this](MonotonicTime readAt) { restored(readAt); } });
    reader.start();
    membership = std::make_unique<MembershipClient>(timers, MembershipSettings { settings.membership },
        [this](const MembershipSnapshot& list) { listChanged(list); });
    controller.start();
    snapshots.start();
    subscriptions.push_back(timers.every(routingPeriod, [this](MonotonicTime now) { refreshRouting(now); }));
    subscriptions.push_back(timers.every(listPeriod, [this](MonotonicTime) { listRead(); }));
    subscriptions.push_back(timers.every(listPeriod, [this](MonotonicTime) { stopIfReplaced(); }));
    subscriptions.push_back(timers.every(slotPeriod, [this](MonotonicTime now) { tickSlots(now); }));
    return callers->start();
}

void Daemon::Parts::folded(const AppliedRecord& record, MonotonicTime readAt)
{
    controller.folded(record, readAt);
    if (record.verdict != Verdict::Accepted)
        return;
    const RecordBody& body = record.logged.record.body;
    if (std::holds_alternative<ConfigProposal>(body)) {
        reader.withState([&](const State& state) { config.update(state.config()); });
        cluster.nudge();
    } else if (auto* proposal = std::get_if<SlotsProposal>(&body)) {
        std::vector<uint32_t> changed;
        for (const auto& change : proposal->changes)
            changed.push_back(change.slot);
        publishSlots(changed);
    } else if (!std::holds_alternative<LeaseProposal>(body)) {
        publishClaims();
    }
}

void Daemon::Parts::restored(MonotonicTime readAt)
{
    reader.withState([&](const State& state) {
        controller.restored(state, readAt);
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
    refreshTargets();
}

void Daemon::Parts::publishSlots(std::span<const uint32_t> changed)
{
    std::set<NodeId> members;
    reader.withState([&](const State& state) {
        slots.assignmentsChanged(state.slots(), changed);
        for (uint32_t slot = 0; slot < slotCount; ++slot) {
            const SlotAssignment& assignment = state.slots().assignment(slot);
            members.insert(assignment.owner.id);
            members.insert(assignment.witness.id);
        }
    });
    std::lock_guard lock(membersMutex);
    slotMembers.assign(members.begin(), members.end());
}

void Daemon::Parts::configChanged(const OperatorConfig& text)
{
    admission.configure(text);
    logLine(LogLevel::Info, "operators' text in force", { { "deployment", text.deployment } });
}

void Daemon::Parts::listChanged(const MembershipSnapshot& list)
{
    directory.setListed(list.backends);
    hosts.listed(list.backends, monotonicNow());
    refreshTargets();
}

// Absence from the list counts only over repeated readings, so the same list is told again when it was read again.
void Daemon::Parts::listRead()
{
    auto list = membership->snapshot();
    if (!list || list->readAt == listReadAt)
        return;
    listReadAt = list->readAt;
    std::vector<NodeInfo> entries;
    for (const auto& entry : list->entries)
        entries.push_back(entry.node);
    cluster.setListed(std::move(entries));
}

// Another process runs under this node's name: peers believe that one, and take this one for dead.
void Daemon::Parts::stopIfReplaced()
{
    if (stopping || !cluster.replaced())
        return;
    logLine(LogLevel::Error, "a newer process has this node's name; stopping", { { "name", self.id.name } });
    stopping = true;
    kill(getpid(), SIGTERM); // To the process, where sigwait() takes it; not to this thread.
}

// Every listed host is probed, claimed or not: the controller needs to know what runs on the free ones.
void Daemon::Parts::refreshTargets()
{
    std::set<std::string> leaders;
    reader.withState([&](const State& state) {
        for (const auto& [offset, claim] : state.claims())
            leaders.insert(claim.proposal.hosts.front());
    });
    std::vector<ProbeTarget> targets;
    for (const auto& host : directory.listed())
        targets.push_back({ host.host, host.address, leaders.contains(host.host) });
    prober.setTargets(std::move(targets));
}

void Daemon::Parts::hostDied(const EngineStatus& lastOfIt)
{
    if (!lastOfIt.replica.empty())
        suspicion.replicaDied(lastOfIt.replica, monotonicNow());
}

void Daemon::Parts::cacheChanged(const CacheEventBatch& batch)
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
    report.streams = callers->inFlight();
    report.usage = admission.localUsage();
    report.suspicions = suspicion.counts();
    return report;
}

void Daemon::Parts::gossiped()
{
    auto usage = cluster.othersUsage();
    admission.setRemoteUsage(usage);
    suspicion.merge(cluster.suspicions(), monotonicNow());
    std::lock_guard lock(usageMutex);
    othersRunning.clear();
    for (const auto& team : usage)
        othersRunning[team.service] += team.running;
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
    std::map<std::string, uint32_t> ownRunning;
    for (const auto& team : admission.localUsage())
        ownRunning[team.service] += team.running;
    std::lock_guard lock(usageMutex);
    routing.refresh(*text, { othersRunning, ownRunning, nodes }, now);
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
    nodes.push_back({ self.callerAddress, self.zone, callers->inFlight(), stopping });
    return nodes;
}

PublishOutcome Daemon::Parts::publish(const PublishRequest& request)
{
    auto outcome = publishText(appender, config.version(), request, monotonicNow() + publishTimeout);
    if (outcome.kind == PublishOutcome::Kind::Accepted)
        cluster.nudge();
    // The version before the proposal is not what it lost to.
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

Collaborators Daemon::Parts::collaborators()
{
    Collaborators result { self, admission, router, retryBudget, suspicion, directory, metrics, traces, {}, {}, {}, {},
        {}, {}, {}, {}, {}, {}, {} };
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
    result.ready = [this] { return config.version() > 0; };
    result.entryNodes = [this] { return entryNodes(); };
    result.acceptedText = [this] { return config.accepted(); };
    result.publish = [this](const PublishRequest& request) { return publish(request); };
    result.status = [this] { return status(); };
    return result;
}

} // namespace Kumquatpick
