#pragma once

#include "backend/directory.h"
#include "base/random.h"
#include "coordination/controller.h"
#include "coordination/endedclaims.h"
#include "daemon/hosttracker.h"
#include "log/appender.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <tbb/task_arena.h>
#include <thread>

namespace Kumquatpick {

// Calls reconcile() periodically and carries out its actions: one thread appends proposals to the log, and a small
// pool of threads sends orders to hosts. Every node runs this loop, but only the lease holder gets any actions.
class ControllerLoop {
public:
    struct Settings {
        Milliseconds period { 200 };
        Milliseconds lease { 10'000 };
        Milliseconds orderTimeout { 1'500 };
        Address weightStore;
        ControllerSettings reconcileSettings;
    };

    ControllerLoop(NodeId self, Settings, LogReader&, LogAppender&, ReplicaDirectory&, HostTracker&);
    ~ControllerLoop();

    // Called on the log reader's thread.
    void onRecordFolded(const AppliedRecord&, MonotonicTime readAt);
    void onStateRestored(const State&, MonotonicTime readAt);

    void start();
    // Waits for orders in progress; no order or proposal is sent after this returns.
    void stop();

    bool holdsLease() const;

private:
    void run();
    std::vector<ControllerAction> decide(MonotonicTime now);
    void executeAction(const ControllerAction&);
    void propose(RecordBody);
    void enqueueOrder(const HostOrder&);
    void send(const HostOrder&, const Address&, std::vector<Address> peers);
    std::optional<Address> addressOf(const std::string& host) const;
    std::vector<Address> addressesOf(const std::vector<std::string>& hosts) const;

    NodeId m_self;
    Settings m_settings;
    LogReader& m_reader;
    LogAppender& m_appender;
    ReplicaDirectory& m_directory;
    HostTracker& m_hosts;
    Random m_random; // Used by m_thread only.

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    LeaseTracker m_lease;
    EndedClaims m_endedClaims;
    std::set<std::string> m_hostsWithOrder; // Hosts with an order in progress.

    tbb::task_arena m_orderArena;
    std::thread m_thread;
};

} // namespace Kumquatpick
