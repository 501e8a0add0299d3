#pragma once

#include "base/clock.h"
#include "standin/expected.h"
#include "standin/runlog.h"
#include "standin/server.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

namespace Kumquatpick {

struct PlainSettings {
    std::string host;
    std::string service;
    Milliseconds callTime { 5 };
    uint32_t calls = 64; // At once; more are refused.
    std::string crashMarker;
    std::string recordPath;
};

// One host's plain service: any method at any path is a call, answered with what was asked.
class PlainService {
public:
    explicit PlainService(PlainSettings);
    ~PlainService();

    StandinServer& server() { return m_server; }
    std::string incarnation() const { return hex64(m_incarnation); }

private:
    void addRoutes();
    void call(const httplib::Request&, httplib::Response&);
    bool waitForEnd();
    nlohmann::json status();

    PlainSettings m_settings;
    uint64_t m_incarnation;
    RunLog m_runs;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::atomic<uint32_t> m_running { 0 };
    StandinServer m_server;
};

} // namespace Kumquatpick
