#pragma once

#include "standin/modelserver.h"
#include "standin/net.h"
#include "standin/store.h"

#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review {

// A child process; it is killed when its object ends, and when this process ends.
class ChildProcess {
public:
    ChildProcess(std::vector<std::string> words, std::vector<std::string> environment, const std::string& output);
    ~ChildProcess() { kill(); }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits until it has ended.
    void kill();
    bool hasEnded();

private:
    pid_t m_pid = -1;
};

// The record of a run: what was sent, answered and run, in the order in which it was written.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    // Lines of the servers and of this process.
    std::vector<std::string> lines() const;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
    int m_descriptor;
};

// One gateway node, started with the command of the deploy file.
class GatewayNode {
public:
    GatewayNode(std::string name, std::string folder);
    void start(uint16_t store, const std::string& seeds, bool isFirstStart);
    void kill();
    uint16_t callers() const { return m_callers; }
    const std::string& name() const { return m_name; }
    std::string peers() const { return "127.0.0.1:" + std::to_string(m_peers); }
    bool isReady() const;
    bool hasEnded() const { return m_process && m_process->hasEnded(); }

private:
    std::string m_name;
    std::string m_folder;
    uint16_t m_callers;
    uint16_t m_readiness;
    uint16_t m_entries;
    uint16_t m_peers;
    int m_starts = 0;
    std::unique_ptr<ChildProcess> m_process;
};

// One server, with the entry that it writes into the store.
struct ServerNode {
    std::string id;
    uint16_t port = 0;
    std::vector<std::string> options;
    std::unique_ptr<ChildProcess> process;
    std::atomic<bool> reachesStore { true };
    std::atomic<bool> isListed { false };
    int64_t beatAt = 0;
};

// A small deployment: a store, gateway nodes, servers of a plain service and of one with models.
class Deployment {
public:
    Deployment(const std::string& folder, Record&);
    ~Deployment();

    ServerNode& addServer(const std::string& id, std::vector<std::string> options);
    void startServer(ServerNode&);
    // Ends the process; its entry expires.
    void killServer(ServerNode&);
    // Empty model servers of one fault domain.
    void addModelServers(int count);
    GatewayNode& addGateway(const std::string& name);
    void startGateways(bool isFirstStart);
    void startGateway(GatewayNode& node, bool isFirstStart) { node.start(m_store.port(), seeds(), isFirstStart); }
    // Returns false if a node isn't ready in time.
    bool awaitReady(Milliseconds);
    std::vector<std::unique_ptr<GatewayNode>>& gateways() { return m_gateways; }
    Store& store() { return m_store; }
    std::vector<std::unique_ptr<ServerNode>>& servers() { return m_servers; }

    // Sends a request to a node as a client and records it with its answer.
    Answer send(GatewayNode&, std::string_view method, const std::string& path, const std::string& attempt,
        const std::string& body, Milliseconds patience, const Headers& further = {});

private:
    void beat();
    void writeEntry(ServerNode&);
    std::string seeds() const;

    std::string m_folder;
    Record& m_record;
    Store m_store;
    std::vector<std::unique_ptr<ServerNode>> m_servers;
    std::vector<std::unique_ptr<ModelServer>> m_modelServers;
    std::vector<std::unique_ptr<GatewayNode>> m_gateways;
    std::mutex m_mutex;
    std::atomic<bool> m_isEnding { false };
    std::thread m_beats;
};

// Whether the case is to be played with its disruption.
bool isTroubleWanted();
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace Review
