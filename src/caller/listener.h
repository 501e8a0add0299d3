#pragma once

#include "base/error.h"
#include "caller/connection.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Kumquatpick {

// A thread that accepts connections and polls those without a request in progress, so that idle connections occupy
// no thread of the pool.
class Listener {
public:
    // Takes over a readable connection, or returns it if every thread is busy.
    using Serve = std::function<std::unique_ptr<CallerConnection>(std::unique_ptr<CallerConnection>)>;

    // busyAnswer is the response that is sent if every thread is busy.
    Listener(const CallerSettings&, ConnectionLimits&, Serve, std::string busyAnswer);
    ~Listener();

    // Fails with InvalidArgument if the address can't be bound.
    Result<void> start();
    int socket() const { return m_socket; }
    uint16_t port() const { return m_port; }
    void stop();

    // Polls an idle connection for its next request.
    void watchIdle(std::unique_ptr<CallerConnection>);
    // Closes a connection that may have unread input. Closing at once would reset it, and the caller might lose the
    // answer that was just sent. Input is therefore read and discarded for up to one second before.
    void closeLingering(std::unique_ptr<CallerConnection>);

private:
    struct Watched {
        std::unique_ptr<CallerConnection> connection;
        MonotonicTime until;
        bool closing = false;
    };

    void run();
    void accept();
    void onReadable(int socket);
    void refuseBusy(std::unique_ptr<CallerConnection>);
    void watch(std::unique_ptr<CallerConnection>, Milliseconds atMost, bool closing);
    std::unique_ptr<CallerConnection> unwatch(int socket);
    void closeExpired(MonotonicTime now);
    bool discardInput(int socket);

    const CallerSettings& m_settings;
    ConnectionLimits& m_limits;
    Serve m_serve;
    std::string m_busyAnswer;
    int m_socket = -1;
    int m_epoll = -1;
    int m_wakeEvent = -1;
    uint16_t m_port = 0;
    std::mutex m_mutex;
    std::map<int, Watched> m_watched;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Kumquatpick
