#pragma once

#include "standin/net.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

// The platform's store: logs with conditional appends, and keyed logs with their newest records. It is never down.
// Records expire after a while; of keyed logs it keeps the newest record of each key.
class Store {
public:
    explicit Store(Milliseconds history);

    uint16_t port() const { return m_port; }
    // Writes the newest record of a key; an empty value deletes it.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    // The newest record that was appended under a condition; empty if there is none.
    std::string newestConditionalRecord();

private:
    struct LogRecord {
        std::string bytes;
        Clock::time_point at;
    };
    struct Topic {
        std::vector<LogRecord> records;
        size_t firstKept = 0;
    };

    Topic& topicOf(std::string_view target);
    bool answer(Connection&, const Request&);
    Response append(const Request&);
    Response read(const Request&);
    Response newest(const Request&);

    std::mutex m_mutex;
    std::condition_variable m_hasGrown;
    std::map<std::string, Topic> m_topics; // Partition 0 of each.
    std::string m_newestConditional;
    Milliseconds m_history;
    uint16_t m_port = 0;
};

} // namespace Review
