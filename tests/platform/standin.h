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

// A server of the platform on a port of this machine, on a thread of its own.
class StandinServer {
public:
    StandinServer();
    virtual ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    Address address() const { return { "127.0.0.1", static_cast<uint16_t>(m_port) }; }
    // Ends it at once: connections to it are refused from then on.
    void stop();

protected:
    void start();

    httplib::Server m_http;

private:
    int m_port = 0;
    std::thread m_thread;
};

// The store: logs with conditions, keyed logs, and outages.
class StandinStore : public StandinServer {
public:
    StandinStore();
    ~StandinStore() override;

    void put(const std::string& topic, const std::string& key, const std::string& value);
    // Whether a reader has asked for what comes after the topic's last record, so it has taken all of them.
    bool isReadToItsEnd(const std::string& topic);
    // Takes calls and never answers them, nor those that wait at it when it falls silent.
    std::atomic<bool> isSilent { false };
    // Reads of this topic that it lost so.
    int lostReads(const std::string& topic);
    // Does nothing and says so.
    std::atomic<bool> isDown { false };
    std::atomic<int> refusedAppends { 0 }; // While it was down.
    // Appends, but answers only after the caller has given up.
    std::atomic<int> answersToLose { 0 };

    // Has another server give the same answers.
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

// Another way to the store, for nodes that it may turn away while it serves the others.
class StandinDoor : public StandinServer {
public:
    explicit StandinDoor(StandinStore&);
    ~StandinDoor() override { stop(); }

    std::atomic<bool> turnsAway { false };
};

// A backend server of either kind: a model host that obeys orders and streams events, or a plain one.
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

    // Tells the store its state.
    void announce();
    std::string id() const { return m_options.id; }
    // Knows nothing of before, under its id; its staged copy stays.
    void startAgain();
    // Its entry goes, as after some heartbeats without a word; announce() brings it back.
    void lapse();
    bool isOpenHead();
    bool isMember();
    std::atomic<int> runs { 0 }; // Requests that it ran.
    std::atomic<int> eventsSent { 0 };
    std::atomic<int> cutOff { 0 }; // Streams whose reader left before the end.
    std::atomic<bool> isFull { false }; // Refuses requests, and says that it does not run them.
    std::atomic<double> namedLimit { -1 }; // Requests a second that its answers name; below 0: none.
    // A request that reached it, also one that it refused, and what it said of itself in the answer.
    struct Arrival {
        std::chrono::steady_clock::time_point at;
        std::string from; // The call's id up to its last dash.
        double namedLimit = -1;
        int backoffAsked = 0;
        bool saidDraining = false;
    };
    std::vector<Arrival> arrivals();
    std::atomic<bool> saysDraining { false }; // In its answers, not to the store.
    std::atomic<int> backoffAsked { 0 }; // Seconds, in its refusals; 0: none.
    std::atomic<bool> losesAnswers { false }; // Runs a request and closes the connection.
    std::atomic<bool> standsStill { false }; // Streams stop in the middle.
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isLost { false }; // Tells nothing of itself and obeys nothing.
    std::atomic<int> ordersToDelay { 0 }; // Carried out after their sender has given them up.
    std::atomic<int> delayedOrders { 0 }; // That were carried out, or refused, since.
    std::atomic<int> joins { 0 }; // That it began.

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
