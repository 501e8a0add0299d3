#include "gateway/recordfeed.h"

#include "base/document.h"
#include "base/documentreader.h"
#include "gateway/evacuationcodec.h"
#include "gateway/peernumbers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    // Some thousand changed entries, more than the initial plan of a whole fleet produces; a small part of a host's
    // memory.
    constexpr size_t maxBufferedBytes = 512 * 1024;

    size_t sizeOf(const LogRecord& record) { return record.key.size() + record.value.value_or("").size(); }

    json binary(std::string_view bytes) { return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end())); }

    // Far above the list of a large fleet.
    constexpr DocumentLimits limits { 32 << 20, 8, 200'000 };

    LogRecord decodeRecord(const DocumentReader& entry)
    {
        LogRecord record;
        record.key = entry["k"].bytes();
        record.offset = entry["o"].integer(maxPeerInteger);
        if (entry["v"].exists())
            record.value = std::string(entry["v"].bytes());
        record.isReadable = !entry["bad"].exists();
        return record;
    }

    RecordBatch decodeBatch(const DocumentReader& document)
    {
        RecordBatch batch;
        batch.nextOffset = document["next"].integer(maxPeerInteger);
        batch.age = decodePeerDuration(document["age_ms"]);
        batch.isListing = document["list"].flag(false);
        batch.configVersion = document["config"].integer(maxPeerInteger);
        batch.configAge = decodePeerDuration(document["config_age_ms"]);
        batch.storeUptime = decodePeerDuration(document["served_ms"]);
        if (document["evacuations"].exists())
            batch.evacuations = decodeEvacuations(document["evacuations"]);
        for (const DocumentReader& entry : document["records"].elements())
            batch.records.push_back(decodeRecord(entry));
        return batch;
    }

}

void RecordFeed::replaceAll(std::span<const LogRecord> records, uint64_t nextOffset, MonotonicTime readAt)
{
    restart(nextOffset, readAt);
    for (const LogRecord& record : records) {
        if (!record.key.empty())
            m_newest.insert_or_assign(record.key, record);
    }
    m_isComplete = true;
}

void RecordFeed::append(uint64_t from, std::vector<LogRecord> news, uint64_t nextOffset, MonotonicTime readAt)
{
    if (from != m_nextOffset)
        restart(from, readAt);
    for (LogRecord& record : news) {
        bool isGone = record.isReadable && !record.value;
        if (isGone)
            m_newest.erase(record.key);
        else if (!record.key.empty())
            m_newest.insert_or_assign(record.key, record);
        m_bytes += sizeOf(record);
        m_records.push_back(std::move(record));
    }
    while (m_bytes > maxBufferedBytes) {
        m_bytes -= sizeOf(m_records.front());
        m_firstOffset = m_records.front().offset + 1;
        m_records.pop_front();
    }
    m_nextOffset = nextOffset;
    m_readAt = readAt;
}

void RecordFeed::restart(uint64_t nextOffset, MonotonicTime readAt)
{
    m_records.clear();
    m_newest.clear();
    m_isComplete = false;
    m_bytes = 0;
    m_firstOffset = nextOffset;
    m_nextOffset = nextOffset;
    m_readAt = readAt;
}

std::optional<RecordBatch> RecordFeed::readFrom(uint64_t offset, MonotonicTime now) const
{
    bool isKept = offset >= m_firstOffset;
    if (!m_readAt || (!isKept && !m_isComplete))
        return std::nullopt;
    RecordBatch batch;
    batch.nextOffset = std::max(offset, m_nextOffset);
    batch.age = std::chrono::ceil<Milliseconds>(now - *m_readAt);
    if (!isKept) {
        batch.isListing = true;
        for (const auto& [key, record] : m_newest)
            batch.records.push_back(record);
        std::ranges::sort(batch.records, {}, &LogRecord::offset);
        return batch;
    }
    std::ranges::copy_if(
        m_records, std::back_inserter(batch.records), [&](const LogRecord& record) { return record.offset >= offset; });
    return batch;
}

// CBOR, because records may contain arbitrary bytes, which JSON text cannot hold.
std::string encode(const RecordBatch& batch)
{
    json records = json::array();
    for (const LogRecord& record : batch.records) {
        json entry { { "k", binary(record.key) }, { "o", record.offset } };
        if (record.value)
            entry["v"] = binary(*record.value);
        if (!record.isReadable)
            entry["bad"] = true;
        records.push_back(std::move(entry));
    }
    json document { { "records", std::move(records) }, { "next", batch.nextOffset }, { "age_ms", batch.age.count() },
        { "list", batch.isListing }, { "config", batch.configVersion }, { "config_age_ms", batch.configAge.count() },
        { "served_ms", batch.storeUptime.count() } };
    if (batch.evacuations)
        document["evacuations"] = encodeEvacuations(*batch.evacuations);
    return encodeCbor(document);
}

std::optional<RecordBatch> decodeRecordBatch(std::string_view bytes)
{
    auto decoded = decodeDocument(DocumentFormat::Cbor, bytes, limits, Step::Gossip);
    auto* document = std::get_if<json>(&decoded);
    if (!document)
        return std::nullopt; // The receiver logs it with the peer's address.
    DocumentReader::Problem problem;
    RecordBatch batch = decodeBatch({ *document, problem });
    return problem.isFound() ? std::nullopt : std::optional(std::move(batch));
}

} // namespace Kumquatpick
