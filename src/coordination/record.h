#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Kumquatpick {

// Every record in the log is a proposal. Applying the log in offset order decides which proposals take effect; the
// result is the same for every reader.

// A new operators' configuration. Accepted only if basedOn is still the offset of the accepted configuration (0 if
// there is none).
struct ConfigProposal {
    Offset basedOn = 0;
    std::string text;
    std::string operatorName;
};

// Claims all hosts of one replica, or none if any of them is claimed already. The offset of the record becomes the id
// of the claim and the fencing number of its orders.
struct ClaimProposal {
    std::string service;
    std::string replica;
    std::string zone;
    std::string domain;
    std::vector<std::string> hosts; // In rank order; the first host receives the requests.
    std::vector<uint64_t> incarnations; // Of each host. The claim is valid for this incarnation only.
    std::string model;
    std::string modelVersion;
    // The claim that this one replaces when a replica is moved to other hosts; 0 for none. While the old claim is held,
    // this one does not count as a replica of its own. Applying the record does not evaluate this field.
    Offset replaces = 0;
};

// Ends a claim: its replica gets no more requests, and its hosts remain claimed until each one is freed.
struct ClaimEndProposal {
    Offset claim = 0;
    std::string reason;
};

enum class FreedReason : uint8_t {
    EngineConfirmed, // The engine reported that it runs nothing under this claim.
    HostDead, // According to the platform's list, this incarnation of the host no longer exists.
};

// Frees hosts of an ended claim that are no longer in use.
struct HostsFreedProposal {
    Offset claim = 0;
    std::vector<std::string> hosts;
    FreedReason because = FreedReason::EngineConfirmed;
};

// Takes or renews a lease that keeps two controllers from appending redundant proposals. Safety does not depend on it,
// except for engines that ignore fencing. Accepted only if `previous` is the latest offset of the lease.
struct LeaseProposal {
    std::string lease;
    Offset previous = 0;
    NodeId holder;
    Milliseconds duration {};
};

// The next owner and witness of a slot. Accepted only if expectedEpoch is still the epoch of the slot, which then
// increases by one.
struct SlotChange {
    uint32_t slot = 0;
    uint32_t expectedEpoch = 0;
    NodeInfo owner;
    NodeInfo witness;
    // Set if both former members are known to be gone and no copy of the journal is left: requests with keys issued
    // before lostBefore may have been executed.
    bool journalLost = false;
    WallTime lostBefore {};
};

struct SlotsProposal {
    NodeId proposer;
    std::vector<SlotChange> changes;
};

// The complete state after applying every record up to and including `covers`, which allows older records to expire. A
// snapshot is split into parts, as a single record of several megabytes would delay all other appends. The parts of a
// series are appended in order, each one after the previous one was read back.
struct SnapshotProposal {
    Offset covers = 0;
    std::string series; // Random id; parts of different series are never combined.
    uint32_t part = 0;
    uint32_t parts = 1;
    std::string state;
};

using RecordBody = std::variant<ConfigProposal, ClaimProposal, ClaimEndProposal, HostsFreedProposal, LeaseProposal,
    SlotsProposal, SnapshotProposal>;

// A log record. The id is random and chosen by the proposer: if the response to an append is lost, the proposer looks
// for the id in the log, and a second record with the same id has no effect.
struct Record {
    std::string id;
    RecordBody body;
};

// A record and its offset in the log.
struct LoggedRecord {
    Offset offset = 0;
    Record record;
};

std::string encode(const Record&);
// Fails with Malformed.
Result<Record> decodeRecord(std::string_view);

} // namespace Kumquatpick
