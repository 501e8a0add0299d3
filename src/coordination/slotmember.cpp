#include "coordination/slotmember.h"

#include "coordination/slotkey.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A minted key carries its own issue time; no other word counts for it.
    RequestKey withOwnIssueTime(RequestKey request)
    {
        if (auto minted = MintedKey::parse(request.key))
            request.issued = minted->issued;
        return request;
    }

} // namespace

SlotMember::SlotMember(uint32_t slot, NodeInfo self, SlotLimits limits, SlotGuards guards)
    : m_slot(slot)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_guards(guards)
{
}

bool SlotMember::isSame(const NodeId& left, const NodeId& right) const
{
    if (!m_guards.membersAreIncarnations)
        return left.name == right.name;
    return left == right;
}

bool SlotMember::isSelf(const NodeId& id) const { return isSame(id, m_self.id); }

void SlotMember::on(const PermitRequest& request, WallTime now, SlotActions& actions)
{
    ask({ false, withOwnIssueTime(request.request), request.arrival, request.entry }, request.epoch, now, actions);
}

void SlotMember::on(const VoidRequest& request, WallTime now, SlotActions& actions)
{
    ask({ true, withOwnIssueTime(request.request), request.arrival, request.entry }, request.epoch, now, actions);
}

void SlotMember::ask(const Ask& asked, uint32_t epoch, WallTime now, SlotActions& actions)
{
    if (epoch != m_assignment.epoch || !isOwner() || !m_holdsJournal) {
        reply(asked, PermitAnswer::WrongEpoch, {}, actions);
        return;
    }
    if (m_sealed && m_guards.sealedSaysNoVerdict) {
        answerSealed(asked, actions);
        return;
    }
    decide(asked, now, actions);
}

// The partner may have sealed too and win the log with a journal that lacks what only this one has, so only
// "may have run" is safe to say. The holder itself is left waiting, as its grant may yet stand.
void SlotMember::answerSealed(const Ask& asked, SlotActions& actions) const
{
    auto entry = m_journal.find(asked.request.key).value_or(JournalEntry {});
    bool isHeldByOther = entry.grantedAttempt && entry.grantedTo != asked.arrival;
    bool isWitnessed = !m_unwitnessedKeys.contains(asked.request.key);
    if (isHeldByOther && isWitnessed)
        reply(asked, PermitAnswer::HeldByOther, entry, actions);
    else
        reply(asked, PermitAnswer::Undecided, {}, actions);
}

bool SlotMember::isForgotten(WallTime issued, WallTime now) const
{
    if (m_guards.lostKeysExpire && issued < m_assignment.lostBefore)
        return true;
    if (!m_guards.forgottenKeysExpire)
        return false;
    return issued < m_journal.forgottenBefore() || issued < now - m_limits.retention;
}

// What the journal knows of a key goes before what its issue time says. A key from the future is not decided:
// were it granted and both members lost, the reset's time could not tell that it had run.
void SlotMember::decide(const Ask& asked, WallTime now, SlotActions& actions)
{
    const RequestKey& request = asked.request;
    if (auto pending = m_unwitnessedKeys.find(request.key); pending != m_unwitnessedKeys.end()) {
        auto& waiting = m_unwitnessed.at(pending->second).waiting;
        auto isRepeat
            = [&](const Ask& other) { return other.arrival == asked.arrival && other.isVoid == asked.isVoid; };
        if (std::none_of(waiting.begin(), waiting.end(), isRepeat))
            waiting.push_back(asked);
        return;
    }
    auto known = m_journal.find(request.key);
    bool isFromFuture = m_guards.futureKeysWait && request.issued > now + m_limits.clockSkew;
    if (!known && isForgotten(request.issued, now))
        return reply(asked, PermitAnswer::Expired, {}, actions);
    if (!known && isFromFuture)
        return reply(asked, PermitAnswer::Undecided, {}, actions);
    if (!known) {
        JournalEntry fresh;
        fresh.key = request.key;
        fresh.issued = request.issued;
        return decideOwn(asked, std::move(fresh), actions);
    }
    // A caller that moves the issue time on must not outlive its own entry.
    if (request.issued > known->issued && !isFromFuture) {
        known->issued = request.issued;
        return record(std::move(*known), asked, actions);
    }
    decideOwn(asked, std::move(*known), actions);
}

