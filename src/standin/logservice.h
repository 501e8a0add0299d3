#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "standin/server.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace Kumquatpick {

// The platform's append-only log service, in memory.
class LogService {
public:
    // Records are gone this long after their append; zero keeps them.
    explicit LogService(Milliseconds retention);
    ~LogService();

    StandinServer& server() { return m_server; }

private:
    struct Record {
        Offset offset = 0;
        WallTime time;
        std::string body;
    };

    struct Log {
        std::deque<Record> records;
        Offset next = 1;

        Offset earliest() const { return records.empty() ? next : records.front().offset; }
    };

    void append(const httplib::Request&, httplib::Response&);
    void read(const httplib::Request&, httplib::Response&);
    void waitForTurn(std::unique_lock<std::mutex>&);
    void expire(Log&) const;

    Milliseconds m_retention;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Log> m_logs;
    MonotonicTime m_nextAppend {};
    bool m_stopping = false;
    StandinServer m_server;
};

} // namespace Kumquatpick
