#pragma once

#include "standin/net.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

// The platform's store: logs with conditional appends, and keyed logs with their newest records. It is never down.
class Store {
public:
    Store();

    uint16_t port() const { return m_port; }
    // Writes the newest record of a key; an empty value deletes it.
    void put(const std::string& topic, const std::string& key, const std::string& value);

private:
    bool answer(Connection&, const Request&);
    Response append(const Request&);
    Response read(const Request&);
    Response newest(const Request&);

    std::mutex m_mutex;
    std::condition_variable m_hasGrown;
    std::map<std::string, std::vector<std::string>> m_topics; // Partition 0 of each.
    uint16_t m_port = 0;
};

} // namespace Review
