#pragma once

#include "coordination/state.h"
#include "log/reader.h"

namespace Kumquatpick {

// Appends proposals to the log and waits for their verdicts. Thread-safe; calls are blocking.
class LogAppender {
public:
    explicit LogAppender(LogReader&, Milliseconds attemptTimeout = Milliseconds(1'000));

    // Returns the verdict on the record with this id, whether this call or an earlier one appended it.
    // Fails with Timeout if the verdict is not known by the deadline: the record may or may not end up in the log,
    // and the same record (with the same id) may be proposed again, on this node or another. While the log is
    // unreachable, it fails with Timeout without waiting. Fails with Refused if the log rejects the record.
    Result<DecidedRecord> propose(const Record&, MonotonicTime deadline);
    // Appends a snapshot of the state, part by part. Fails like propose(); an incomplete snapshot, without its
    // last part, is ignored by readers.
    Result<void> appendSnapshot(Random&, MonotonicTime deadline, size_t partBytes = snapshotPartBytes);

private:
    std::optional<DecidedRecord> findDecision(const std::string& id) const;
    Result<bool> isInLog(const std::string& id) const;
    leaf::error_id undecidedError(std::string detail) const;
    Result<void> appendOnce(const std::string& body, MonotonicTime deadline);

    LogReader& m_reader;
    Milliseconds m_attemptTimeout;
};

} // namespace Kumquatpick
