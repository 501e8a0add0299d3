#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/timer.h"
#include "membership/snapshot.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace Kumquatpick {

struct MembershipSettings {
    Address address;
    Milliseconds period { 500 };
    Milliseconds timeout { 2000 }; // For one read of the list.
};

// Reads the platform's membership list once per period on its own thread. While the list cannot be read, the last
// one that was read is kept and its age increases. Thread-safe.
class MembershipClient {
public:
    using Listener = std::function<void(const MembershipSnapshot&)>;

    // The listener is called on the client's thread with the first list and whenever backend servers or entry nodes
    // differ from the previous list. It may be empty.
    MembershipClient(TimerService&, MembershipSettings, Listener);
    ~MembershipClient();
    MembershipClient(const MembershipClient&) = delete;
    MembershipClient& operator=(const MembershipClient&) = delete;

    // The last list that was read; nullptr before the first.
    std::shared_ptr<const MembershipSnapshot> snapshot() const;
    // Time since the last list was requested; nullopt before the first.
    std::optional<std::chrono::nanoseconds> age(MonotonicTime now) const;

private:
    void run();
    void refresh();
    void reportProblems(const MembershipSnapshot&);
    Result<MembershipSnapshot> fetch() const;

    const MembershipSettings m_settings;
    const Listener m_listener;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<const MembershipSnapshot> m_snapshot;
    bool m_isDue = true;
    bool m_isStopping = false;
    bool m_isFailing = false; // Used by the client's thread only. An outage is logged when it begins and ends.
    std::vector<std::string> m_problems; // Logged last; used by the client's thread only.
    std::thread m_thread;
    TimerService::Subscription m_timer; // Last member, destroyed first: no callback on a partly destroyed client.
};

} // namespace Kumquatpick
