#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Kumquatpick {

// What one client of a crowd sends. It reads nothing, and keeps its connection open after the last byte.
struct CrowdScript {
    std::string begin; // Sent first.
    std::string unit; // Then sent this many times.
    size_t units = 0;
    std::string end; // Sent last.
};

// Clients on one port of this machine that send what their scripts say, from one thread and without a pause. Their
// connections stay open until the object goes, unless the other side closes them.
class ClientCrowd {
public:
    ClientCrowd(uint16_t port, std::vector<CrowdScript>);
    // As many clients with the same script.
    ClientCrowd(uint16_t port, size_t clients, const CrowdScript& script)
        : ClientCrowd(port, std::vector<CrowdScript>(clients, script))
    {
    }
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    // Sends until every client has sent all or lost its connection, or no byte was taken from any of them for a while.
    // The watch is called now and then.
    void sendAll(const std::function<void()>& watch);
    // Connections that the other side has not closed.
    size_t openConnections() const;

private:
    struct Client {
        int socket = -1;
        CrowdScript script;
        size_t unitsSent = 0;
        size_t position = 0; // Within the current part of the script.
        uint8_t part = 0; // 0: begin, 1: the units, 2: end, 3: all is sent.

        bool isSending() const { return socket >= 0 && part < 3; }
        // Returns how many bytes were taken.
        size_t sendSome();
    };

    std::vector<Client> m_clients;
};

} // namespace Kumquatpick
