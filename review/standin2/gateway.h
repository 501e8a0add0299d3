#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

// A gateway node as a process of its own, started with the command of the deploy file and the settings of a small
// deployment. It is killed with this object.
class Gateway {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string store;
        std::string seeds;
        std::string folder; // Of its log.
    };

    // The ports are free ones that stay the node's own over all its starts.
    explicit Gateway(Options);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void setSeeds(std::string seeds) { m_options.seeds = std::move(seeds); }
    void start();
    void signal(int number) const { ::kill(m_process, number); }
    // Waits for its end.
    void awaitEnd();
    void kill();
    bool isRunning();

    const std::string& name() const { return m_options.name; }
    int callers() const { return m_ports[0]; }
    int readiness() const { return m_ports[1]; }
    int peers() const { return m_ports[3]; }
    bool isReady() const;

private:
    std::string address(int port) const { return "127.0.0.1:" + std::to_string(port); }
    int reservePort();
    std::vector<std::string> arguments() const;

    Options m_options;
    std::vector<int> m_ports;
    pid_t m_process = -1;
    bool m_isFirstStart = true;
};

} // namespace Review
