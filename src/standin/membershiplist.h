#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "standin/server.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Kumquatpick {

struct MembershipSettings {
    Milliseconds lag { 0 }; // From a change to its showing in the list.
    Milliseconds deadAfter { 3000 }; // A host that gave no sign of life for so long is taken out.
    Milliseconds probePeriod { 500 };
};

// The platform's list of hosts. Hosts are put and deleted at /v1/hosts/{host}; the list shows it after a
// lag. A backend server that stops answering its status page is taken out, and so is an entry host whose
// port refuses connections; either comes back when it answers again.
class MembershipList {
public:
    explicit MembershipList(MembershipSettings);
    ~MembershipList();

    StandinServer& server() { return m_server; }

private:
    struct Host {
        nlohmann::json entry;
        MonotonicTime lastAnswer;
        bool dead = false;
    };

    // An entry of null takes the host out.
    struct Change {
        MonotonicTime due;
        std::string host;
        nlohmann::json entry;
    };

    struct Probe {
        std::string host;
        bool isEntry = false;
        Address address;
        bool alive = false;
    };

    void put(const httplib::Request&, httplib::Response&);
    void remove(const httplib::Request&, httplib::Response&);
    void list(httplib::Response&);
    void showLater(const std::string& host, nlohmann::json entry);
    void applyDue(MonotonicTime now);
    void probeLoop();
    std::vector<Probe> probesToMake();
    void judge(const std::vector<Probe>&);

    MembershipSettings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, nlohmann::json> m_shown;
    std::deque<Change> m_changes;
    uint64_t m_revision = 1;
    bool m_stopping = false;
    StandinServer m_server;
    std::thread m_prober;
};

} // namespace Kumquatpick
