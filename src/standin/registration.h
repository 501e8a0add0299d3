#pragma once

#include "base/address.h"
#include "base/clock.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Kumquatpick {

// Puts a host into the membership list, asking again until the list has taken it.
class Registration {
public:
    Registration(Address membership, std::string host, std::string entryJson);
    ~Registration();

private:
    void run();

    Address m_membership;
    std::string m_host;
    std::string m_entry;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Kumquatpick
