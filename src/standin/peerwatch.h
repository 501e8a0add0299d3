#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/ids.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Kumquatpick {

// Tells the first engine of a replica whether every other one is there: answers, ready, under the same
// claim. A model spread over hosts cannot go on without one of them.
class PeerWatch {
public:
    // Calls back from its own thread after each round of probes, with the claim that the round was for.
    PeerWatch(Milliseconds period, std::function<void(Offset claim, bool complete)>);
    ~PeerWatch();

    // Replaces whom to watch; nobody by an empty list.
    void watch(Offset claim, std::vector<Address> peers);

private:
    void run();

    Milliseconds m_period;
    std::function<void(Offset, bool)> m_report;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Offset m_claim = 0;
    std::vector<Address> m_peers;
    uint64_t m_changes = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Kumquatpick
