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
    Milliseconds clockSkew { 2'000 }; // Upper bound of the difference between two nodes' wall clocks.
    size_t entriesPerPart = 256;
};

// The state machine of one slot at one node, which is the slot's owner, its witness or neither. All at-most-once
// decisions are made here, as a deterministic function of state and event, without threads, sockets or clocks. Safety
// depends on clocks only for keys older than the retention and for slots that lost both members.
class SlotMember {
public:
    SlotMember(uint32_t slot, NodeInfo self, SlotLimits, SlotGuards = {});

    void on(const PermitRequest&, WallTime now, SlotActions&);
    void on(const VoidRequest&, WallTime now, SlotActions&);
    void on(const RecordRequest&, WallTime now, SlotActions&);
    void on(const RecordReply&, WallTime now, SlotActions&);
    void on(const CopyRequest&, WallTime now, SlotActions&);
    void on(const CopyReply&, WallTime now, SlotActions&);

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
    void forget(WallTime now);

    const NodeInfo& self() const { return m_self; }
    const SlotAssignment& assignment() const { return m_assignment; }
    bool isMember() const { return isOwner() || isWitness(); }
    bool isOwner() const { return isSelf(m_assignment.owner.id); }
    bool isWitness() const { return isSelf(m_assignment.witness.id); }
    bool isSealed() const { return m_sealed; }
    // False if this node became a member without receiving the complete copy; it then makes no decisions.
    bool holdsJournal() const { return m_holdsJournal; }
    const Journal& journal() const { return m_journal; }

    // The pair that the journal is being copied to or that was proposed; both names are empty if there is none.
    const NodeInfo& proposedOwner() const { return m_change.owner; }
    const NodeInfo& proposedWitness() const { return m_change.witness; }
    // The number of journal parts that the proposed pair has not acknowledged.
    size_t partsMissing() const;
    // The serial of the oldest record that the witness has not acknowledged; 0 if there is none.
    uint64_t oldestUnwitnessed() const { return m_unwitnessed.empty() ? 0 : m_unwitnessed.begin()->first; }

private:
    friend class SlotMemberPrinter; // Lets the model checker in the tests compare complete states.

    // A permit or void request from an entry node.
    struct Ask {
        bool isVoid = false;
        RequestKey request;
        ArrivalId arrival;
        NodeInfo entry;
    };

    // An entry that the witness has not acknowledged.
    struct Unwitnessed {
        JournalEntry entry;
        std::vector<Ask> waiting; // Requests of the key, decided once the witness acknowledges.
    };

    // The journal of a sealed epoch, as received so far from its proposer.
    struct Copy {
        NodeId proposer;
        uint32_t parts = 0;
        std::set<uint32_t> partsKept;
        Journal journal;
    };

    struct Target {
        NodeInfo node;
        size_t partsKept = 0;
    };

    struct Change {
        NodeInfo owner;
        NodeInfo witness;
        std::vector<Target> targets;
    };

    bool isSelf(const NodeId&) const;
    bool isSame(const NodeId&, const NodeId&) const;
    bool isAlone() const { return m_assignment.witness.id.name.empty(); }

    void ask(const Ask&, uint32_t epoch, WallTime now, SlotActions&);
    void decide(const Ask&, WallTime now, SlotActions&);
    void decideOwn(const Ask&, JournalEntry, SlotActions&);
    void answerSealed(const Ask&, SlotActions&) const;
    bool isForgotten(WallTime issued, WallTime now) const;
    void record(JournalEntry, const Ask&, SlotActions&);
    void reply(const Ask&, PermitAnswer, const JournalEntry&, SlotActions&) const;
    void sendRecord(uint64_t serial, const JournalEntry&, SlotActions&) const;
    void sendPart(const Target&, SlotActions&) const;
    void adopt(const SlotAssignment&);
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
    std::map<uint64_t, Unwitnessed> m_unwitnessed; // Keyed by serial.
    std::map<std::string, uint64_t, std::less<>> m_unwitnessedKeys;
    std::map<std::pair<uint32_t, NodeId>, Copy> m_copies; // Keyed by sealed epoch and proposer.
    std::shared_ptr<const std::vector<CopyRequest>> m_frozen;
    Change m_change;
};

} // namespace Kumquatpick
