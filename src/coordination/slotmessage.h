#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// The idempotency key of a request, with its attempt number and issue time. A refusal names the next attempt to use;
// a retry with the same attempt number gets the same answer again.
struct RequestKey {
    std::string key;
    uint32_t attempt = 1;
    WallTime issuedAt {}; // As the caller states it; for a minted key, the owner uses the time in the key instead.
};

// The state of one key in a slot's journal.
struct JournalEntry {
    std::string key;
    WallTime issuedAt {};
    uint32_t voidedUpTo = 0; // Attempts up to this one never ran and never will.
    uint32_t grantedAttempt = 0; // 0: no grant is in force.
    ArrivalId grantedTo {};
    NodeInfo holderNode {}; // The entry node that may dispatch the request and stores its answer.

    bool operator==(const JournalEntry&) const = default;
};

// Messages between nodes about one slot. Any message may be lost, delayed, duplicated or reordered.

struct PermitRequest {
    uint32_t slot = 0;
    uint32_t epoch = 0;
    RequestKey requestKey;
    ArrivalId arrival;
    NodeInfo entryNode;
};

// Requests that no arrival of the key with this attempt or an earlier one ever runs. It must succeed before "not run"
// is reported to the caller. An arrival that holds the grant but was never dispatched may void its own grant.
struct VoidRequest {
    uint32_t slot = 0;
    uint32_t epoch = 0;
    RequestKey requestKey;
    ArrivalId arrival;
    NodeInfo entryNode;
};

enum class PermitAnswer : uint8_t {
    Granted, // This arrival may dispatch, once.
    HeldByOther, // Another arrival holds the grant; the entry names its entry node.
    Voided, // Attempts up to voidedUpTo never ran and never will.
    Expired, // The key is older than the journal's entries, so it may have run.
    WrongEpoch, // The receiver is not the owner at that epoch or has no journal; read the log and retry.
    Undecided, // The epoch is sealed, the key was issued in the future, or the request timed out; retry later.
};

struct PermitReply {
    uint32_t slot = 0;
    uint32_t epoch = 0;
    std::string key;
    uint32_t attempt = 0;
    ArrivalId arrival;
    PermitAnswer answer = PermitAnswer::Undecided;
    JournalEntry entry;
};

// Sent by the owner to the witness, which must store the entry before the owner acts on it.
struct RecordRequest {
    uint32_t slot = 0;
    uint32_t epoch = 0;
    uint64_t serial = 0;
    NodeInfo owner;
    JournalEntry entry;
};

struct RecordReply {
    uint32_t slot = 0;
    uint32_t epoch = 0;
    uint64_t serial = 0;
    bool kept = false;
};

// Part of the frozen journal of a sealed epoch, from a member to a node of the pair that it is going to propose.
struct CopyRequest {
    uint32_t slot = 0;
    uint32_t epoch = 0; // The sealed epoch.
    NodeInfo proposer;
    uint32_t part = 0; // Large journals are sent in parts.
    uint32_t parts = 1;
    std::vector<JournalEntry> entries;
    WallTime forgottenBefore {}; // Entries of keys issued before this may have been dropped from the journal.
};

struct CopyReply {
    uint32_t slot = 0;
    uint32_t epoch = 0;
    NodeId partner;
    uint32_t part = 0;
};

using SlotMessage
    = std::variant<PermitRequest, VoidRequest, PermitReply, RecordRequest, RecordReply, CopyRequest, CopyReply>;

} // namespace Kumquatpick
