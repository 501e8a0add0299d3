#pragma once

#include "base/clock.h"
#include "standin/server.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace Kumquatpick {

// The platform's weight store: bytes without meaning, at one rate shared by all readers.
class WeightStore {
public:
    explicit WeightStore(uint64_t bytesPerSecond);
    ~WeightStore();

    StandinServer& server() { return m_server; }

private:
    void stream(const httplib::Request&, httplib::Response&);
    bool send(size_t left, httplib::DataSink&);
    bool waitForTurn(size_t bytes);

    uint64_t m_bytesPerSecond;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    MonotonicTime m_nextFree {};
    bool m_stopping = false;
    std::atomic<uint32_t> m_readers { 0 };
    StandinServer m_server;
};

} // namespace Kumquatpick
