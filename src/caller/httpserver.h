#pragma once

#include "caller/connection.h"
#include "caller/listener.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <tbb/concurrent_queue.h>
#include <thread>
#include <vector>

namespace Kumquatpick {

// cpp-httplib's server with its accept loop, thread pool and socket reading replaced, as those limit neither
// waiting connections nor the bytes and time that a request may take to arrive. The library still parses requests
// and writes responses.
class HttpServer : private httplib::Server {
public:
    // Called on a pool thread; the response may have a content provider, which runs on the same thread.
    using Handle = std::function<void(const httplib::Request&, const RequestLine&, httplib::Response&)>;
    // Writes the error body for an error reported by the library or a limit. The response's status is already set.
    using HandleError = std::function<void(const httplib::Request&, httplib::Response&)>;

    HttpServer(const CallerSettings&, ConnectionLimits&, Handle, HandleError, std::string busyAnswer);
    ~HttpServer() override;

    Result<void> start();
    uint16_t port() const { return m_listener.port(); }
    // Stops accepting connections and closes those without a request in progress.
    void stopListening() { m_listener.stop(); }
    // Aborts every request in progress.
    void stopNow();
    // Number of requests being read, served or answered.
    size_t inProgress() const { return m_inProgress; }

private:
    void setUpRoutes();
    std::unique_ptr<CallerConnection> enqueue(std::unique_ptr<CallerConnection>);
    void runWorker();
    void serveRequests(std::unique_ptr<CallerConnection>);
    bool serveRequest(CallerConnection&);
    void respondMalformed(CallerConnection&);

    const CallerSettings& m_settings;
    Handle m_handle;
    HandleError m_handleError;
    Listener m_listener;
    std::atomic<int64_t> m_idleThreads { 0 };
    std::atomic<size_t> m_inProgress { 0 };
    tbb::concurrent_bounded_queue<CallerConnection*> m_waiting; // At most as many as there are idle threads.
    std::vector<std::thread> m_threads;
    std::mutex m_activeMutex;
    std::set<CallerConnection*> m_active;
    bool m_stopped = false;
};

} // namespace Kumquatpick
