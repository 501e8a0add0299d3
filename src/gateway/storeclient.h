#pragma once

#include "fleet/logreadtiming.h"
#include "gateway/context.h"
#include "gateway/recordfeed.h"

#include <functional>
#include <memory>
#include <string>

namespace Kumquatpick {

// Shared by all followers of the store's logs: whether the store serves this node, and since when.
class StoreHealth {
public:
    explicit StoreHealth(GatewayContext& context)
        : m_context(context)
    {
    }

    void recordResponse();
    void recordFailure(const Error&);
    bool isServing() const { return m_isServing; }
    // Records the start of service reported by a node that reads the store for this one.
    void observePeerServedSince(MonotonicTime since) { m_servedSince = std::max(m_servedSince, since); }
    // When the store last resumed serving this node after an outage.
    MonotonicTime servedSince() const { return m_servedSince; }

private:
    GatewayContext& m_context;
    bool m_isServing = false;
    int m_failures = 0;
    MonotonicTime m_servedSince {};
};

// Follows one log of the platform's store: for keyed logs it lists the newest record of each key first, then reads
// every record in order. If records were deleted before they were read, it starts again with a listing.
class LogFollower {
public:
    struct Handlers {
        // beginListing and endListing enclose a listing of newest records; keys missing from it were deleted.
        std::function<void()> beginListing;
        std::function<bool(const LogRecord&)> record; // Returns false if the record changes nothing.
        std::function<void()> endListing;
        std::function<void()> caughtUp = [] {}; // All existing records were read.
    };
    struct ReadOptions {
        LogReadTiming reads;
        Milliseconds readPause; // Pause between reads, so that one read returns several records.
        Milliseconds quietPause; // Pause after a read that changed nothing.
        bool isKeyed = true;
    };

    // Result of reading from another node in place of the store: the records from an offset on, or a listing if that
    // node no longer has them.
    struct PeerReadResult {
        std::optional<RecordBatch> batch; // Nothing if there is no node to ask or none responds in time.
        bool mayReadStore = true; // If false, only other nodes may be asked.
    };
    // If the store is unavailable, all nodes that read it are asked.
    using ReadFromPeer = std::function<asio::awaitable<PeerReadResult>(uint64_t from, bool isStoreUnavailable)>;

    LogFollower(GatewayContext&, StoreHealth&, LogName, ReadOptions, Handlers);
    void setReadFromPeer(ReadFromPeer read)
    {
        m_readFromPeer = std::move(read);
        m_mayReadStore = false;
    }
    // Whether this node reads the store itself, rather than from a node that reads it for others.
    bool mayReadStore() const { return m_mayReadStore; }
    // Follows the log only while the predicate is true, and continues where it stopped.
    void followWhile(std::function<bool()> predicate) { m_isActive = std::move(predicate); }
    // Recently read records, for other nodes.
    const RecordFeed& feed() const { return m_feed; }
    // Runs until the event loop ends.
    asio::awaitable<void> run();
    uint64_t nextOffset() const { return m_nextOffset; }
    // Whether another node recently read the store for this one.
    bool hasRecentPeerRead() const;
    // When the log was last read to its end, by this node or by the node that reads for it; nothing before the first
    // time.
    std::optional<MonotonicTime> syncedAt() const { return m_syncedAt; }

private:
    // Pages of the newest records received so far.
    struct Listing {
        MonotonicTime begunAt;
        uint64_t end = 0; // End of the log at the first page.
        std::string after; // The last key.
        std::vector<LogRecord> records;
    };
    enum class Outcome : uint8_t {
        Done,
        Failed,
        RetryPeers,
    };

    asio::awaitable<Outcome> readOnce();
    asio::awaitable<bool> listNewest();
    asio::awaitable<std::optional<bool>> listPage();
    asio::awaitable<bool> readOn();
    bool applyBatch(RecordBatch);
    void applyListing(std::vector<LogRecord>, uint64_t nextOffset, MonotonicTime readAt);
    std::vector<LogRecord> applyRecords(std::vector<LogRecord>, uint64_t nextOffset);
    void readFailed(const Error&, MonotonicTime askedAt);

    GatewayContext& m_context;
    StoreHealth& m_health;
    LogName m_log;
    ReadOptions m_readOptions;
    Handlers m_handlers;
    ReadFromPeer m_readFromPeer;
    std::function<bool()> m_isActive = [] { return true; };
    RecordFeed m_feed;
    uint64_t m_nextOffset = 0;
    bool m_isListed = false;
    bool m_hadNews = true; // The latest read changed something.
    bool m_mayReadStore = true; // According to the latest PeerReadResult.
    std::optional<Listing> m_listing; // In progress.
    LogReadTiming m_reads;
    MonotonicTime m_storeTriedAt {};
    std::optional<MonotonicTime> m_syncedAt;
    std::optional<MonotonicTime> m_peerReadAt; // Set if the latest successful read was from a peer.
};

} // namespace Kumquatpick
