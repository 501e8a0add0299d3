#pragma once

#include "connection.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace Review {

// Listens on a loopback port of its own, with a thread for each connection.
class Server {
public:
    // Handles one request; returns whether the connection may carry another one.
    using Handler = std::function<bool(const Message&, Connection&)>;

    explicit Server(Handler);

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    // Refuses new connections and resets those that are open, as after the end of its process or behind a cut.
    void stopListening();
    void listenAgain();
    // Refuses new connections; the open ones stay.
    void refuseNew();

private:
    int bind();
    void listen();
    void accept(int listener);
    void serve(int descriptor);

    Handler m_handler;
    std::mutex m_mutex;
    std::set<Connection*> m_connections;
    int m_listener = -1;
    int m_port = 0;
};

} // namespace Review
