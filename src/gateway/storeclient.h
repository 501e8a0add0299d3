#pragma once

#include "fleet/logreads.h"
#include "gateway/context.h"
#include "gateway/recordfeed.h"

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
    // The same, as a node told that reads the store for this one.
    void servesPeerSince(MonotonicTime since) { m_servesSince = std::max(m_servesSince, since); }
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
        std::function<bool(const LogRecord&)> record; // False if it says nothing new.
        std::function<void()> endListing;
        std::function<void()> upToDate = [] {}; // All records that there are were read.
    };
    struct Pace {
        LogReads reads;
        Milliseconds pauseAfter; // Between reads, so that one read takes several records.
        bool isKeyed = true;
    };

    // What another node gave in place of the store: from there on, or a listing where it does not keep that.
    struct PeerRead {
        std::optional<RecordBatch> batch; // Nothing if no node can be asked or none answers in time.
        bool mayReadStore = true; // Else only other nodes are to be asked.
    };
    // A node that the store turns away asks all that read it.
    using ReadFromPeer = std::function<asio::awaitable<PeerRead>(uint64_t from, bool isTurnedAway)>;

    LogFollower(GatewayContext&, StoreHealth&, LogName, Pace, Handlers);
    void readFromPeers(ReadFromPeer read) { m_readFromPeer = std::move(read); }
    // Follows only while this holds; reads on from where it was once it holds again.
    void followWhile(std::function<bool()> isWanted) { m_isWanted = std::move(isWanted); }
    // What was read lately, for other nodes.
    const RecordFeed& feed() const { return m_feed; }
    // Until the event loop ends.
    asio::awaitable<void> run();
    uint64_t nextOffset() const { return m_next; }
    // Whether another node lately read the store for this one.
    bool isReadByPeer() const;
    // When the log was last read to its end, here or by that node; nothing before the first time.
    std::optional<MonotonicTime> heardAt() const { return m_heardAt; }

private:
    // Pages of the newest records that the store gave so far.
    struct Listing {
        MonotonicTime begunAt;
        uint64_t end = 0; // Where the log ended at the first page.
        std::string after; // The last key.
        std::vector<LogRecord> records;
    };
    enum class Outcome : uint8_t {
        Done,
        Failed,
        AskPeersAgain,
    };

    asio::awaitable<Outcome> readOnce();
    asio::awaitable<bool> listNewest();
    asio::awaitable<std::optional<bool>> listPage();
    asio::awaitable<bool> readOn();
    bool takeBatch(RecordBatch);
    void takeListing(std::vector<LogRecord>, uint64_t nextOffset, MonotonicTime readAt);
    std::vector<LogRecord> takeRecords(std::vector<LogRecord>, uint64_t nextOffset);
    void readFailed(const Error&, MonotonicTime askedAt);

    GatewayContext& m_context;
    StoreHealth& m_health;
    LogName m_log;
    Pace m_pace;
    Handlers m_handlers;
    ReadFromPeer m_readFromPeer;
    std::function<bool()> m_isWanted = [] { return true; };
    RecordFeed m_feed;
    uint64_t m_next = 0;
    bool m_isListed = false;
    bool m_mayReadStore = true; // By the latest PeerRead.
    std::optional<Listing> m_listing; // Under way.
    LogReads m_reads;
    MonotonicTime m_storeTriedAt {};
    std::optional<MonotonicTime> m_heardAt;
    std::optional<MonotonicTime> m_peerReadAt; // Read through a peer, as the latest that succeeded.
};

} // namespace Kumquatpick
