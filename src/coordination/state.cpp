#include "coordination/state.h"

#include "base/base64.h"
#include "coordination/codec.h"

#include <algorithm>

namespace Kumquatpick {

using nlohmann::json;

namespace {

    constexpr int snapshotFormat = 1;

    std::shared_ptr<const AcceptedConfig> parseAccepted(Offset version, std::string_view text)
    {
        auto parsed = parseOperatorConfig(text);
        auto* whole = std::get_if<OperatorConfig>(&parsed);
        if (!whole)
            return nullptr;
        return std::make_shared<const AcceptedConfig>(AcceptedConfig { version, std::move(*whole), std::string(text) });
    }

    std::string replicaKey(const ClaimProposal& claim) { return claim.service + "/" + claim.replica; }

    bool wellFormed(const ClaimProposal& claim)
    {
        std::set<std::string_view> distinct(claim.hosts.begin(), claim.hosts.end());
        bool namesAll = !claim.service.empty() && !claim.replica.empty() && !distinct.contains("");
        return namesAll && !claim.hosts.empty() && distinct.size() == claim.hosts.size()
            && claim.incarnations.size() == claim.hosts.size();
    }

    json claimJson(const Claim& claim)
    {
        const ClaimProposal& proposal = claim.proposal;
        bool ending = claim.phase == ClaimPhase::Ending;
        json held = ending ? json(claim.hostsHeld) : json();
        json value
            = json::array({ claim.offset, ending, proposal.service, proposal.replica, proposal.zone, proposal.domain,
                proposal.hosts, proposal.incarnations, proposal.model, proposal.modelVersion, std::move(held) });
        if (proposal.replaces != 0)
            value.push_back(proposal.replaces);
        return value;
    }

    Claim claimFromSnapshot(const json& value)
    {
        Claim claim;
        claim.offset = wholeNumber<Offset>(value.at(0));
        claim.phase = value.at(1).get<bool>() ? ClaimPhase::Ending : ClaimPhase::Held;
        ClaimProposal& proposal = claim.proposal;
        proposal.service = value.at(2).get<std::string>();
        proposal.replica = value.at(3).get<std::string>();
        proposal.zone = value.at(4).get<std::string>();
        proposal.domain = value.at(5).get<std::string>();
        proposal.hosts = value.at(6).get<std::vector<std::string>>();
        proposal.incarnations = value.at(7).get<std::vector<uint64_t>>();
        proposal.model = value.at(8).get<std::string>();
        proposal.modelVersion = value.at(9).get<std::string>();
        constexpr size_t replacesAt = 11; // Left out of most, and of older snapshots.
        if (value.size() > replacesAt)
            proposal.replaces = wholeNumber<Offset>(value.at(replacesAt));
        if (claim.phase == ClaimPhase::Held)
            claim.hostsHeld.insert(proposal.hosts.begin(), proposal.hosts.end());
        else
            claim.hostsHeld = value.at(10).get<std::set<std::string, std::less<>>>();
        return claim;
    }

    json slotJson(uint32_t slot, const SlotAssignment& assignment)
    {
        return json::array({ slot, assignment.epoch, toJson(assignment.owner), toJson(assignment.witness),
            toMilliseconds(assignment.lostBefore), assignment.proposer.name, assignment.proposer.incarnation,
            assignment.startsEmpty });
    }

    void restoreSlot(SlotTable& slots, const json& value)
    {
        auto slot = wholeNumber<uint32_t>(value.at(0));
        if (slot >= slotCount)
            throw DecodeFailure("no such slot");
        slots.restore(slot,
            { wholeNumber<uint32_t>(value.at(1)), nodeInfoFrom(value.at(2)), nodeInfoFrom(value.at(3)),
                wallTimeFrom(value.at(4)), { value.at(5).get<std::string>(), wholeNumber<uint64_t>(value.at(6)) },
                value.at(7).get<bool>() });
    }

    json leaseJson(const std::string& name, const HeldLease& lease)
    {
        return json::array({ name, lease.offset, toJson(lease.holder), lease.duration.count() });
    }

