#include "gateway/recordfeed.h"

#include "gateway/evacuationcodec.h"

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

    std::string text(const json& value)
    {
        const auto& bytes = value.get_binary();
        return { bytes.begin(), bytes.end() };
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
    auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

std::optional<RecordBatch> decodeRecordBatch(std::string_view bytes)
{
    try {
        json document = json::from_cbor(bytes.begin(), bytes.end());
        RecordBatch batch;
        batch.nextOffset = document.at("next").get<uint64_t>();
        batch.age = Milliseconds(document.at("age_ms").get<int64_t>());
        batch.isListing = document.value("list", false);
        batch.configVersion = document.at("config").get<uint64_t>();
        batch.configAge = Milliseconds(document.at("config_age_ms").get<int64_t>());
        batch.storeUptime = Milliseconds(document.at("served_ms").get<int64_t>());
        if (document.contains("evacuations"))
            batch.evacuations = decodeEvacuations(document["evacuations"]);
        for (const auto& entry : document.at("records")) {
            LogRecord record;
            record.key = text(entry.at("k"));
            record.offset = entry.at("o").get<uint64_t>();
            if (entry.contains("v"))
                record.value = text(entry["v"]);
            record.isReadable = !entry.contains("bad");
            batch.records.push_back(std::move(record));
        }
        return batch;
    } catch (const json::exception&) {
        return std::nullopt; // The receiver logs it with the peer's address.
    }
}

} // namespace Kumquatpick
