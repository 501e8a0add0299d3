#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Kumquatpick {

// What a client's connection is doing.
enum class ClientStage : uint8_t {
    Idle, // Waits for a request.
    Receiving, // A request arrives.
    Running, // The request was read and is being served, possibly by a backend server.
    Answering, // Only the client has to take its answer.
    Closing, // The last answer was sent; the client's remaining bytes are discarded.
};

// For logs.
constexpr const char* name(ClientStage stage)
{
    constexpr const char* names[] = { "idle", "receiving", "running", "answering", "closing" };
    return names[static_cast<size_t>(stage)];
}

// Bounds what the clients of one listener make the process hold, in sum: memory and connections. Where room is short,
// it names the connection to end: the one with the largest product of memory and time, so that a client that has just
// come is not the one to go. Contains no I/O; the caller passes the time in.
class ClientBudget {
public:
    using Id = uint64_t;
    struct Limits {
        size_t bytes = 0;
        size_t connections = 0;
    };
    struct Connection {
        ClientStage stage = ClientStage::Idle;
        size_t bytes = 0;
        MonotonicTime since {}; // Start of the request, or of the wait for one.
        bool isLeaving = false; // Was chosen to end and has not ended yet.
        bool hasDescriptor = true;
    };

    explicit ClientBudget(Limits limits)
        : m_limits(limits)
    {
    }

    Id add(MonotonicTime now);
    void remove(Id);
    // Running and Answering go on with the time of the request; the other stages start a new one.
    void setStage(Id, ClientStage, MonotonicTime now);
    void setBytes(Id, size_t bytes);
    // The connection was closed, but still holds memory.
    void releaseDescriptor(Id);

    // Whether so many more bytes fit now, or once those that are leaving have gone.
    bool fits(size_t bytes) const { return m_bytes + bytes <= m_limits.bytes; }
    bool willFit(size_t bytes) const { return m_bytes - m_leavingBytes + bytes <= m_limits.bytes; }
    // Whoever takes memory that is still being left has to wait until the count of released bytes has come this far;
    // those that take some later wait longer.
    uint64_t releasePoint() const { return m_releasedBytes + m_leavingBytes; }
    bool hasReleased(uint64_t point) const { return m_releasedBytes >= point; }
    bool fitsConnection() const { return m_descriptors < m_limits.connections; }

    // Choose the connection to end for more memory or another connection, and count it as leaving. Nothing if none may
    // be ended. A running request is not ended for another connection, and for memory only if it holds far more than
    // others.
    std::optional<Id> endForBytes(MonotonicTime now);
    std::optional<Id> endForConnection(MonotonicTime now);

    const Connection& at(Id id) const { return m_connections.at(id); }
    const Limits& limits() const { return m_limits; }
    size_t bytes() const { return m_bytes; }
    size_t connections() const { return m_descriptors; }

private:
    // Connections of the same order of size, the oldest first.
    using Bucket = std::set<std::pair<MonotonicTime, Id>>;
    static constexpr size_t orders = 64; // Of size, by powers of two.

    void enlist(Id);
    void delist(Id);
    Bucket& bucketOf(const Connection&);
    void compareOldest(
        const std::array<Bucket, orders>&, double weight, MonotonicTime now, std::optional<Id>&, double& highest) const;
    void markLeaving(Id);
    void releaseLeaving(size_t bytes);

    Limits m_limits;
    Id m_nextId = 1;
    std::map<Id, Connection> m_connections;
    std::array<Bucket, orders> m_running;
    std::array<Bucket, orders> m_others;
    size_t m_bytes = 0;
    size_t m_leavingBytes = 0;
    uint64_t m_releasedBytes = 0; // By connections that were leaving, since the start.
    size_t m_descriptors = 0;
};

} // namespace Kumquatpick
