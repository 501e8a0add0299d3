#pragma once

#include "coordination/snapshot.h"
#include "coordination/state.h"
#include "log/client.h"

#include <map>
#include <optional>
#include <vector>

namespace Kumquatpick {

// A record that was applied to the state, with its verdict.
struct FoldedRecord {
    LoggedRecord logged;
    Verdict verdict = Verdict::Accepted;
};

struct FoldStep {
    std::vector<FoldedRecord> folded;
    bool restored = false; // The state was restored from a snapshot, so the records that it covers are not in `folded`.
};

// Applies pages of the log to the state, starting from a snapshot if the first records have expired.
// Uses no sockets and no clocks. Not thread-safe.
class LogFolder {
public:
    // Offset of the next record to read.
    Offset next() const;
    // Fails with Stale and changes nothing if the log ends before records that were applied already: it has lost
    // records, and applying what is left would revert accepted changes.
    Result<FoldStep> add(const LogPage&);

    // Whether the state is complete. Until a snapshot has been found, the state must not be used.
    bool whole() const { return !m_starting; }
    const State& state() const { return m_state; }
    State& state() { return m_state; }

    // Time of the first record that no snapshot covers; nullopt if there is none.
    std::optional<WallTime> oldestNeeded() const;
    // Whether a record that no snapshot covers has expired.
    bool uncoveredExpired() const { return m_earliest > m_state.snapshotCovers() + 1; }

private:
    void addWhileStarting(const RawRecord&, FoldStep&);
    void startFrom(const SnapshotProposal&, FoldStep&);
    void fold(const RawRecord&, FoldStep&);
    void noteTime(const RawRecord&);

    State m_state;
    Offset m_earliest = 1;
    // While true, records are buffered until a snapshot is found that reaches up to the first of them.
    bool m_starting = false;
    std::vector<RawRecord> m_keptBack;
    Offset m_keptBackNext = 0;
    SnapshotAssembler m_assembler;
    std::map<Offset, WallTime> m_times; // Of some records that no snapshot covers, always including the first.
};

} // namespace Kumquatpick
