#pragma once

#include "fleet/clientbudget.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>

namespace Kumquatpick {

class Metrics;

// Bounds what all callers' connections hold, for several threads. Shuts down the socket of a connection that has to
// end, which then fails to read and write; its thread closes it.
class ConnectionLimits {
public:
    using Id = ClientBudget::Id;

    ConnectionLimits(ClientBudget::Limits, Metrics&);

    // Registers a connection, for which it may end another one; nothing if all others run requests.
    std::optional<Id> admit(int socket);
    // To be called before the socket is closed.
    void remove(Id);
    void enter(Id, ClientStage);
    // Waits until the connection may hold so many bytes in all. Returns false if it has to end instead, or if there is
    // no room before the deadline.
    bool reserve(Id, size_t bytes, MonotonicTime deadline);

private:
    void end(Id, std::string_view shortage);
    void logEnd(const ClientBudget::Connection&, std::string_view shortage);

    std::mutex m_mutex;
    std::condition_variable m_released;
    ClientBudget m_budget;
    std::map<Id, int> m_sockets;
    Metrics& m_metrics;
    MonotonicTime m_nextLogAt {};
    uint64_t m_unlogged = 0; // Ended since the last line.
};

} // namespace Kumquatpick
