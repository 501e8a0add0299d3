#pragma once

#include "message.h"

#include <chrono>
#include <string>

namespace Review {

// One TCP connection on a loopback address. Blocking, with a time limit for each call.
class Connection {
public:
    using Milliseconds = std::chrono::milliseconds;

    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Returns -1 if nothing listens there.
    static int connectTo(int port);

    bool isOpen() const { return m_descriptor >= 0; }
    bool write(std::string_view bytes);
    // Reads a request or a response with its body. False if the connection ended or the time passed before its head
    // was whole; a body that broke off is marked as such.
    bool read(Message&, Milliseconds limit);
    // Whether the peer has closed the connection.
    bool isClosedByPeer();
    void close();
    // From another thread: ends what it reads or writes now.
    void shutdown();

private:
    using Time = std::chrono::steady_clock::time_point;

    bool fill(Time until);
    bool readChunks(Message&, Time until);

    int m_descriptor;
    std::string m_buffer;
};

// Builds a request or a response with the length of its body.
std::string format(const Message&);

} // namespace Review
