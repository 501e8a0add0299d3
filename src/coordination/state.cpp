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
        auto* operatorsText = std::get_if<OperatorConfig>(&parsed);
        if (!operatorsText)
            return nullptr;
        return std::make_shared<const AcceptedConfig>(
            AcceptedConfig { version, std::move(*operatorsText), std::string(text) });
    }

    std::string replicaKey(const ClaimProposal& claim) { return claim.service + "/" + claim.replica; }

    bool isWellFormed(const ClaimProposal& claim)
    {
        std::set<std::string_view> distinct(claim.hosts.begin(), claim.hosts.end());
        bool allNamesSet = !claim.service.empty() && !claim.replica.empty() && !distinct.contains("");
        return allNamesSet && !claim.hosts.empty() && distinct.size() == claim.hosts.size()
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
        claim.offset = unsignedFrom<Offset>(value.at(0));
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
        // The field is omitted if the claim replaces none, and missing from older snapshots.
        constexpr size_t replacesIndex = 11;
        if (value.size() > replacesIndex)
            proposal.replaces = unsignedFrom<Offset>(value.at(replacesIndex));
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
        auto slot = unsignedFrom<uint32_t>(value.at(0));
        if (slot >= slotCount)
            throw DecodeFailure("slot number out of range");
        slots.restore(slot,
            { unsignedFrom<uint32_t>(value.at(1)), nodeInfoFrom(value.at(2)), nodeInfoFrom(value.at(3)),
                wallTimeFrom(value.at(4)), { value.at(5).get<std::string>(), unsignedFrom<uint64_t>(value.at(6)) },
                value.at(7).get<bool>() });
    }

    json leaseJson(const std::string& name, const HeldLease& lease)
    {
        return json::array({ name, lease.offset, toJson(lease.holder), lease.duration.count() });
    }

    Verdict verdictFrom(const json& value)
    {
        auto verdict = unsignedFrom<uint8_t>(value);
        if (verdict > static_cast<uint8_t>(Verdict::Duplicate))
            throw DecodeFailure("verdict out of range");
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
    rememberDecision(logged.record.id, { logged.offset, verdict });
    dropAppliedAdoption();
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
    auto found = m_claimByHost.find(std::string(host));
    return found == m_claimByHost.end() ? nullptr : &m_claims.at(found->second);
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

// The adopted configuration is kept apart from the applied one: the basedOn check must use the configuration that the
// log had accepted at each offset, or a node that adopted a newer one would decide the records in between differently
// from the other nodes.
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

// Once the records up to the adopted version are applied, the applied configuration is that version or a newer one.
void State::dropAppliedAdoption()
{
    if (m_adopted && m_config && m_config->version >= m_adopted->version)
        m_adopted.reset();
}

void State::rememberDecision(const std::string& id, DecidedRecord decided)
{
    m_decided.emplace(id, decided);
    m_decidedIds.push_back(id);
    if (m_decidedIds.size() <= maxDecidedRecords)
        return;
    m_decided.erase(m_decidedIds.front());
    m_decidedIds.pop_front();
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

// Only one claim at a time can hold a replica name, so that two controllers that replace the same missing replica on
// different hosts do not both succeed.
bool State::isReplicaHeld(const ClaimProposal& proposal) const
{
    return m_claimByReplica.contains(replicaKey(proposal));
}

Verdict State::applyBody(const ClaimProposal& proposal, Offset offset)
{
    if (!isWellFormed(proposal))
        return Verdict::Invalid;
    bool taken = std::any_of(proposal.hosts.begin(), proposal.hosts.end(),
        [&](const std::string& host) { return m_claimByHost.contains(host); });
    if (taken || isReplicaHeld(proposal))
        return Verdict::Outdated;
    insertClaim({ offset, ClaimPhase::Held, proposal, { proposal.hosts.begin(), proposal.hosts.end() } });
    return Verdict::Accepted;
}

void State::insertClaim(Claim claim)
{
    for (const std::string& host : claim.hostsHeld)
        m_claimByHost[host] = claim.offset;
    if (claim.phase == ClaimPhase::Held)
        m_claimByReplica[replicaKey(claim.proposal)] = claim.offset;
    Offset offset = claim.offset;
    m_claims.insert_or_assign(offset, std::move(claim));
}

Verdict State::applyBody(const ClaimEndProposal& proposal, Offset)
{
    auto found = m_claims.find(proposal.claim);
    if (found == m_claims.end() || found->second.phase == ClaimPhase::Ending)
        return Verdict::Outdated;
    found->second.phase = ClaimPhase::Ending;
    m_claimByReplica.erase(replicaKey(found->second.proposal));
    return Verdict::Accepted;
}

// The proposal names the claim in addition to the hosts, so that a delayed record about an older claim can't free the
// hosts of a newer one.
Verdict State::applyBody(const HostsFreedProposal& proposal, Offset)
{
    auto found = m_claims.find(proposal.claim);
    if (found == m_claims.end() || found->second.phase != ClaimPhase::Ending)
        return Verdict::Outdated;
    size_t freed = 0;
    for (const std::string& host : proposal.hosts) {
        if (found->second.hostsHeld.erase(host) == 0)
            continue;
        m_claimByHost.erase(host);
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

// A snapshot has no new data for a reader that has reached its offset, so an outdated one can't revert anything. The
// last part is appended only after all others, so its presence implies a complete snapshot.
Verdict State::applyBody(const SnapshotProposal& proposal, Offset offset)
{
    if (proposal.covers >= offset)
        return Verdict::Invalid;
    if (proposal.part + 1 == proposal.parts)
        m_snapshotCovers = std::max(m_snapshotCovers, proposal.covers);
    return Verdict::Accepted;
}

// Encoded as MessagePack in base64: a JSON text inside a JSON record inside a JSON response would be escaped twice.
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
    for (const std::string& id : m_decidedIds) {
        const DecidedRecord& record = m_decided.at(id);
        decided.push_back(json::array({ id, record.offset, static_cast<uint8_t>(record.verdict) }));
    }
    json stateJson = { { "format", snapshotFormat }, { "offset", m_offset }, { "snapshot_covers", m_snapshotCovers },
        { "claims", std::move(claims) }, { "leases", std::move(leases) }, { "slots", std::move(slots) },
        { "decided", std::move(decided) } };
    if (m_config)
        stateJson["config"] = { { "version", m_config->version }, { "text", m_config->text } };
    return base64Encode(json::to_msgpack(stateJson));
}

void State::readSnapshot(std::string_view encoded)
{
    auto bytes = base64Decode(encoded);
    if (!bytes)
        throw DecodeFailure("snapshot is not valid base64");
    json stateJson = json::from_msgpack(*bytes);
    if (stateJson.at("format") != snapshotFormat)
        throw DecodeFailure("unknown snapshot format");
    m_offset = unsignedFrom<Offset>(stateJson.at("offset"));
    m_snapshotCovers = unsignedFrom<Offset>(stateJson.at("snapshot_covers"));
    for (const json& claim : stateJson.at("claims"))
        insertClaim(claimFromSnapshot(claim));
    for (const json& lease : stateJson.at("leases"))
        m_leases[lease.at(0).get<std::string>()]
            = { unsignedFrom<Offset>(lease.at(1)), nodeIdFrom(lease.at(2)), durationFrom(lease.at(3)) };
    for (const json& slot : stateJson.at("slots"))
        restoreSlot(m_slots, slot);
    for (const json& record : stateJson.at("decided"))
        rememberDecision(
            record.at(0).get<std::string>(), { unsignedFrom<Offset>(record.at(1)), verdictFrom(record.at(2)) });
    if (!stateJson.contains("config"))
        return;
    const json& config = stateJson.at("config");
    m_config
        = parseAccepted(unsignedFrom<Offset>(config.at("version")), config.at("text").get_ref<const std::string&>());
    if (!m_config)
        throw DecodeFailure("snapshot has an operators' configuration that can't be parsed");
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
        return fail(
            { ErrorCode::Malformed, Step::LogRead, {}, "snapshot state has another offset than the record states" });
    return state;
}

} // namespace Kumquatpick
