#pragma once

#include "base/clock.h"
#include "gateway/platform.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Records of one log that a reader of the store hands on to the other nodes of its zone. Offsets are the store's, so a
// node may read on here, at another reader or at the store itself, in any order.
struct RecordBatch {
    std::vector<LogRecord> records; // Those with news, of all from the offset that was asked for.
    uint64_t nextOffset = 0;
    Milliseconds age {}; // Since the reader last heard from the store.
    uint64_t configVersion = 0; // That the reader has.
    Milliseconds storeServedFor {}; // Since the store began to serve the reader again: entries may have lapsed before.
};

// What one node read of a log lately, without the records that say nothing new: of 760 hosts' heartbeats a zone's
// readers sent 18 Mbit/s and more, over links of 20. Bounded: who lags further reads from the store. Not thread-safe.
class RecordFeed {
public:
    // The log was read from one offset up to another; these are the records in between that have news.
    void took(uint64_t from, std::vector<LogRecord> news, uint64_t nextOffset, MonotonicTime now);
    // The log was listed anew, or read elsewhere meanwhile.
    void restart(uint64_t nextOffset, MonotonicTime now);
    // Nothing if records from there on are not kept, or none was read yet.
    std::optional<RecordBatch> from(uint64_t offset, MonotonicTime now) const;

private:
    std::deque<LogRecord> m_records;
    size_t m_bytes = 0;
    uint64_t m_first = 0; // All news from here on are kept.
    uint64_t m_next = 0;
    std::optional<MonotonicTime> m_readAt;
};

std::string encode(const RecordBatch&);
// Nothing if it can't be read.
std::optional<RecordBatch> decodeRecordBatch(std::string_view);

} // namespace Kumquatpick
