#pragma once

#include "record.h"
#include "store.h"

#include <atomic>
#include <optional>
#include <vector>

namespace Review {

// A replica of a service, as the pages describe it: either a plain one, or a host that becomes a member of groups by
// orders and streams events. It lists itself in the store and writes its entry again at each heartbeat.
class Backend {
public:
    using Clock = std::chrono::steady_clock;
    struct Options {
        std::string id;
        std::string service;
        bool isPlain = false;
        int capacity = 17;
        bool endsSilently = false; // Its open connections stay silent until it is back.
    };
    struct Arrival {
        std::string id; // Of the client's attempt.
        std::string path;
        Clock::time_point at;
    };

    Backend(Store&, Record&, Options);

    const std::string& service() const { return m_options.service; }
    std::string id();
    int port() const { return m_server.port(); }
    std::string address() const { return m_server.address(); }
    // Handles a request; other addresses may lead to the same replica.
    bool handle(const Message&, Connection&);
    // The requests that it began to run.
    std::vector<Arrival> runs();
    // Ends as after a crash: its connections end or fall silent, new ones are refused, its entry expires, and after
    // this time it starts again as another incarnation.
    void crash(std::chrono::milliseconds downFor);

    // When requests ended it.
    std::vector<Clock::time_point> crashes();

    // Requests with this body end the replica that begins to run them.
    static constexpr const char* crashingBody = "crash";

private:
    struct Group {
        std::string name;
        uint64_t epoch = 0;
        std::vector<std::string> members;
        std::string model;
        int rank = 0;
        Clock::time_point readyAt;
        std::optional<Clock::time_point> openAt;
        bool isClosing = false;
    };

    void beat();
    void announce();
    nlohmann::json status();
    std::pair<int, std::string> order(const Message&);
    std::pair<int, std::string> carryOut(const std::string& operation, const nlohmann::json& body);
    bool serve(const Message&, Connection&);
    // The connections of a crashed replica carry nothing any more.
    void staySilent() const;
    bool stream(const Message&, Connection&, const std::string& head);
    bool isServing();
    std::string state() const;

    Store& m_store;
    Record& m_record;
    Options m_options;
    std::mutex m_mutex;
    std::vector<Arrival> m_runs;
    std::vector<Clock::time_point> m_crashes; // By requests.
    std::optional<Group> m_group;
    std::string m_staged;
    uint64_t m_sequence = 0; // Orders accepted.
    uint64_t m_fence = 0;
    uint64_t m_epoch = 0;
    int m_starts = 0;
    std::atomic<bool> m_isDown { false };
    std::atomic<int> m_streams { 0 }; // In progress.
    Server m_server;
};

} // namespace Review
