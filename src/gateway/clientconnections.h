#pragma once

#include "fleet/clientbudget.h"
#include "gateway/http.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Kumquatpick {

class ClientShare;
class EventLog;
class Metrics;

// What is short when a connection has to end.
enum class Shortage : uint8_t {
    Memory, // It may still write a short refusal.
    Descriptors, // It has to close its socket at once.
};

// For logs and metrics.
constexpr const char* name(Shortage shortage) { return shortage == Shortage::Memory ? "memory" : "descriptors"; }

// The open connections of one listener, within a budget. Ends connections where the budget is exhausted. Used from one
// event loop.
class ClientConnections {
public:
    using End = std::function<void(Shortage)>;

    // The name of the listener is for logs and metrics.
    ClientConnections(asio::io_context&, std::string listener, ClientBudget::Limits, EventLog&, Metrics&);

    // Registers a connection, for which it may end another one; nullptr if there is no place. end: tells the connection
    // to end; not called before this function has returned.
    std::unique_ptr<ClientShare> admit(End);
    void publishMetrics() const;

private:
    friend class ClientShare;

    // Tells connections to end until so many bytes will fit; false if they cannot.
    bool makeRoom(size_t bytes);
    void setBytes(ClientBudget::Id, size_t bytes);
    void end(ClientBudget::Id, Shortage);
    void logEnd(ClientBudget::Id, Shortage);

    std::string m_listener;
    ClientBudget m_budget;
    EventLog& m_log;
    Metrics& m_metrics;
    std::map<ClientBudget::Id, End> m_ends;
    asio::steady_timer m_released; // Never expires; cancelled when a connection that leaves has released memory.
};

// What a connection may hold memory for.
enum class HeldPart : uint8_t {
    Connection, // The connection itself.
    Buffer, // Bytes that were read and not parsed.
    Head,
    Body,
    SentCopy, // Of the request, while it is being sent to a backend server.
    Answer,
    Unread, // Bytes that the system has received for the process.
    Count,
};

// The part of one connection in the budget of its listener; given back with the object.
class ClientShare {
public:
    ClientShare(ClientConnections&, ClientBudget::Id);
    ~ClientShare();
    ClientShare(const ClientShare&) = delete;
    ClientShare& operator=(const ClientShare&) = delete;

    void enter(ClientStage);
    // Records memory that is held already, or is no longer.
    void hold(HeldPart, size_t bytes);
    // Before memory is taken: makes room for the new size of the part and records it, so that nobody else takes the
    // room. Waits for the connections that end for it. Returns false if this connection has to end instead.
    asio::awaitable<bool> reserve(HeldPart, size_t bytes);
    // Records the new size if there is room for it without ending a connection.
    bool tryReserve(HeldPart, size_t bytes);
    // The socket was closed.
    void releaseDescriptor();
    ClientStage stage() const { return m_owner.m_budget.at(m_id).stage; }
    // The connection was told to end, and has not sent its last answer yet.
    bool isLeaving() const { return m_owner.m_budget.at(m_id).isLeaving; }

private:
    ClientConnections& m_owner;
    ClientBudget::Id m_id;
    std::array<size_t, static_cast<size_t>(HeldPart::Count)> m_parts {};
    size_t m_total = 0;
};

} // namespace Kumquatpick
