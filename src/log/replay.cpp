#include "log/replay.h"

#include "base/logline.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // Times are kept for every 64th record only, to keep the map small.
    constexpr Offset timeSampleInterval = 64;

    std::optional<Record> decodeOrSkip(const RawRecord& raw)
    {
        auto record = settle([&] { return decodeRecord(raw.body); });
        if (auto* error = std::get_if<Error>(&record)) {
            logLine(LogLevel::Error, "skipped an unreadable log record",
                { { "offset", raw.offset }, { "detail", error->detail } });
            return std::nullopt;
        }
        return std::get<Record>(std::move(record));
    }

}

Offset LogReplay::nextOffset() const { return m_awaitingSnapshot ? m_nextBufferedOffset : m_state.offset() + 1; }

Result<ReplayStep> LogReplay::add(const LogPage& page)
{
    if (m_awaitingSnapshot && page.next < nextOffset())
        stopAwaiting();
    if (page.next < nextOffset())
        return fail({ ErrorCode::Stale, Step::LogRead, {},
            fmt::format("the log has lost records: it ends before offset {}, but the next offset to read is {}",
                page.next, nextOffset()) });
    m_earliest = page.earliest;
    if (page.earliest > nextOffset()) {
        // Records are missing: this reader is new, or was disconnected for longer than records are retained.
        m_awaitingSnapshot = true;
        m_bufferedRecords.clear();
        m_nextBufferedOffset = page.earliest;
        m_assembler = {};
    }
    ReplayStep step;
    for (const RawRecord& raw : page.records) {
        if (raw.offset != nextOffset())
            continue;
        if (m_awaitingSnapshot)
            bufferUntilSnapshot(raw, step);
        else
            applyRecord(raw, step);
    }
    return step;
}

// An earlier page told of records that the log does not have. Nothing after the state's offset has been applied.
void LogReplay::stopAwaiting()
{
    m_awaitingSnapshot = false;
    m_bufferedRecords.clear();
    m_assembler = {};
}

void LogReplay::bufferUntilSnapshot(const RawRecord& raw, ReplayStep& step)
{
    m_bufferedRecords.push_back(raw);
    m_nextBufferedOffset = raw.offset + 1;
    auto record = decodeOrSkip(raw);
    auto* part = record ? std::get_if<SnapshotProposal>(&record->body) : nullptr;
    if (!part || part->covers >= raw.offset)
        return;
    auto snapshot = m_assembler.add(*part);
    if (snapshot && snapshot->covers + 1 >= m_bufferedRecords.front().offset)
        restoreFrom(*snapshot, step);
}

// Restores the state and applies the buffered records after it. The previous state can only be older, except for
// an adopted configuration, which may be newer than the snapshot and is carried over.
void LogReplay::restoreFrom(const SnapshotProposal& snapshot, ReplayStep& step)
{
    auto restored = settle([&] { return State::restore(snapshot); });
    if (auto* error = std::get_if<Error>(&restored)) {
        logError("cannot read a snapshot in the log", *error);
        return;
    }
    State state = std::get<State>(std::move(restored));
    if (const AcceptedConfig* known = m_state.config())
        state.adoptConfig(known->version, known->text);
    m_state = std::move(state);
    m_awaitingSnapshot = false;
    m_sampledTimes.clear();
    step.restored = true;
    std::vector<RawRecord> records = std::move(m_bufferedRecords);
    m_bufferedRecords.clear();
    for (const RawRecord& raw : records) {
        if (raw.offset > snapshot.covers)
            applyRecord(raw, step);
    }
}

void LogReplay::applyRecord(const RawRecord& raw, ReplayStep& step)
{
    auto record = decodeOrSkip(raw);
    if (!record) {
        m_state.skip(raw.offset);
    } else {
        LoggedRecord logged { raw.offset, std::move(*record) };
        Verdict verdict = m_state.apply(logged);
        step.applied.push_back({ std::move(logged), verdict });
    }
    sampleTime(raw);
}

// Keeps the time of the first uncovered record, or of a sampled record before it, which makes the time too early.
void LogReplay::sampleTime(const RawRecord& raw)
{
    if (m_sampledTimes.empty() || raw.offset % timeSampleInterval == 0)
        m_sampledTimes.emplace(raw.offset, raw.time);
    auto after = m_sampledTimes.upper_bound(m_state.snapshotCovers() + 1);
    if (after != m_sampledTimes.begin())
        m_sampledTimes.erase(m_sampledTimes.begin(), std::prev(after));
}

std::optional<WallTime> LogReplay::oldestUncoveredTime() const
{
    return m_sampledTimes.empty() ? std::nullopt : std::optional(m_sampledTimes.begin()->second);
}

} // namespace Kumquatpick
