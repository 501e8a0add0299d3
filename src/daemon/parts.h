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
#include "policy/suspicion.h"

#include <atomic>
#include <memory>
#include <set>
#include <tbb/global_control.h>
#include <vector>

namespace Kumquatpick {

// All parts of a node and the wires between them. Members are in the order of construction: each one uses
// only those above it, and the threads of the lower ones end first.
struct Daemon::Parts {
    Parts(const DaemonSettings&, NodeInfo self);
    ~Parts();

    // Starts what has threads; fails with InvalidArgument if an address can't be bound.
    Result<void> start();

    // Wires: who calls them stands in parts.cpp where they are handed out.
    void folded(const AppliedRecord&, MonotonicTime readAt);
    void restored(MonotonicTime readAt);
    void configChanged(const OperatorConfig&);
    void listChanged(const MembershipSnapshot&);
    void listRead();
    void stopIfReplaced();
    void hostDied(const EngineStatus& lastOfIt);
    void cacheChanged(const CacheEventBatch&);
    OwnReport ownReport();
    void gossiped();
    void adoptText(const AcceptedText&);
    void refreshRouting(MonotonicTime now);
    void tickSlots(MonotonicTime now);
    void refreshTargets();
    void publishClaims();
    void publishSlots(std::span<const uint32_t> changed);

    Collaborators collaborators();
    std::vector<EntryNode> entryNodes() const;
    PublishOutcome publish(const PublishRequest&);
    nlohmann::json status() const;

    DaemonSettings settings;
    NodeInfo self;
    std::atomic<bool> stopping { false };

    // Orders wait for engines, so there are more of them at once than processors.
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
    std::atomic<NodeTransport*> openTransport { nullptr }; // Peers may be served before start() has kept the above.
    Prober prober;
    std::unique_ptr<CallerServer> callers;

    std::mutex usageMutex;
    std::map<std::string, uint32_t> othersRunning; // By service.

    std::mutex membersMutex;
    std::vector<NodeId> slotMembers; // Owners and witnesses named by the log.

    std::unique_ptr<MembershipClient> membership;
    MonotonicTime listReadAt {}; // Of the list that the cluster view was told last; the timer's thread only.
    std::vector<TimerService::Subscription> subscriptions;
};

} // namespace Kumquatpick
