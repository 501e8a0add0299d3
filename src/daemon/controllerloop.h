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

// Carries out reconcile()'s decisions: one thread that proposes, and a few that send orders. Every node
// has one; only the holder of the lease acts.
class ControllerLoop {
public:
    struct Settings {
        Milliseconds period { 200 };
        Milliseconds lease { 10'000 };
        Milliseconds orderTimeout { 1'500 };
        Address weightStore;
        ControllerSettings decisions;
    };

    ControllerLoop(NodeId self, Settings, LogReader&, LogAppender&, ReplicaDirectory&, HostTracker&);
    ~ControllerLoop();

    // From the log reader's thread.
    void folded(const AppliedRecord&, MonotonicTime readAt);
    void restored(const State&, MonotonicTime readAt);

    void start();
    // No orders and proposals leave after this.
    void stop();

    bool holdsLease() const;

private:
    void run();
    std::vector<ControllerAction> decide(MonotonicTime now);
    void carryOut(const ControllerAction&);
    void propose(RecordBody);
    void sendLater(const HostOrder&);
    void send(const HostOrder&, const Address&, std::vector<Address> peers);
    std::optional<Address> addressOf(const std::string& host) const;
    std::vector<Address> addressesOf(const std::vector<std::string>& hosts) const;

    NodeId m_self;
    Settings m_settings;
    LogReader& m_reader;
    LogAppender& m_appender;
    ReplicaDirectory& m_directory;
    HostTracker& m_hosts;
    Random m_random; // Used by the thread only.

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    LeaseTracker m_lease;
    EndedClaims m_ended;
    std::set<std::string> m_ordering; // Hosts with an order on its way.

    tbb::task_arena m_orders;
    std::thread m_thread;
};

} // namespace Kumquatpick
