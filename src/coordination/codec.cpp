#include "coordination/codec.h"

namespace Kumquatpick {

using nlohmann::json;

namespace {

    // An unset address is encoded as an empty string.
    std::string addressText(const Address& address)
    {
        return address == Address {} ? std::string() : address.toString();
    }

    Address addressFrom(const json& value)
    {
        const auto& text = value.get_ref<const std::string&>();
        if (text.empty())
            return {};
        auto parsed = settle([&] { return Address::parse(text); });
        if (auto* error = std::get_if<Error>(&parsed))
            throw DecodeFailure(error->detail);
        return std::get<Address>(parsed);
    }

}

json toJson(const NodeId& id) { return { { "name", id.name }, { "incarnation", id.incarnation } }; }

json toJson(const NodeInfo& node)
{
    json value = toJson(node.id);
    value["zone"] = node.zone;
    value["peer"] = addressText(node.peerAddress);
    value["caller"] = addressText(node.callerAddress);
    return value;
}

json toJson(const ClaimProposal& claim)
{
    json value { { "service", claim.service }, { "replica", claim.replica }, { "zone", claim.zone },
        { "domain", claim.domain }, { "hosts", claim.hosts }, { "incarnations", claim.incarnations },
        { "model", claim.model }, { "model_version", claim.modelVersion } };
    if (claim.replaces != 0)
        value["replaces"] = claim.replaces;
    return value;
}

NodeId nodeIdFrom(const json& value)
{
    return { value.at("name").get<std::string>(), unsignedFrom<uint64_t>(value.at("incarnation")) };
}

NodeInfo nodeInfoFrom(const json& value)
{
    return { nodeIdFrom(value), value.at("zone").get<std::string>(), addressFrom(value.at("peer")),
        addressFrom(value.at("caller")) };
}

ClaimProposal claimProposalFrom(const json& value)
{
    ClaimProposal claim;
    claim.service = value.at("service").get<std::string>();
    claim.replica = value.at("replica").get<std::string>();
    claim.zone = value.at("zone").get<std::string>();
    claim.domain = value.at("domain").get<std::string>();
    claim.hosts = value.at("hosts").get<std::vector<std::string>>();
    for (const json& incarnation : value.at("incarnations"))
        claim.incarnations.push_back(unsignedFrom<uint64_t>(incarnation));
    claim.model = value.at("model").get<std::string>();
    claim.modelVersion = value.at("model_version").get<std::string>();
    if (value.contains("replaces"))
        claim.replaces = unsignedFrom<Offset>(value.at("replaces"));
    return claim;
}

WallTime wallTimeFrom(const json& value)
{
    if (!value.is_number_integer())
        throw DecodeFailure("expected an integer time in milliseconds");
    return WallTime(Milliseconds(value.get<int64_t>()));
}

// Limited to 32 bits, so that adding the duration to a time can't overflow.
Milliseconds durationFrom(const json& value) { return Milliseconds(unsignedFrom<uint32_t>(value)); }

int64_t toMilliseconds(WallTime time) { return time.time_since_epoch().count(); }

} // namespace Kumquatpick
