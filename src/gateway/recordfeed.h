#pragma once

#include "base/clock.h"
#include "fleet/evacuations.h"
#include "gateway/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Records of one log that a reader of the store passes to the other nodes of its zone. Offsets are those of the store,
// so a node may continue at this reader, at another one or at the store, in any order.
struct RecordBatch {
    std::vector<LogRecord> records; // The changed ones of all records from the requested offset on.
    uint64_t nextOffset = 0;
    Milliseconds age {}; // Time since the reader last got a response from the store.
    bool isListing = false; // The records are the newest of all keys; other keys do not exist.
    uint64_t configVersion = 0; // Version that the reader has.
    Milliseconds configAge {}; // Time since the reader last confirmed which version is the newest.
    std::optional<EvacuationReport> evacuations; // What the reader knows of evacuated zones.
    Milliseconds storeUptime {}; // Time since the store resumed serving the reader; entries may have expired before.
};

// The part of a log that one node keeps for other nodes. It holds recent records that changed something, because the
// heartbeats of all hosts would saturate the links of small nodes, and the newest record of each key, for nodes that
// lag further behind or have just started. If each node read a list of thousands of hosts from the store, that would
// take all of the store's bandwidth. Not thread-safe.
class RecordFeed {
public:
    // Replaces the contents with a listing of all records of the log.
    void replaceAll(std::span<const LogRecord>, uint64_t nextOffset, MonotonicTime readAt);
    // Adds the changed records of a read from one offset up to another.
    void append(uint64_t from, std::vector<LogRecord> news, uint64_t nextOffset, MonotonicTime readAt);
    // Discards all earlier records, because some are missing.
    void restart(uint64_t nextOffset, MonotonicTime readAt);
    // Returns the records from the offset on, or a full listing if they are no longer buffered. Returns nothing if
    // neither is available.
    std::optional<RecordBatch> readFrom(uint64_t offset, MonotonicTime now) const;

private:
    std::deque<LogRecord> m_records;
    std::map<std::string, LogRecord, std::less<>> m_newest; // By key.
    bool m_isComplete = false; // m_newest has the newest record of every key.
    size_t m_bytes = 0;
    uint64_t m_firstOffset = 0; // All changed records from here on are buffered.
    uint64_t m_nextOffset = 0;
    std::optional<MonotonicTime> m_readAt;
};

std::string encode(const RecordBatch&);
// Returns nothing if the bytes cannot be decoded.
std::optional<RecordBatch> decodeRecordBatch(std::string_view);

} // namespace Kumquatpick
