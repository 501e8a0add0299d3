#pragma once

#include "coordination/record.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Kumquatpick {

class State;

// Well below 1 MB, a common limit for one record of log services.
constexpr size_t snapshotPartBytes = 256 * 1024;

// Returns the parts of a snapshot of the state, to be appended in this order.
std::vector<SnapshotProposal> snapshotParts(
    const State&, const std::string& series, size_t partBytes = snapshotPartBytes);

// Joins the parts of snapshots.
class SnapshotAssembler {
public:
    // Returns the complete snapshot as one proposal once its last part was added.
    std::optional<SnapshotProposal> add(const SnapshotProposal&);

private:
    std::map<std::string, std::vector<SnapshotProposal>> m_partsBySeries;
};

// Input for the decision whether this node appends a new snapshot. Records expire after the retention period of the
// log; a new reader needs the records from the first one after the `covers` offset of the newest snapshot.
struct SnapshotConditions {
    Milliseconds retention {}; // Retention period of the log, as configured by its operators.
    Milliseconds oldestUncoveredAge {}; // Age of the first record that no snapshot covers.
    bool uncoveredExpired = false; // A record that no snapshot covers has expired, so no new reader can start.
    bool holdsLease = false;
    double spread = 0; // Per-node value in 0..1; staggers the nodes that do not hold the lease.
};

// The lease holder takes a snapshot after a quarter of the retention period. The other nodes start at half of it, in
// case the holder has failed.
bool isSnapshotDue(const SnapshotConditions&);

} // namespace Kumquatpick
