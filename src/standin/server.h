#pragma once

#include "base/address.h"
#include "standin/faults.h"

#include <functional>
#include <httplib.h>
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <thread>

namespace Kumquatpick {

// An HTTP server with the fault switches that every stand-in has, read and set at /faults.
class StandinServer {
public:
    explicit StandinServer(size_t threads);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    httplib::Server& routes() { return m_server; }
    FaultSwitches& faults() { return m_faults; }

    // Binds and serves on a thread of its own; port 0 takes a free one. Fails with Unreachable.
    Result<Address> start(const Address& listen);
    void stop();

private:
    httplib::Server::HandlerResponse beforeRouting(const httplib::Request&);
    void beforeAnswer(const httplib::Request&);

    // The library's own queue of connections not yet accepted is five long: a burst of callers would be reset.
    class BurstServer : public httplib::Server {
    public:
        void lengthenQueue();
    };

    BurstServer m_server;
    FaultSwitches m_faults;
    std::thread m_thread;
};

// Closes the connection that a request came on, without an answer.
void cutConnection(const httplib::Request&);

void answerJson(httplib::Response&, const nlohmann::json&, int status = 200);
uint64_t numberParam(const httplib::Request&, const char* name, uint64_t otherwise);

} // namespace Kumquatpick
