#pragma once

#include "base/clock.h"
#include "gateway/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Records of one log that a reader of the store hands on to the other nodes of its zone. Offsets are the store's, so a
// node may read on here, at another reader or at the store itself, in any order.
struct RecordBatch {
    std::vector<LogRecord> records; // Those with news, of all from the offset that was asked for.
    uint64_t nextOffset = 0;
    Milliseconds age {}; // Since the reader last heard from the store.
    bool isListing = false; // The records are the newest of all keys: other keys are gone.
    uint64_t configVersion = 0; // That the reader has.
    Milliseconds configAge {}; // Since the reader last heard which version is the newest.
    Milliseconds storeServedFor {}; // Since the store began to serve the reader again: entries may have lapsed before.
};

// What one node knows of a log, for nodes that read on here: what it read lately, without the records that say nothing
// new, as heartbeats of all hosts would fill the links of small nodes; and the newest record of each key, for who lags
// further or knows nothing yet. A list of thousands of hosts read from the store by each node would take all that the
// store can send. Not thread-safe.
class RecordFeed {
public:
    // All records of the log were listed.
    void listed(std::span<const LogRecord>, uint64_t nextOffset, MonotonicTime readAt);
    // The log was read from one offset up to another; these are the records in between that have news.
    void took(uint64_t from, std::vector<LogRecord> news, uint64_t nextOffset, MonotonicTime readAt);
    // What was read before counts no more: records are missing.
    void restart(uint64_t nextOffset, MonotonicTime readAt);
    // From there on, or, where these are not kept, all. Nothing if neither is known.
    std::optional<RecordBatch> from(uint64_t offset, MonotonicTime now) const;

private:
    std::deque<LogRecord> m_records;
    std::map<std::string, LogRecord, std::less<>> m_newest; // By key.
    bool m_knowsAll = false; // The newest of each key.
    size_t m_bytes = 0;
    uint64_t m_first = 0; // All news from here on are kept.
    uint64_t m_next = 0;
    std::optional<MonotonicTime> m_readAt;
};

std::string encode(const RecordBatch&);
// Nothing if it can't be read.
std::optional<RecordBatch> decodeRecordBatch(std::string_view);

} // namespace Kumquatpick
