#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Kumquatpick {

class LogAppender;
class LogReader;

// Periodically checks whether a snapshot of the replicated state is due, and appends it before the records that a new
// reader needs exceed the log's retention.
class SnapshotLoop {
public:
    struct Settings {
        Milliseconds period { 5'000 };
        Milliseconds retention {};
        // The lease holder appends a snapshot after this many records, if none was due earlier by age.
        uint64_t recordInterval = 0;
        double spread = 0; // 0..1, of this node; see SnapshotDuty::spread.
    };

    SnapshotLoop(Settings, LogReader&, LogAppender&, std::function<bool()> holdsLease);
    ~SnapshotLoop();

    void start();
    void stop();

private:
    void run();
    bool isDue() const;
    void append();

    Settings m_settings;
    LogReader& m_reader;
    LogAppender& m_appender;
    std::function<bool()> m_holdsLease;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Kumquatpick
