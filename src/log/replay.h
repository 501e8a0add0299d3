#pragma once

#include "coordination/snapshot.h"
#include "coordination/state.h"
#include "log/client.h"

#include <map>
#include <optional>
#include <vector>

namespace Kumquatpick {

// A record that was applied to the state, with its verdict.
struct AppliedRecord {
    LoggedRecord logged;
    Verdict verdict = Verdict::Accepted;
};

struct ReplayStep {
    std::vector<AppliedRecord> applied;
    bool restored = false; // Restored from a snapshot; the records that it covers are not in `applied`.
};

// Applies pages of the log to the state, starting from a snapshot if the first records have expired.
// Uses no sockets and no clocks. Not thread-safe.
class LogReplay {
public:
    // Offset of the next record to read.
    Offset nextOffset() const;
    // Fails with Stale and changes nothing if the log ends before records that were applied already: it has lost
    // records, and applying what is left would revert accepted changes. Records that were only buffered are dropped.
    Result<ReplayStep> add(const LogPage&);

    // Whether the state is complete. Until a snapshot has been found, the state must not be used.
    bool isComplete() const { return !m_awaitingSnapshot; }
    const State& state() const { return m_state; }
    State& state() { return m_state; }

    // Time of the first record that no snapshot covers; nullopt if there is none.
    std::optional<WallTime> oldestUncoveredTime() const;
    // Whether a record that no snapshot covers has expired.
    bool uncoveredExpired() const { return m_earliest > m_state.snapshotCovers() + 1; }

private:
    void stopAwaiting();
    void bufferUntilSnapshot(const RawRecord&, ReplayStep&);
    void restoreFrom(const SnapshotProposal&, ReplayStep&);
    void applyRecord(const RawRecord&, ReplayStep&);
    void sampleTime(const RawRecord&);

    State m_state;
    Offset m_earliest = 1;
    // While true, records are buffered until a snapshot is found that reaches up to the first of them.
    bool m_awaitingSnapshot = false;
    std::vector<RawRecord> m_bufferedRecords;
    Offset m_nextBufferedOffset = 0;
    SnapshotAssembler m_assembler;
    std::map<Offset, WallTime> m_sampledTimes; // Of some records that no snapshot covers, always including the first.
};

} // namespace Kumquatpick