// The entry as both members have it, and what the arrival asks of it.
void SlotMember::decideOwn(const Ask& asked, JournalEntry entry, SlotActions& actions)
{
    uint32_t attempt = asked.request.attempt;
    bool isHolder = entry.grantedAttempt && entry.grantedTo == asked.arrival;
    bool mayVoid = (isHolder && attempt >= entry.grantedAttempt) || !m_guards.onlyTheHolderVoidsItsGrant;
    if (attempt <= entry.voidedUpTo && (asked.isVoid || m_guards.attemptsAreOrdered))
        return reply(asked, PermitAnswer::Voided, entry, actions);
    if (isHolder && !asked.isVoid)
        return reply(asked, PermitAnswer::Granted, entry, actions);
    if (entry.grantedAttempt && !(asked.isVoid && mayVoid))
        return reply(asked, PermitAnswer::HeldByOther, entry, actions);
    if (asked.isVoid) {
        entry.voidedUpTo = attempt;
        entry.grantedAttempt = 0;
        entry.grantedTo = {};
        entry.grantedAt = {};
    } else {
        entry.voidedUpTo = std::max(entry.voidedUpTo, attempt - 1);
        entry.grantedAttempt = attempt;
        entry.grantedTo = asked.arrival;
        entry.grantedAt = asked.entry;
    }
    record(std::move(entry), asked, actions);
}

void SlotMember::record(JournalEntry entry, const Ask& asked, SlotActions& actions)
{
    m_journal.keepLatest(entry);
    if (isAlone())
        return decideOwn(asked, std::move(entry), actions);
    uint64_t serial = ++m_lastSerial;
    sendRecord(serial, entry, actions);
    bool waits = asked.isVoid ? m_guards.voidWaitsForWitness : m_guards.grantWaitsForWitness;
    if (!waits)
        return decideOwn(asked, std::move(entry), actions);
    m_unwitnessedKeys.emplace(entry.key, serial);
    m_unwitnessed.emplace(serial, Unwitnessed { std::move(entry), { asked } });
}

void SlotMember::sendRecord(uint64_t serial, const JournalEntry& entry, SlotActions& actions) const
{
    RecordRequest request;
    request.slot = m_slot;
    request.epoch = m_assignment.epoch;
    request.serial = serial;
    request.owner = m_self;
    request.entry = entry;
    actions.push_back(SlotSend { m_assignment.witness, std::move(request) });
}

void SlotMember::reply(const Ask& asked, PermitAnswer answer, const JournalEntry& entry, SlotActions& actions) const
{
    PermitReply reply;
    reply.slot = m_slot;
    reply.epoch = m_assignment.epoch;
    reply.key = asked.request.key;
    reply.attempt = asked.request.attempt;
    reply.arrival = asked.arrival;
    reply.answer = answer;
    reply.entry = entry;
    actions.push_back(SlotSend { asked.entry, std::move(reply) });
}

void SlotMember::on(const RecordRequest& request, WallTime, SlotActions& actions)
{
    bool isEpoch = request.epoch == m_assignment.epoch || !m_guards.recordsNameTheirEpoch;
    bool isFromOwner = isSame(request.owner.id, m_assignment.owner.id);
    bool isRefused = m_sealed && m_guards.sealRefusesRecords;
    RecordReply reply;
    reply.slot = m_slot;
    reply.epoch = request.epoch;
    reply.serial = request.serial;
    reply.kept = isEpoch && isFromOwner && isWitness() && m_holdsJournal && !isRefused;
    if (reply.kept && m_guards.witnessKeepsTheLatest)
        m_journal.keepLatest(request.entry);
    else if (reply.kept)
        m_journal.replace(request.entry);
    actions.push_back(SlotSend { request.owner, reply });
}

void SlotMember::on(const RecordReply& reply, WallTime now, SlotActions& actions)
{
    if (!reply.kept || reply.epoch != m_assignment.epoch || (m_sealed && m_guards.sealedSaysNoVerdict))
        return;
    auto found = m_unwitnessed.find(reply.serial);
    if (found == m_unwitnessed.end())
        return;
    Unwitnessed witnessed = std::move(found->second);
    m_unwitnessed.erase(found);
    m_unwitnessedKeys.erase(witnessed.entry.key);
    for (const Ask& asked : witnessed.waiting)
        decide(asked, now, actions);
}

void SlotMember::replacePair(const NodeInfo& owner, const NodeInfo& witness, SlotActions& actions)
{
    if (!isMember() || !m_holdsJournal)
        return;
    m_sealed = true;
    if (!m_frozen)
        m_frozen = std::make_shared<const std::vector<CopyRequest>>(m_journal.split(m_limits.entriesPerPart));
    m_change = { owner, witness, {} };
    for (const NodeInfo& node : { owner, witness }) {
        if (!node.id.name.empty() && !isSelf(node.id))
            m_change.targets.push_back({ node, 0 });
    }
    for (const Target& target : m_change.targets)
        sendPart(target, actions);
    propose(actions);
}

