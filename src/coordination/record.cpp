#include "coordination/record.h"

#include "coordination/codec.h"

namespace Kumquatpick {

using nlohmann::json;

namespace {

    std::string_view name(FreedReason because)
    {
        return because == FreedReason::HostDead ? "host_dead" : "engine_confirmed";
    }

    FreedReason freedReasonFrom(const json& value)
    {
        for (auto because : { FreedReason::EngineConfirmed, FreedReason::HostDead }) {
            if (value.get_ref<const std::string&>() == name(because))
                return because;
        }
        throw DecodeFailure("unknown reason for freeing hosts");
    }

    json toJson(const SlotChange& change)
    {
        return { { "slot", change.slot }, { "expected_epoch", change.expectedEpoch },
            { "owner", Kumquatpick::toJson(change.owner) }, { "witness", Kumquatpick::toJson(change.witness) },
            { "journal_lost", change.journalLost }, { "lost_before_ms", toMilliseconds(change.lostBefore) } };
    }

    SlotChange slotChangeFrom(const json& value)
    {
        SlotChange change;
        change.slot = unsignedFrom<uint32_t>(value.at("slot"));
        if (change.slot >= slotCount)
            throw DecodeFailure("slot number out of range");
        change.expectedEpoch = unsignedFrom<uint32_t>(value.at("expected_epoch"));
        change.owner = nodeInfoFrom(value.at("owner"));
        change.witness = nodeInfoFrom(value.at("witness"));
        change.journalLost = value.at("journal_lost").get<bool>();
        change.lostBefore = wallTimeFrom(value.at("lost_before_ms"));
        return change;
    }

    json bodyJson(const ConfigProposal& config)
    {
        return { { "kind", "config" }, { "based_on", config.basedOn }, { "text", config.text },
            { "operator", config.operatorName } };
    }

    json bodyJson(const ClaimProposal& claim)
    {
        json value = toJson(claim);
        value["kind"] = "claim";
        return value;
    }

    json bodyJson(const ClaimEndProposal& end)
    {
        return { { "kind", "claim_end" }, { "claim", end.claim }, { "reason", end.reason } };
    }

    json bodyJson(const HostsFreedProposal& freed)
    {
        return { { "kind", "hosts_freed" }, { "claim", freed.claim }, { "hosts", freed.hosts },
            { "because", name(freed.because) } };
    }

    json bodyJson(const LeaseProposal& lease)
    {
        return { { "kind", "lease" }, { "lease", lease.lease }, { "previous", lease.previous },
            { "holder", toJson(lease.holder) }, { "duration_ms", lease.duration.count() } };
    }

    json bodyJson(const SlotsProposal& slots)
    {
        json changes = json::array();
        for (const SlotChange& change : slots.changes)
            changes.push_back(toJson(change));
        return { { "kind", "slots" }, { "proposer", toJson(slots.proposer) }, { "changes", std::move(changes) } };
    }

    json bodyJson(const SnapshotProposal& snapshot)
    {
        return { { "kind", "snapshot" }, { "covers", snapshot.covers }, { "series", snapshot.series },
            { "part", snapshot.part }, { "parts", snapshot.parts }, { "state", snapshot.state } };
    }

    ConfigProposal configFrom(const json& value)
    {
        return { unsignedFrom<Offset>(value.at("based_on")), value.at("text").get<std::string>(),
            value.at("operator").get<std::string>() };
    }

    ClaimEndProposal claimEndFrom(const json& value)
    {
        return { unsignedFrom<Offset>(value.at("claim")), value.at("reason").get<std::string>() };
    }

    HostsFreedProposal hostsFreedFrom(const json& value)
    {
        return { unsignedFrom<Offset>(value.at("claim")), value.at("hosts").get<std::vector<std::string>>(),
            freedReasonFrom(value.at("because")) };
    }

    LeaseProposal leaseFrom(const json& value)
    {
        return { value.at("lease").get<std::string>(), unsignedFrom<Offset>(value.at("previous")),
            nodeIdFrom(value.at("holder")), durationFrom(value.at("duration_ms")) };
    }

    SlotsProposal slotsFrom(const json& value)
    {
        SlotsProposal slots { nodeIdFrom(value.at("proposer")), {} };
        for (const json& change : value.at("changes"))
            slots.changes.push_back(slotChangeFrom(change));
        return slots;
    }

    SnapshotProposal snapshotFrom(const json& value)
    {
        SnapshotProposal snapshot { unsignedFrom<Offset>(value.at("covers")), value.at("series").get<std::string>(),
            unsignedFrom<uint32_t>(value.at("part")), unsignedFrom<uint32_t>(value.at("parts")),
            value.at("state").get<std::string>() };
        if (snapshot.part >= snapshot.parts)
            throw DecodeFailure("snapshot part number out of range");
        return snapshot;
    }

    RecordBody bodyFrom(const json& value)
    {
        const auto& kind = value.at("kind").get_ref<const std::string&>();
        if (kind == "config")
            return configFrom(value);
        if (kind == "claim")
            return claimProposalFrom(value);
        if (kind == "claim_end")
            return claimEndFrom(value);
        if (kind == "hosts_freed")
            return hostsFreedFrom(value);
        if (kind == "lease")
            return leaseFrom(value);
        if (kind == "slots")
            return slotsFrom(value);
        if (kind == "snapshot")
            return snapshotFrom(value);
        throw DecodeFailure("unknown record kind");
    }

    Record recordFrom(const json& value)
    {
        Record record { value.at("id").get<std::string>(), bodyFrom(value) };
        if (record.id.empty())
            throw DecodeFailure("record id is empty");
        return record;
    }

}

std::string encode(const Record& record)
{
    json value = std::visit([](const auto& body) { return bodyJson(body); }, record.body);
    value["id"] = record.id;
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Record> decodeRecord(std::string_view bytes)
{
    try {
        return recordFrom(json::parse(bytes));
    } catch (const std::exception& failure) {
        return fail({ ErrorCode::Malformed, Step::LogRead, {}, failure.what() });
    }
}

} // namespace Kumquatpick
