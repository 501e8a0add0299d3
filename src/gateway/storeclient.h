#pragma once

#include "gateway/context.h"

#include <functional>
#include <memory>
#include <string>

namespace Kumquatpick {

// What followers of the store's logs agree on: whether the store serves this node, and since when.
class StoreHealth {
public:
    explicit StoreHealth(GatewayContext& context)
        : m_context(context)
    {
    }

    void answered();
    void failed(const Error&);
    bool isServing() const { return m_isServing; }
    // When the store last began to serve this node again after an interruption.
    MonotonicTime servesSince() const { return m_servesSince; }

private:
    GatewayContext& m_context;
    bool m_isServing = false;
    int m_failures = 0;
    MonotonicTime m_servesSince {};
};

// Follows one log of the platform's store: for keyed logs first the newest record of each key, then every record in
// order. Where records were deleted before they were read, it starts over with the newest ones.
class LogFollower {
public:
    struct Handlers {
        // begin/end bracket a listing of newest records: keys that it lacks were dropped.
        std::function<void()> beginListing;
        std::function<void(const LogRecord&)> record;
        std::function<void()> endListing;
    };
    struct Pace {
        Milliseconds wait; // How long the store may hold a read that finds nothing.
        Milliseconds pauseAfter; // Between reads, so that one read takes several records.
        bool isKeyed = true;
    };

    LogFollower(GatewayContext&, StoreHealth&, LogName, Pace, Handlers);
    // Until the event loop ends.
    asio::awaitable<void> run();
    uint64_t nextOffset() const { return m_next; }

private:
    asio::awaitable<bool> listNewest();
    asio::awaitable<bool> readOn();
    asio::awaitable<void> backOff();

    GatewayContext& m_context;
    StoreHealth& m_health;
    LogName m_log;
    Pace m_pace;
    Handlers m_handlers;
    uint64_t m_next = 0;
    bool m_isListed = false;
    int m_failures = 0;
};

} // namespace Kumquatpick
