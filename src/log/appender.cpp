#include "log/appender.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    constexpr uint32_t pageRecords = 512;

    bool mayBeInLog(ErrorCode code)
    {
        return code == ErrorCode::Timeout || code == ErrorCode::BrokenOff || code == ErrorCode::Malformed;
    }

}

LogAppender::LogAppender(LogReader& reader, Milliseconds attemptTimeout)
    : m_reader(reader)
    , m_attemptTimeout(attemptTimeout)
{
}

std::optional<DecidedRecord> LogAppender::findDecision(const std::string& id) const
{
    return m_reader.withState([&](const State& state) { return state.decided(id); });
}

// Checks for a verdict before every append, so that an answer lost earlier, on this node or another, does not lead
// to a second record. A duplicate that is appended nevertheless is ignored when it is applied.
Result<DecidedRecord> LogAppender::propose(const Record& record, MonotonicTime deadline)
{
    const std::string body = encode(record);
    auto decided = [&] { return findDecision(record.id).has_value(); };
    while (!decided()) {
        if (!m_reader.reachable() || !m_reader.ready())
            return undecidedError("the log is unreachable");
        if (monotonicNow() >= deadline)
            return undecidedError("the deadline has passed");
        auto outcome = settle([&] { return appendOnce(body, deadline); });
        if (auto* error = std::get_if<Error>(&outcome)) {
            if (!mayBeInLog(error->code))
                return error->code == ErrorCode::Unreachable ? undecidedError("cannot connect to the log")
                                                             : fail(*error);
            auto inLog = settle([&] { return isInLog(record.id); });
            if (std::holds_alternative<Error>(inLog))
                return undecidedError("cannot read back from the log whether the record was appended");
            if (!std::get<bool>(inLog))
                continue;
        }
        m_reader.waitUntil([&] { return decided() || !m_reader.reachable(); }, deadline);
    }
    return *findDecision(record.id);
}

Result<void> LogAppender::appendSnapshot(Random& random, MonotonicTime deadline, size_t partBytes)
{
    auto series = randomHex128(random);
    auto parts = m_reader.withState([&](const State& state) { return snapshotParts(state, series, partBytes); });
    for (SnapshotProposal& part : parts) {
        Record record { randomHex128(random), std::move(part) };
        BOOST_LEAF_CHECK(propose(record, deadline));
    }
    return {};
}

leaf::error_id LogAppender::undecidedError(std::string detail) const
{
    return fail({ ErrorCode::Timeout, Step::LogAppend, m_reader.client().address().toString(), std::move(detail) });
}

// Reads the log's end directly: the reader's long poll may be waiting for a record that was never appended.
Result<bool> LogAppender::isInLog(const std::string& id) const
{
    Offset from = m_reader.offset() + 1;
    while (true) {
        BOOST_LEAF_AUTO(page, m_reader.client().read(from, pageRecords, Milliseconds(0), m_attemptTimeout));
        for (const RawRecord& raw : page.records) {
            if (raw.body.find(id) != std::string::npos)
                return true;
        }
        if (page.records.empty())
            return false;
        from = page.records.back().offset + 1;
    }
}

Result<void> LogAppender::appendOnce(const std::string& body, MonotonicTime deadline)
{
    auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - monotonicNow());
    auto timeout = std::clamp(remaining, Milliseconds(1), m_attemptTimeout);
    BOOST_LEAF_CHECK(m_reader.client().append(body, timeout));
    return {};
}

} // namespace Kumquatpick
