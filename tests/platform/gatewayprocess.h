#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "process/process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Kumquatpick {

// A gateway node as a process of its own, on local ports that stay its own while the object lives.
class GatewayProcess {
public:
    struct Options {
        std::string name;
        Address store;
        std::string seeds {};
        std::chrono::seconds grace { 8 };
        std::string logFiles; // Path of its output; ".out" and ".err" are added.
        int retryAllowance = 1000; // Most soaks have few requests.
        std::chrono::seconds retryWindow { 10 };
        std::vector<std::string> variables {}; // NAME=VALUE, for settings that are not given as flags here.
    };

    explicit GatewayProcess(Options);

    const Options& options() const { return m_options; }
    Address callers() const { return m_callers; }
    Address readiness() const { return m_readiness; }
    Address entries() const { return m_entries; }
    Address peers() const { return m_peers; }

    // Sends SIGTERM, and SIGKILL at the end of the grace period if the process still runs.
    void stop();
    // Has to be called now and then after stop(), to send the SIGKILL in time.
    bool hasEnded();
    // Starts it again at the same addresses.
    void start();
    void send(int signal) { m_process->send(signal); }
    Process& process() { return *m_process; }

    // When SIGTERM was sent; nothing while it is not told to stop.
    std::optional<std::chrono::steady_clock::time_point> stoppedAt() const { return m_stoppedAt; }
    bool wasKilled() const { return m_wasKilled; }
    // The lines of its log so far, of all its starts.
    std::vector<nlohmann::json> logLines() const;

private:
    Address reserveAddress();

    Options m_options;
    boost::asio::io_context m_io;
    std::vector<boost::asio::ip::tcp::acceptor> m_reservations; // Keep the ports from being given to other sockets.
    Address m_callers;
    Address m_readiness;
    Address m_entries;
    Address m_peers;
    int m_starts = 0;
    std::unique_ptr<Process> m_process;
    std::optional<std::chrono::steady_clock::time_point> m_stoppedAt;
    bool m_wasKilled = false;
};

} // namespace Kumquatpick
