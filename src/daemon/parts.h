#pragma once

#include "backend/call.h"
#include "backend/directory.h"
#include "backend/prober.h"
#include "base/metrics.h"
#include "base/timer.h"
#include "base/trace.h"
#include "caller/server.h"
#include "coordination/slotservice.h"
#include "daemon/configview.h"
#include "daemon/controllerloop.h"
#include "daemon/daemon.h"
#include "daemon/hosttracker.h"
#include "daemon/proposalqueue.h"
#include "daemon/routingfeed.h"
#include "daemon/snapshotloop.h"
#include "log/appender.h"
#include "log/reader.h"
#include "membership/client.h"
#include "node/clusterview.h"
#include "node/transport.h"
#include "operator/daemonsettings.h"
#include "policy/admission.h"
#include "policy/retrybudget.h"
#include "policy/router.h"
#include "suspicion/suspicion.h"

#include <atomic>
#include <memory>
#include <set>
#include <tbb/global_control.h>
#include <vector>

namespace Kumquatpick {

// All components of a node and the callbacks that connect them. Members are in the order of construction: each uses
// only those declared above it, and the threads of later members end first.
struct Daemon::Parts {
    Parts(const DaemonSettings&, NodeInfo self);
    ~Parts();

    // Starts all components that have threads. Fails with InvalidArgument if an address can't be bound.
    Result<void> start();

    // Callbacks of the components; the constructor, start() and collaborators() register them.
    void onRecordFolded(const AppliedRecord&, MonotonicTime readAt);
    void onStateRestored(MonotonicTime readAt);
    void onConfigChanged(const OperatorConfig&);
    void onMembershipChanged(const MembershipSnapshot&);
    void updateListedNodes();
    void stopIfReplaced();
    void onEngineReplaced(const EngineStatus& lastStatus);
    void onCacheEvents(const CacheEventBatch&);
    OwnReport ownReport();
    void onGossipRound();
    void adoptText(const AcceptedText&);
    void refreshRouting(MonotonicTime now);
    void tickSlots(MonotonicTime now);
    void refreshProbeTargets();
    void publishClaims();
    void publishSlots(std::span<const uint32_t> changed);

    CallerDependencies collaborators();
    std::vector<EntryNode> entryNodes() const;
    PublishOutcome publish(const PublishRequest&);
    nlohmann::json status() const;

    DaemonSettings settings;
    NodeInfo self;
    std::atomic<bool> stopping { false };

    // Order threads mostly wait for engines, so the limit is higher than the number of processors.
    tbb::global_control orderThreads { tbb::global_control::max_allowed_parallelism, 32 };
    Metrics metrics;
    TraceExporter traces;
    TimerService timers;
    ConfigView config;
    Router router;
    Admission admission;
    RetryBudget retryBudget;
    SuspicionTable suspicion;
    ReplicaDirectory directory;
    HostTracker hosts;
    BackendCaller backends;
    RoutingFeed routing;

    LogReader reader;
    LogAppender appender;
    ProposalQueue proposals;
    ControllerLoop controller;
    SnapshotLoop snapshots;
    SlotService slots;
    ClusterView cluster;
    std::unique_ptr<NodeTransport> transport;
    // Set by start(). Peer messages may arrive before `transport` is assigned.
    std::atomic<NodeTransport*> activeTransport { nullptr };
    Prober prober;
    std::unique_ptr<CallerServer> callerServer;

    std::mutex usageMutex;
    std::map<std::string, uint32_t> remoteRunning; // By service.

    std::mutex membersMutex;
    std::vector<NodeId> slotMembers; // Owners and witnesses of all slots in the folded log.

    std::unique_ptr<MembershipClient> membership;
    // Read time of the list last passed to the cluster view; used by the timer thread only.
    MonotonicTime listReadAt {};
    std::vector<TimerService::Subscription> subscriptions;
};

} // namespace Kumquatpick
