#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/ids.h"
#include "standin/expected.h"
#include "standin/peerwatch.h"
#include "standin/prefixcache.h"
#include "standin/runlog.h"
#include "standin/server.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Kumquatpick {

struct EngineSettings {
    std::string host {};
    bool checksFencing = true; // Else obeys any order, however old.
    Milliseconds tokenTime { 5 };
    Milliseconds prefillTime { 5 }; // For 1 KiB of prompt that is not cached.
    uint32_t streams = 16; // Runs at once; more are refused.
    double batchSlowdown = 0; // How much longer a token takes in a full batch, as a share.
    PrefixCacheSettings cache {};
    Milliseconds reportLag { 0 };
    Milliseconds peerProbePeriod { 200 };
    std::string crashMarker {}; // A prompt with these bytes in it ends the process.
    std::string recordPath {};
};

// One host's model engine. It takes orders, reads weights from the store that the order names, and, as the
// first of its replica's hosts, runs requests while every other host is there.
class Engine {
public:
    explicit Engine(EngineSettings);
    ~Engine();

    StandinServer& server() { return m_server; }
    std::string incarnation() const { return hex64(m_incarnation); }

private:
    enum class State : uint8_t {
        Idle,
        Loading,
        Ready,
    };

    struct Order {
        Offset fencing = 0;
        std::string service {};
        std::string replica;
        std::string model;
        std::string modelVersion;
        uint32_t rank = 0;
        std::vector<Address> peers;
        Address weightStore;
        uint64_t weightsBytes = 0;
    };

    // One request in progress; its fields but the settled ones are under the engine's lock.
    struct Work {
        Run run;
        ExpectedChat chat;
        std::string requestIdToTell;
        uint64_t generation = 0;
        size_t nextToken = 0;
        MonotonicTime due;
        bool cutHalfway = false;
        bool cancelled = false;
    };

    struct Load {
        uint32_t running = 0;
        uint32_t queued = 0;
        double cacheUsed = 0;
        MonotonicTime at {};
    };

    void addRoutes();
    void takeOrder(const httplib::Request&, httplib::Response&);
    void obeyLoad(Order);
    void obeyUnload();
    void chat(const httplib::Request&, httplib::Response&);
    bool refuse(const httplib::Request&, httplib::Response&);
    std::shared_ptr<Work> begin(const httplib::Request&, const ChatRequest&);
    MonotonicTime firstTokenDue(std::string_view prompt);
    void answerWhole(const httplib::Request&, httplib::Response&, const std::shared_ptr<Work>&);
    void answerStream(httplib::Response&, const std::shared_ptr<Work>&);
    bool sendNext(Work&, httplib::DataSink&);
    bool waitForToken(Work&);
    bool hasEnded(const Work&) const;
    void end(const Work&, bool whole);
    void cancel(const std::string& request, httplib::Response&);
    void cacheEvents(const httplib::Request&, httplib::Response&);
    nlohmann::json status();
    Load reportedLoad();
    void loadLoop();
    bool readWeights(const Order&, uint64_t generation);
    void peersSeen(Offset claim, bool complete);
    bool isCurrent(uint64_t generation);

    EngineSettings m_settings;
    uint64_t m_incarnation;
    RunLog m_runs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state = State::Idle;
    Order m_order;
    Offset m_newestFencing = 0;
    uint64_t m_generation = 0; // Counts the orders that changed something.
    bool m_complete = true; // Every other host of the replica is there.
    bool m_stopping = false;
    std::map<std::string, std::shared_ptr<Work>> m_work;
    uint32_t m_running = 0;
    MonotonicTime m_prefillFree {};
    PrefixCache m_cache;
    Load m_reported;
    StandinServer m_server;
    std::unique_ptr<PeerWatch> m_peers;
    std::thread m_loader;
};

} // namespace Kumquatpick
