#pragma once

#include "coordination/journal.h"
#include "coordination/record.h"
#include "coordination/slotguards.h"
#include "coordination/slotmessage.h"
#include "coordination/slottable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Kumquatpick {

struct SlotSend {
    NodeInfo to;
    SlotMessage message;
};

// A side effect requested by a slot member: a message to send, or a change to propose to the log.
using SlotAction = std::variant<SlotSend, SlotChange>;
using SlotActions = std::vector<SlotAction>;

struct SlotLimits {
    Milliseconds retention { 3'600'000 };
    Milliseconds maxClockSkew { 2'000 }; // Upper bound of the difference between two nodes' wall clocks.
    size_t entriesPerPart = 256;
};

// The state machine of one slot at one node, which is the slot's owner, its witness or neither. All at-most-once
// decisions are made here, as a deterministic function of state and event, without threads, sockets or clocks. Safety
// depends on clocks only for keys older than the retention and for slots that lost both members.
class SlotMember {
public:
    SlotMember(uint32_t slot, NodeInfo self, SlotLimits, SlotGuards = {});

    void handle(const PermitRequest&, WallTime now, SlotActions&);
    void handle(const VoidRequest&, WallTime now, SlotActions&);
    void handle(const RecordRequest&, WallTime now, SlotActions&);
    void handle(const RecordReply&, WallTime now, SlotActions&);
    void handle(const CopyRequest&, WallTime now, SlotActions&);
    void handle(const CopyReply&, WallTime now, SlotActions&);

    // Applies an assignment decided by the log. Epochs may be skipped, because a lagging node applies only the latest.
    void assign(const SlotAssignment&);
    // Seals the epoch and copies the frozen journal to those of the two nodes that are not this one. Proposes the
    // new pair once they hold complete copies. An empty witness name proposes an owner without a witness.
    void replacePair(const NodeInfo& owner, const NodeInfo& witness, SlotActions&);
    // Resends all unacknowledged records, or after sealing all unacknowledged journal parts.
    void resend(SlotActions&) const;
    // Proposes the new pair, or repeats the proposal, if both nodes hold the complete journal.
    void propose(SlotActions&) const;
    // Drops journal entries older than the retention.
    void dropExpired(WallTime now);

    const NodeInfo& self() const { return m_self; }
    const SlotAssignment& assignment() const { return m_assignment; }
    bool isMember() const { return isOwner() || isWitness(); }
    bool isOwner() const { return isThisNode(m_assignment.owner.id); }
    bool isWitness() const { return isThisNode(m_assignment.witness.id); }
    bool isSealed() const { return m_sealed; }
    // False if this node became a member without receiving the complete copy; it then makes no decisions.
    bool holdsJournal() const { return m_holdsJournal; }
    const Journal& journal() const { return m_journal; }

    // The pair that the journal is being copied to or that was proposed; both names are empty if there is none.
    const NodeInfo& proposedOwner() const { return m_proposedPair.owner; }
    const NodeInfo& proposedWitness() const { return m_proposedPair.witness; }
    // The number of journal parts that the proposed pair has not acknowledged.
    size_t missingParts() const;
    // The serial of the oldest record that the witness has not acknowledged; 0 if there is none.
    uint64_t oldestUnacknowledged() const { return m_pendingRecords.empty() ? 0 : m_pendingRecords.begin()->first; }

private:
    friend class SlotMemberWriter; // Lets the model checker in the tests compare complete states.

    // A permit or void request from an entry node.
    struct ArrivalRequest {
        bool isVoid = false;
        RequestKey requestKey;
        ArrivalId arrival;
        NodeInfo entryNode;
    };

    // An entry that the witness has not acknowledged.
    struct PendingRecord {
        JournalEntry entry;
        std::vector<ArrivalRequest> waitingRequests; // Requests of the key, decided once the witness acknowledges.
    };

    // The journal of a sealed epoch, as received so far from its proposer.
    struct ReceivedCopy {
        NodeId proposer;
        uint32_t parts = 0;
        std::set<uint32_t> receivedParts;
        Journal journal;
    };

    struct CopyTarget {
        NodeInfo node;
        size_t acknowledgedParts = 0;
    };

    struct ProposedPair {
        NodeInfo owner;
        NodeInfo witness;
        std::vector<CopyTarget> targets;
    };

    bool isThisNode(const NodeId&) const;
    bool isSameNode(const NodeId&, const NodeId&) const;
    bool lacksWitness() const { return m_assignment.witness.id.name.empty(); }

    void handleRequest(const ArrivalRequest&, uint32_t epoch, WallTime now, SlotActions&);
    void decide(const ArrivalRequest&, WallTime now, SlotActions&);
    void decideEntry(const ArrivalRequest&, JournalEntry, SlotActions&);
    void replyWhileSealed(const ArrivalRequest&, SlotActions&) const;
    bool isExpired(WallTime issuedAt, WallTime now) const;
    void recordEntry(JournalEntry, const ArrivalRequest&, SlotActions&);
    void reply(const ArrivalRequest&, PermitAnswer, const JournalEntry&, SlotActions&) const;
    void sendRecord(uint64_t serial, const JournalEntry&, SlotActions&) const;
    void sendPart(const CopyTarget&, SlotActions&) const;
    void adoptJournal(const SlotAssignment&);
    NodeId copyKey(const NodeId& proposer) const;

    uint32_t m_slot;
    NodeInfo m_self;
    SlotLimits m_limits;
    SlotGuards m_guards;
    SlotAssignment m_assignment;
    Journal m_journal;
    bool m_holdsJournal = false;
    bool m_sealed = false;
    uint64_t m_lastSerial = 0;
    std::map<uint64_t, PendingRecord> m_pendingRecords; // Keyed by serial.
    std::map<std::string, uint64_t, std::less<>> m_pendingSerials;
    std::map<std::pair<uint32_t, NodeId>, ReceivedCopy> m_copies; // Keyed by sealed epoch and proposer.
    std::shared_ptr<const std::vector<CopyRequest>> m_frozenParts;
    ProposedPair m_proposedPair;
};

} // namespace Kumquatpick
