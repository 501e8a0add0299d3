#pragma once

#include "server.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace Review {

// The platform's store: logs with conditional appends, keyed logs, and records that expire.
class Store {
public:
    using Clock = std::chrono::steady_clock;
    struct Event {
        std::string topic;
        std::string value;
        Clock::time_point at;
    };

    // keep: for how long records of logs without keys are kept.
    explicit Store(std::chrono::seconds keep);

    std::string address() const { return m_server.address(); }
    // What an operator or a server writes; without a value, the key is dropped. Returns when it was acknowledged.
    Clock::time_point put(const std::string& topic, const std::string& key, const std::string& value = {});
    // The newest record of a log without keys; empty if it has none.
    std::string newestRecord(const std::string& topic);

    // Changes the entries that a reader gets.
    using Translate = std::function<std::string(std::string)>;
    // Handles a call; other addresses may lead to the same store.
    bool handle(const Message&, Connection&, const Translate& = {});

private:
    struct Record {
        std::string bytes;
        Clock::time_point at;
    };
    struct Topic {
        std::deque<Record> records;
        uint64_t first = 0; // Offset of the oldest record that is kept.
        uint64_t end() const { return first + records.size(); }
        std::map<std::string, std::pair<uint64_t, std::string>> newest; // Of a keyed log.
    };

    static bool isKeyed(const std::string& topic) { return topic.starts_with("keyed."); }
    void expire(Topic&, const std::string& name);
    std::string append(const Message&);
    std::string read(const Message&, const Translate&);
    std::string newest(const Message&, const Translate&);

    std::chrono::seconds m_keep;
    std::mutex m_mutex;
    std::condition_variable m_written;
    std::map<std::string, Topic> m_topics;
    Server m_server;
};

} // namespace Review
