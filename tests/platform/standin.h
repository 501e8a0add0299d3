#pragma once

#include "base/address.h"
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace Kumquatpick {

// Base of the fake servers: an HTTP server on a local port, with its own threads.
class StandinServer {
public:
    StandinServer();
    virtual ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    Address address() const { return { "127.0.0.1", static_cast<uint16_t>(m_port) }; }
    // Stops at once; later connections are refused.
    void stop();

protected:
    void start();

    httplib::Server m_http;

private:
    int m_port = 0;
    std::thread m_thread;
};

// A fake store with conditional appends, keyed logs and simulated outages.
class StandinStore : public StandinServer {
public:
    StandinStore();
    ~StandinStore() override;

    void put(const std::string& topic, const std::string& key, const std::string& value);
    // Whether a reader has requested the offset after the topic's last record, and so has received all records.
    bool isReadToItsEnd(const std::string& topic);
    // While set, calls get no answer, including those that are pending when it is set.
    std::atomic<bool> isSilent { false };
    // Reads of this topic that got no answer for that reason.
    int lostReads(const std::string& topic);
    // While set, every call is answered with 503.
    std::atomic<bool> isDown { false };
    std::atomic<int> refusedAppends { 0 }; // Appends refused while isDown was set.
    // Number of appends to carry out but answer only after the caller has timed out.
    std::atomic<int> answersToLose { 0 };

    // Registers the store's handlers at another server.
    void serveAt(httplib::Server&);

private:
    using Topic = std::vector<std::string>;

    void append(const httplib::Request&, httplib::Response&);
    void read(const httplib::Request&, httplib::Response&);
    void newest(const httplib::Request&, httplib::Response&);
    void lose(const httplib::Request&, httplib::Response&);

    std::mutex m_mutex;
    std::condition_variable m_ending;
    bool m_isEnding = false;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, int> m_lostReads; // By topic.
    std::map<std::string, size_t> m_readFrom; // The latest offset asked for, by topic.
};

// A second address of the store that can refuse calls while the store itself answers.
class StandinDoor : public StandinServer {
public:
    explicit StandinDoor(StandinStore&);
    ~StandinDoor() override { stop(); }

    std::atomic<bool> turnsAway { false };
};

// A fake backend server: either a model host that carries out orders and streams events, or a plain one.
class StandinHost : public StandinServer {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string domain;
        bool isPlain = false;
    };

    StandinHost(StandinStore&, Options);
    ~StandinHost() override;

    // Writes its entry to the store.
    void announce();
    std::string id() const { return m_options.id; }
    // Simulates a restart under the same id; only the staged model is kept.
    void startAgain();
    // Deletes its entry, as happens after missed heartbeats; announce() restores it.
    void lapse();
    bool isOpenHead();
    bool isMember();
    std::atomic<int> runs { 0 }; // Requests that were executed.
    std::atomic<int> eventsSent { 0 };
    std::atomic<int> cutOff { 0 }; // Streams whose reader disconnected before the end.
    std::atomic<bool> isFull { false }; // Refuses requests and marks them as not executed.
    std::atomic<double> namedLimit { -1 }; // Requests per second, announced in answers; below 0: none.
    // A request that was executed or refused, and the notices sent in the answer.
    struct Arrival {
        std::chrono::steady_clock::time_point at;
        std::string from; // The attempt id up to its last dash.
        double namedLimit = -1;
        int backoffAsked = 0;
        bool saidDraining = false;
    };
    std::vector<Arrival> arrivals();
    std::atomic<bool> saysDraining { false }; // Announced in answers, but not in the store.
    std::atomic<int> backoffAsked { 0 }; // Seconds, sent as Retry-After in refusals; 0: none.
    std::atomic<bool> losesAnswers { false }; // Closes the connection in the middle of an answer.
    std::atomic<bool> standsStill { false }; // Streams stay open without further events.
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isLost { false }; // Answers every request with 500.
    std::atomic<int> ordersToDelay { 0 }; // Number of orders to carry out only after the sender has timed out.
    std::atomic<int> delayedOrders { 0 }; // Delayed orders that were carried out or refused.
    std::atomic<int> joins { 0 }; // Join orders that were carried out.

    static constexpr int eventsPerStream = 12;

private:
    nlohmann::json report(bool forList);
    void speakOfItself(const httplib::Request&, httplib::Response&);
    void order(const httplib::Request&, httplib::Response&);
    void obey(const httplib::Request&, httplib::Response&);
    void serve(const httplib::Request&, httplib::Response&);
    void stream(const httplib::Request&, httplib::Response&);

    StandinStore& m_store;
    Options m_options;
    std::mutex m_mutex;
    int64_t m_born = 1'785'639'518'025;
    int m_ordersAccepted = 0;
    int m_heartbeats = 0;
    int64_t m_fencing = 0;
    int64_t m_epoch = 0;
    std::string m_replica;
    std::string m_model;
    std::string m_staged;
    std::string m_state;
    int m_rank = 0;
    std::vector<Arrival> m_arrivals;
};

} // namespace Kumquatpick
