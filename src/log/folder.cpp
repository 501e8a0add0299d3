#include "log/folder.h"

#include "base/logline.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    // Times are kept for every 64th record only, to keep the map small.
    constexpr Offset timeEvery = 64;

    std::optional<Record> readRecord(const RawRecord& raw)
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

Offset LogFolder::next() const { return m_starting ? m_keptBackNext : m_state.offset() + 1; }

Result<FoldStep> LogFolder::add(const LogPage& page)
{
    if (page.next < next())
        return fail({ ErrorCode::Stale, Step::LogRead, {},
            fmt::format("the log has lost records: it ends before offset {}, but the next offset to read is {}",
                page.next, next()) });
    m_earliest = page.earliest;
    if (page.earliest > next()) {
        // Records are missing: this reader is new, or was disconnected for longer than records are retained.
        m_starting = true;
        m_keptBack.clear();
        m_keptBackNext = page.earliest;
        m_assembler = {};
    }
    FoldStep step;
    for (const RawRecord& raw : page.records) {
        if (raw.offset != next())
            continue;
        if (m_starting)
            addWhileStarting(raw, step);
        else
            fold(raw, step);
    }
    return step;
}

void LogFolder::addWhileStarting(const RawRecord& raw, FoldStep& step)
{
    m_keptBack.push_back(raw);
    m_keptBackNext = raw.offset + 1;
    auto record = readRecord(raw);
    auto* part = record ? std::get_if<SnapshotProposal>(&record->body) : nullptr;
    if (!part || part->covers >= raw.offset)
        return;
    auto whole = m_assembler.add(*part);
    if (whole && whole->covers + 1 >= m_keptBack.front().offset)
        startFrom(*whole, step);
}

// Restores the state and applies the buffered records after it. The previous state can only be older, except for
// an adopted configuration, which may be newer than the snapshot and is carried over.
void LogFolder::startFrom(const SnapshotProposal& snapshot, FoldStep& step)
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
    m_starting = false;
    m_times.clear();
    step.restored = true;
    std::vector<RawRecord> records = std::move(m_keptBack);
    m_keptBack.clear();
    for (const RawRecord& raw : records) {
        if (raw.offset > snapshot.covers)
            fold(raw, step);
    }
}

void LogFolder::fold(const RawRecord& raw, FoldStep& step)
{
    auto record = readRecord(raw);
    if (!record) {
        m_state.skip(raw.offset);
    } else {
        LoggedRecord logged { raw.offset, std::move(*record) };
        Verdict verdict = m_state.apply(logged);
        step.folded.push_back({ std::move(logged), verdict });
    }
    noteTime(raw);
}

// Keeps the time of the first uncovered record, or of a sampled record before it, which makes the time too early.
void LogFolder::noteTime(const RawRecord& raw)
{
    if (m_times.empty() || raw.offset % timeEvery == 0)
        m_times.emplace(raw.offset, raw.time);
    auto after = m_times.upper_bound(m_state.snapshotCovers() + 1);
    if (after != m_times.begin())
        m_times.erase(m_times.begin(), std::prev(after));
}

std::optional<WallTime> LogFolder::oldestNeeded() const
{
    return m_times.empty() ? std::nullopt : std::optional(m_times.begin()->second);
}

} // namespace Kumquatpick