void SlotMember::sendPart(const Target& target, SlotActions& actions) const
{
    if (target.partsKept == m_frozen->size())
        return;
    CopyRequest part = (*m_frozen)[target.partsKept];
    part.slot = m_slot;
    part.epoch = m_assignment.epoch;
    part.proposer = m_self;
    if (!m_guards.copyTellsWhatIsForgotten)
        part.forgottenBefore = {};
    actions.push_back(SlotSend { target.node, std::move(part) });
}

void SlotMember::propose(SlotActions& actions) const
{
    bool isCopied = !partsMissing() || !m_guards.proposeAfterCopy;
    if (!m_frozen || !isCopied)
        return;
    SlotChange change;
    change.slot = m_slot;
    change.expectedEpoch = m_assignment.epoch;
    change.owner = m_change.owner;
    change.witness = m_change.witness;
    actions.emplace_back(std::move(change));
}

size_t SlotMember::partsMissing() const
{
    size_t missing = 0;
    for (const Target& target : m_change.targets)
        missing += m_frozen->size() - target.partsKept;
    return missing;
}

NodeId SlotMember::copyKey(const NodeId& proposer) const { return m_guards.copyPerProposer ? proposer : NodeId {}; }

// Kept apart from the journal until the log decides which proposer's copy counts.
void SlotMember::on(const CopyRequest& request, WallTime, SlotActions& actions)
{
    if (request.epoch < m_assignment.epoch || request.part >= request.parts)
        return;
    Copy& copy = m_copies[{ request.epoch, copyKey(request.proposer.id) }];
    if (copy.proposer != request.proposer.id)
        copy = { request.proposer.id, request.parts, {}, {} };
    if (copy.partsKept.insert(request.part).second)
        copy.journal.merge(request);
    CopyReply reply;
    reply.slot = m_slot;
    reply.epoch = request.epoch;
    reply.partner = m_self.id;
    reply.part = request.part;
    actions.push_back(SlotSend { request.proposer, std::move(reply) });
}

void SlotMember::on(const CopyReply& reply, WallTime, SlotActions& actions)
{
    if (reply.epoch != m_assignment.epoch || !m_frozen)
        return;
    for (Target& target : m_change.targets) {
        if (!isSame(target.node.id, reply.partner) || target.partsKept != reply.part)
            continue;
        target.partsKept++;
        sendPart(target, actions);
        if (target.partsKept == m_frozen->size())
            propose(actions);
    }
}

void SlotMember::assign(const SlotAssignment& assignment)
{
    if (assignment.epoch <= m_assignment.epoch)
        return;
    adopt(assignment);
    m_assignment = assignment;
    m_sealed = false;
    m_unwitnessed.clear();
    m_unwitnessedKeys.clear();
    m_frozen.reset();
    m_change = {};
    std::erase_if(m_copies, [&](const auto& copy) { return copy.first.first < assignment.epoch; });
}

// A new epoch starts from its proposer's frozen journal and from nothing else, at both members alike, so
// that their journals never differ by more than what the owner is recording.
void SlotMember::adopt(const SlotAssignment& next)
{
    bool isNextMember = isSelf(next.owner.id) || isSelf(next.witness.id);
    bool isOwnProposal = isSelf(next.proposer) && m_frozen;
    bool continues = next.epoch == m_assignment.epoch + 1 && m_holdsJournal && !next.startsEmpty;
    if (isNextMember && continues && (isOwnProposal || !m_guards.startsFromProposersCopy))
        return;
    m_journal = {};
    m_holdsJournal = isNextMember && (next.startsEmpty || !m_guards.memberNeedsJournal);
    if (!isNextMember || next.startsEmpty)
        return;
    auto copy = m_copies.find({ next.epoch - 1, copyKey(next.proposer) });
    if (copy == m_copies.end() || copy->second.partsKept.size() != copy->second.parts)
        return;
    m_journal = std::move(copy->second.journal);
    m_holdsJournal = true;
}

void SlotMember::resend(SlotActions& actions) const
{
    if (!isMember())
        return;
    if (!m_frozen) {
        for (const auto& [serial, unwitnessed] : m_unwitnessed)
            sendRecord(serial, unwitnessed.entry, actions);
        return;
    }
    for (const Target& target : m_change.targets)
        sendPart(target, actions);
}

// A frozen journal stays as it is, or its parts would not fit together.
void SlotMember::forget(WallTime now)
{
    if (m_holdsJournal && !m_sealed && m_unwitnessed.empty())
        m_journal.forget(now - m_limits.retention - m_limits.clockSkew);
}

} // namespace Kumquatpick