    Verdict verdictFrom(const json& value)
    {
        auto verdict = wholeNumber<uint8_t>(value);
        if (verdict > static_cast<uint8_t>(Verdict::Duplicate))
            throw DecodeFailure("no such verdict");
        return static_cast<Verdict>(verdict);
    }

}

std::string_view name(Verdict verdict)
{
    constexpr std::string_view names[] = { "accepted", "outdated", "invalid", "duplicate" };
    return names[static_cast<size_t>(verdict)];
}

Verdict State::apply(const LoggedRecord& logged)
{
    if (logged.offset <= m_offset)
        return Verdict::Duplicate;
    if (logged.offset != m_offset + 1)
        return Verdict::Invalid;
    m_offset = logged.offset;
    if (m_decided.contains(logged.record.id))
        return Verdict::Duplicate;
    Verdict verdict = std::visit([&](const auto& body) { return applyBody(body, logged.offset); }, logged.record.body);
    remember(logged.record.id, { logged.offset, verdict });
    dropOvertakenAdoption();
    return verdict;
}

void State::skip(Offset offset)
{
    if (offset == m_offset + 1)
        m_offset = offset;
}

const AcceptedConfig* State::config() const { return m_adopted ? m_adopted.get() : m_config.get(); }

const Claim* State::holder(std::string_view host) const
{
    auto found = m_holders.find(std::string(host));
    return found == m_holders.end() ? nullptr : &m_claims.at(found->second);
}

const HeldLease* State::lease(std::string_view name) const
{
    auto found = m_leases.find(name);
    return found == m_leases.end() ? nullptr : &found->second;
}

std::optional<DecidedRecord> State::decided(const std::string& id) const
{
    auto found = m_decided.find(id);
    return found == m_decided.end() ? std::nullopt : std::optional(found->second);
}

// The adopted text stands beside the folded one: the based-on check has to see what the log had accepted at each
// offset, or a node that adopted ahead would judge the records in between differently from the others.
bool State::adoptConfig(Offset version, std::string_view text)
{
    Offset current = config() ? config()->version : 0;
    if (version <= current || version <= m_offset)
        return false;
    auto accepted = parseAccepted(version, text);
    if (!accepted)
        return false;
    m_adopted = std::move(accepted);
    return true;
}

// Once the fold has passed the adopted version it has accepted that one itself, or a newer one.
void State::dropOvertakenAdoption()
{
    if (m_adopted && m_config && m_config->version >= m_adopted->version)
        m_adopted.reset();
}

void State::remember(const std::string& id, DecidedRecord decided)
{
    m_decided.emplace(id, decided);
    m_decidedOrder.push_back(id);
    if (m_decidedOrder.size() <= rememberedIds)
        return;
    m_decided.erase(m_decidedOrder.front());
    m_decidedOrder.pop_front();
}

Verdict State::applyBody(const ConfigProposal& proposal, Offset offset)
{
    Offset current = m_config ? m_config->version : 0;
    if (proposal.basedOn != current)
        return Verdict::Outdated;
    auto accepted = parseAccepted(offset, proposal.text);
    if (!accepted)
        return Verdict::Invalid;
    m_config = std::move(accepted);
    return Verdict::Accepted;
}

// A replica's name is taken by one claim at a time, so that two controllers that fill the same gap with
// different hosts do not both get them.
bool State::replicaHeld(const ClaimProposal& proposal) const { return m_replicas.contains(replicaKey(proposal)); }

Verdict State::applyBody(const ClaimProposal& proposal, Offset offset)
{
    if (!wellFormed(proposal))
        return Verdict::Invalid;
    bool taken = std::any_of(proposal.hosts.begin(), proposal.hosts.end(),
        [&](const std::string& host) { return m_holders.contains(host); });
    if (taken || replicaHeld(proposal))
        return Verdict::Outdated;
    insertClaim({ offset, ClaimPhase::Held, proposal, { proposal.hosts.begin(), proposal.hosts.end() } });
    return Verdict::Accepted;
}

void State::insertClaim(Claim claim)
{
    for (const std::string& host : claim.hostsHeld)
        m_holders[host] = claim.offset;
    if (claim.phase == ClaimPhase::Held)
        m_replicas[replicaKey(claim.proposal)] = claim.offset;
    Offset offset = claim.offset;
    m_claims.insert_or_assign(offset, std::move(claim));
}

Verdict State::applyBody(const ClaimEndProposal& proposal, Offset)
{
    auto found = m_claims.find(proposal.claim);
    if (found == m_claims.end() || found->second.phase == ClaimPhase::Ending)
        return Verdict::Outdated;
    found->second.phase = ClaimPhase::Ending;
    m_replicas.erase(replicaKey(found->second.proposal));
    return Verdict::Accepted;
}

// Names the claim and not only the hosts: a late word about an older claim must not free a newer one's hosts.
Verdict State::applyBody(const HostsFreedProposal& proposal, Offset)
{
    auto found = m_claims.find(proposal.claim);
    if (found == m_claims.end() || found->second.phase != ClaimPhase::Ending)
        return Verdict::Outdated;
    size_t freed = 0;
    for (const std::string& host : proposal.hosts) {
        if (found->second.hostsHeld.erase(host) == 0)
            continue;
        m_holders.erase(host);
        ++freed;
    }
    if (found->second.hostsHeld.empty())
        m_claims.erase(found);
    return freed > 0 ? Verdict::Accepted : Verdict::Outdated;
}

Verdict State::applyBody(const LeaseProposal& proposal, Offset offset)
{
    const HeldLease* current = lease(proposal.lease);
    if (proposal.previous != (current ? current->offset : 0))
        return Verdict::Outdated;
    m_leases[proposal.lease] = { offset, proposal.holder, proposal.duration };
    return Verdict::Accepted;
}

Verdict State::applyBody(const SlotsProposal& proposal, Offset)
{
    return m_slots.apply(proposal).empty() ? Verdict::Outdated : Verdict::Accepted;
}

// For a reader that got here the snapshot says nothing new, so a stale one can't undo anything. The last part
// is appended only after the others, so its presence means a whole snapshot.
Verdict State::applyBody(const SnapshotProposal& proposal, Offset offset)
{
    if (proposal.covers >= offset)
        return Verdict::Invalid;
    if (proposal.part + 1 == proposal.parts)
        m_snapshotCovers = std::max(m_snapshotCovers, proposal.covers);
    return Verdict::Accepted;
}

// MessagePack in base64: a JSON text inside a JSON record inside a JSON answer would be escaped twice over.
std::string State::snapshot() const
{
    json claims = json::array();
    for (const auto& [offset, claim] : m_claims)
        claims.push_back(claimJson(claim));
    json leases = json::array();
    for (const auto& [name, lease] : m_leases)
        leases.push_back(leaseJson(name, lease));
    json slots = json::array();
    for (uint32_t slot = 0; slot < slotCount; ++slot) {
        if (m_slots.assignment(slot).epoch != 0)
            slots.push_back(slotJson(slot, m_slots.assignment(slot)));
    }
    json decided = json::array();
    for (const std::string& id : m_decidedOrder) {
        const DecidedRecord& record = m_decided.at(id);
        decided.push_back(json::array({ id, record.offset, static_cast<uint8_t>(record.verdict) }));
    }
    json whole = { { "format", snapshotFormat }, { "offset", m_offset }, { "snapshot_covers", m_snapshotCovers },
        { "claims", std::move(claims) }, { "leases", std::move(leases) }, { "slots", std::move(slots) },
        { "decided", std::move(decided) } };
    if (m_config)
        whole["config"] = { { "version", m_config->version }, { "text", m_config->text } };
    return base64Encode(json::to_msgpack(whole));
}

void State::readSnapshot(std::string_view encoded)
{
    auto bytes = base64Decode(encoded);
    if (!bytes)
        throw DecodeFailure("not base64");
    json whole = json::from_msgpack(*bytes);
    if (whole.at("format") != snapshotFormat)
        throw DecodeFailure("unknown snapshot format");
    m_offset = wholeNumber<Offset>(whole.at("offset"));
    m_snapshotCovers = wholeNumber<Offset>(whole.at("snapshot_covers"));
    for (const json& claim : whole.at("claims"))
        insertClaim(claimFromSnapshot(claim));
    for (const json& lease : whole.at("leases"))
        m_leases[lease.at(0).get<std::string>()]
            = { wholeNumber<Offset>(lease.at(1)), nodeIdFrom(lease.at(2)), durationFrom(lease.at(3)) };
    for (const json& slot : whole.at("slots"))
        restoreSlot(m_slots, slot);
    for (const json& record : whole.at("decided"))
        remember(record.at(0).get<std::string>(), { wholeNumber<Offset>(record.at(1)), verdictFrom(record.at(2)) });
    if (!whole.contains("config"))
        return;
    const json& config = whole.at("config");
    m_config
        = parseAccepted(wholeNumber<Offset>(config.at("version")), config.at("text").get_ref<const std::string&>());
    if (!m_config)
        throw DecodeFailure("unreadable operators' text");
}

Result<State> State::restore(const SnapshotProposal& proposal)
{
    State state;
    try {
        state.readSnapshot(proposal.state);
    } catch (const std::exception& failure) {
        return fail({ ErrorCode::Malformed, Step::LogRead, {}, failure.what() });
    }
    if (state.m_offset != proposal.covers)
        return fail({ ErrorCode::Malformed, Step::LogRead, {}, "the snapshot is of another offset than it says" });
    return state;
}

} // namespace Kumquatpick
