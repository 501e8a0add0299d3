#include "coordination/slotmember.h"

#include "coordination/slotkey.h"

#include <algorithm>

namespace Kumquatpick {

namespace {

    // A minted key encodes its issue time, which overrides the one in the request.
    RequestKey withMintedIssueTime(RequestKey requestKey)
    {
        if (auto minted = MintedKey::parse(requestKey.key))
            requestKey.issuedAt = minted->issuedAt;
        return requestKey;
    }

} // namespace

SlotMember::SlotMember(uint32_t slot, NodeInfo self, SlotLimits limits, SlotGuards guards)
    : m_slot(slot)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_guards(guards)
{
}

bool SlotMember::isSameNode(const NodeId& left, const NodeId& right) const
{
    if (!m_guards.membersMatchByIncarnation)
        return left.name == right.name;
    return left == right;
}

bool SlotMember::isThisNode(const NodeId& id) const { return isSameNode(id, m_self.id); }

void SlotMember::handle(const PermitRequest& request, WallTime now, SlotActions& actions)
{
    handleRequest({ false, withMintedIssueTime(request.requestKey), request.arrival, request.entryNode }, request.epoch,
        now, actions);
}

void SlotMember::handle(const VoidRequest& request, WallTime now, SlotActions& actions)
{
    handleRequest({ true, withMintedIssueTime(request.requestKey), request.arrival, request.entryNode }, request.epoch,
        now, actions);
}

void SlotMember::handleRequest(const ArrivalRequest& request, uint32_t epoch, WallTime now, SlotActions& actions)
{
    if (epoch != m_assignment.epoch || !isOwner() || !m_holdsJournal) {
        reply(request, PermitAnswer::WrongEpoch, {}, actions);
        return;
    }
    if (m_sealed && m_guards.sealedOwnerGivesNoVerdict) {
        replyWhileSealed(request, actions);
        return;
    }
    decide(request, now, actions);
}

// The partner may have sealed as well, and its proposal may be accepted with a journal that lacks entries which only
// this node has. So the only safe verdict is "may have run", for entries that the witness has acknowledged. The holder
// of a grant gets no verdict, because its grant may still be valid in the next epoch.
void SlotMember::replyWhileSealed(const ArrivalRequest& request, SlotActions& actions) const
{
    auto entry = m_journal.find(request.requestKey.key).value_or(JournalEntry {});
    bool isHeldByOther = entry.grantedAttempt && entry.grantedTo != request.arrival;
    bool isAcknowledged = !m_pendingSerials.contains(request.requestKey.key);
    if (isHeldByOther && isAcknowledged)
        reply(request, PermitAnswer::HeldByOther, entry, actions);
    else
        reply(request, PermitAnswer::Undecided, {}, actions);
}

bool SlotMember::isExpired(WallTime issuedAt, WallTime now) const
{
    if (m_guards.keysBeforeResetExpire && issuedAt < m_assignment.lostBefore)
        return true;
    if (!m_guards.keysPastRetentionExpire)
        return false;
    return issuedAt < m_journal.forgottenBefore() || issuedAt < now - m_limits.retention;
}

// A journal entry takes precedence over the age of the key. A key issued in the future is not decided: if it were
// granted and both members were lost, its issue time could be later than the reset's time, and it could run again.
void SlotMember::decide(const ArrivalRequest& request, WallTime now, SlotActions& actions)
{
    const RequestKey& requestKey = request.requestKey;
    if (auto pending = m_pendingSerials.find(requestKey.key); pending != m_pendingSerials.end()) {
        auto& waitingRequests = m_pendingRecords.at(pending->second).waitingRequests;
        auto isDuplicate = [&](const ArrivalRequest& other) {
            return other.arrival == request.arrival && other.isVoid == request.isVoid;
        };
        if (std::none_of(waitingRequests.begin(), waitingRequests.end(), isDuplicate))
            waitingRequests.push_back(request);
        return;
    }
    auto known = m_journal.find(requestKey.key);
    bool isFromFuture = m_guards.futureKeysAreDeferred && requestKey.issuedAt > now + m_limits.maxClockSkew;
    if (!known && isExpired(requestKey.issuedAt, now))
        return reply(request, PermitAnswer::Expired, {}, actions);
    if (!known && isFromFuture)
        return reply(request, PermitAnswer::Undecided, {}, actions);
    if (!known) {
        JournalEntry fresh;
        fresh.key = requestKey.key;
        fresh.issuedAt = requestKey.issuedAt;
        return decideEntry(request, std::move(fresh), actions);
    }
    // A caller may resend with a later issue time; the entry must then be retained for as long as that time allows.
    if (requestKey.issuedAt > known->issuedAt && !isFromFuture) {
        known->issuedAt = requestKey.issuedAt;
        return recordEntry(std::move(*known), request, actions);
    }
    decideEntry(request, std::move(*known), actions);
}

// Decides a request against an entry that both members have stored.
void SlotMember::decideEntry(const ArrivalRequest& request, JournalEntry entry, SlotActions& actions)
{
    uint32_t attempt = request.requestKey.attempt;
    bool isHolder = entry.grantedAttempt && entry.grantedTo == request.arrival;
    bool mayVoid = (isHolder && attempt >= entry.grantedAttempt) || !m_guards.onlyHolderVoidsGrant;
    if (attempt <= entry.voidedUpTo && (request.isVoid || m_guards.voidedAttemptsAreRefused))
        return reply(request, PermitAnswer::Voided, entry, actions);
    if (isHolder && !request.isVoid)
        return reply(request, PermitAnswer::Granted, entry, actions);
    if (entry.grantedAttempt && !(request.isVoid && mayVoid))
        return reply(request, PermitAnswer::HeldByOther, entry, actions);
    if (request.isVoid) {
        entry.voidedUpTo = attempt;
        entry.grantedAttempt = 0;
        entry.grantedTo = {};
        entry.holderNode = {};
    } else {
        entry.voidedUpTo = std::max(entry.voidedUpTo, attempt - 1);
        entry.grantedAttempt = attempt;
        entry.grantedTo = request.arrival;
        entry.holderNode = request.entryNode;
    }
    recordEntry(std::move(entry), request, actions);
}

void SlotMember::recordEntry(JournalEntry entry, const ArrivalRequest& request, SlotActions& actions)
{
    m_journal.keepLatest(entry);
    if (lacksWitness())
        return decideEntry(request, std::move(entry), actions);
    uint64_t serial = ++m_lastSerial;
    sendRecord(serial, entry, actions);
    bool isWitnessRequired = request.isVoid ? m_guards.voidWaitsForWitness : m_guards.grantWaitsForWitness;
    if (!isWitnessRequired)
        return decideEntry(request, std::move(entry), actions);
    m_pendingSerials.emplace(entry.key, serial);
    m_pendingRecords.emplace(serial, PendingRecord { std::move(entry), { request } });
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

void SlotMember::reply(
    const ArrivalRequest& request, PermitAnswer answer, const JournalEntry& entry, SlotActions& actions) const
{
    PermitReply reply;
    reply.slot = m_slot;
    reply.epoch = m_assignment.epoch;
    reply.key = request.requestKey.key;
    reply.attempt = request.requestKey.attempt;
    reply.arrival = request.arrival;
    reply.answer = answer;
    reply.entry = entry;
    actions.push_back(SlotSend { request.entryNode, std::move(reply) });
}

void SlotMember::handle(const RecordRequest& request, WallTime, SlotActions& actions)
{
    bool isCurrentEpoch = request.epoch == m_assignment.epoch || !m_guards.recordsCheckEpoch;
    bool isFromOwner = isSameNode(request.owner.id, m_assignment.owner.id);
    bool isSealRefusal = m_sealed && m_guards.sealedWitnessRejectsRecords;
    RecordReply reply;
    reply.slot = m_slot;
    reply.epoch = request.epoch;
    reply.serial = request.serial;
    reply.kept = isCurrentEpoch && isFromOwner && isWitness() && m_holdsJournal && !isSealRefusal;
    if (reply.kept && m_guards.witnessKeepsLatestEntry)
        m_journal.keepLatest(request.entry);
    else if (reply.kept)
        m_journal.replace(request.entry);
    actions.push_back(SlotSend { request.owner, reply });
}

void SlotMember::handle(const RecordReply& reply, WallTime now, SlotActions& actions)
{
    if (!reply.kept || reply.epoch != m_assignment.epoch || (m_sealed && m_guards.sealedOwnerGivesNoVerdict))
        return;
    auto found = m_pendingRecords.find(reply.serial);
    if (found == m_pendingRecords.end())
        return;
    PendingRecord acknowledged = std::move(found->second);
    m_pendingRecords.erase(found);
    m_pendingSerials.erase(acknowledged.entry.key);
    for (const ArrivalRequest& request : acknowledged.waitingRequests)
        decide(request, now, actions);
}

void SlotMember::replacePair(const NodeInfo& owner, const NodeInfo& witness, SlotActions& actions)
{
    if (!isMember() || !m_holdsJournal)
        return;
    m_sealed = true;
    if (!m_frozenParts)
        m_frozenParts = std::make_shared<const std::vector<CopyRequest>>(m_journal.split(m_limits.entriesPerPart));
    m_proposedPair = { owner, witness, {} };
    for (const NodeInfo& node : { owner, witness }) {
        if (!node.id.name.empty() && !isThisNode(node.id))
            m_proposedPair.targets.push_back({ node, 0 });
    }
    for (const CopyTarget& target : m_proposedPair.targets)
        sendPart(target, actions);
    propose(actions);
}

void SlotMember::sendPart(const CopyTarget& target, SlotActions& actions) const
{
    if (target.acknowledgedParts == m_frozenParts->size())
        return;
    CopyRequest part = (*m_frozenParts)[target.acknowledgedParts];
    part.slot = m_slot;
    part.epoch = m_assignment.epoch;
    part.proposer = m_self;
    if (!m_guards.copyCarriesForgottenBefore)
        part.forgottenBefore = {};
    actions.push_back(SlotSend { target.node, std::move(part) });
}

void SlotMember::propose(SlotActions& actions) const
{
    bool isFullyCopied = !missingParts() || !m_guards.proposeAfterCopy;
    if (!m_frozenParts || !isFullyCopied)
        return;
    SlotChange change;
    change.slot = m_slot;
    change.expectedEpoch = m_assignment.epoch;
    change.owner = m_proposedPair.owner;
    change.witness = m_proposedPair.witness;
    actions.emplace_back(std::move(change));
}

size_t SlotMember::missingParts() const
{
    size_t missing = 0;
    for (const CopyTarget& target : m_proposedPair.targets)
        missing += m_frozenParts->size() - target.acknowledgedParts;
    return missing;
}

NodeId SlotMember::copyKey(const NodeId& proposer) const
{
    return m_guards.copiesKeyedByProposer ? proposer : NodeId {};
}

// Copies are kept apart from the journal until the log decides which proposer's copy the next epoch starts from.
void SlotMember::handle(const CopyRequest& request, WallTime, SlotActions& actions)
{
    if (request.epoch < m_assignment.epoch || request.part >= request.parts)
        return;
    ReceivedCopy& copy = m_copies[{ request.epoch, copyKey(request.proposer.id) }];
    if (copy.proposer != request.proposer.id)
        copy = { request.proposer.id, request.parts, {}, {} };
    if (copy.receivedParts.insert(request.part).second)
        copy.journal.merge(request);
    CopyReply reply;
    reply.slot = m_slot;
    reply.epoch = request.epoch;
    reply.partner = m_self.id;
    reply.part = request.part;
    actions.push_back(SlotSend { request.proposer, std::move(reply) });
}

void SlotMember::handle(const CopyReply& reply, WallTime, SlotActions& actions)
{
    if (reply.epoch != m_assignment.epoch || !m_frozenParts)
        return;
    for (CopyTarget& target : m_proposedPair.targets) {
        if (!isSameNode(target.node.id, reply.partner) || target.acknowledgedParts != reply.part)
            continue;
        target.acknowledgedParts++;
        sendPart(target, actions);
        if (target.acknowledgedParts == m_frozenParts->size())
            propose(actions);
    }
}

void SlotMember::assign(const SlotAssignment& assignment)
{
    if (assignment.epoch <= m_assignment.epoch)
        return;
    adoptJournal(assignment);
    m_assignment = assignment;
    m_sealed = false;
    m_pendingRecords.clear();
    m_pendingSerials.clear();
    m_frozenParts.reset();
    m_proposedPair = {};
    std::erase_if(m_copies, [&](const auto& copy) { return copy.first.first < assignment.epoch; });
}

// Both members start a new epoch from its proposer's frozen journal alone, so that their journals never differ by more
// than the records that the witness has not acknowledged.
void SlotMember::adoptJournal(const SlotAssignment& next)
{
    bool isNextMember = isThisNode(next.owner.id) || isThisNode(next.witness.id);
    bool isOwnProposal = isThisNode(next.proposer) && m_frozenParts;
    bool continues = next.epoch == m_assignment.epoch + 1 && m_holdsJournal && !next.startsEmpty;
    if (isNextMember && continues && (isOwnProposal || !m_guards.epochStartsFromProposersCopy))
        return;
    m_journal = {};
    m_holdsJournal = isNextMember && (next.startsEmpty || !m_guards.memberNeedsJournal);
    if (!isNextMember || next.startsEmpty)
        return;
    auto copy = m_copies.find({ next.epoch - 1, copyKey(next.proposer) });
    if (copy == m_copies.end() || copy->second.receivedParts.size() != copy->second.parts)
        return;
    m_journal = std::move(copy->second.journal);
    m_holdsJournal = true;
}

void SlotMember::resend(SlotActions& actions) const
{
    if (!isMember())
        return;
    if (!m_frozenParts) {
        for (const auto& [serial, pendingRecord] : m_pendingRecords)
            sendRecord(serial, pendingRecord.entry, actions);
        return;
    }
    for (const CopyTarget& target : m_proposedPair.targets)
        sendPart(target, actions);
}

// A sealed journal is not changed, because its parts must be consistent with each other.
void SlotMember::dropExpired(WallTime now)
{
    if (m_holdsJournal && !m_sealed && m_pendingRecords.empty())
        m_journal.forget(now - m_limits.retention - m_limits.maxClockSkew);
}

} // namespace Kumquatpick
