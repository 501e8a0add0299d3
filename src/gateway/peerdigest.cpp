#include "gateway/peerdigest.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    json encodeStatus(const ReportedStatus& reported)
    {
        json result { { "host", reported.hostId }, { "orders", reported.status.ordersAccepted.value_or(0) },
            { "model", reported.status.model }, { "staged", reported.status.stagedModels },
            { "domain", reported.status.domain }, { "age_ms", reported.age.count() } };
        if (const auto& membership = reported.status.membership) {
            result["replica"] = membership->replica;
            result["epoch"] = membership->epoch;
            result["rank"] = membership->rank;
            result["state"] = static_cast<int>(membership->state);
        }
        return result;
    }

    // An entry that cannot be decoded is skipped; the others remain valid.
    std::optional<ReportedStatus> decodeStatus(const json& entry)
    try {
        ReportedStatus reported;
        reported.hostId = entry.at("host").get<std::string>();
        reported.status.ordersAccepted = entry.at("orders").get<uint64_t>();
        reported.status.model = entry.at("model").get<std::string>();
        reported.status.stagedModels = entry.at("staged").get<std::vector<std::string>>();
        reported.status.domain = entry.at("domain").get<std::string>();
        reported.age = Milliseconds(entry.at("age_ms").get<int64_t>());
        if (entry.contains("replica")) {
            int state = std::clamp(entry.at("state").get<int>(), 0, static_cast<int>(MemberState::Broken));
            reported.status.membership = Membership { entry["replica"].get<std::string>(),
                entry.at("epoch").get<uint64_t>(), entry.at("rank").get<uint32_t>(), static_cast<MemberState>(state) };
        }
        return reported;
    } catch (const json::exception&) {
        return std::nullopt;
    }

    json encodeLimit(const HostRateLimit& limit)
    {
        json result { { "host", limit.hostId }, { "age_ms", limit.age.count() } };
        if (limit.perSecond)
            result["per_second"] = *limit.perSecond;
        return result;
    }

    // An entry that cannot be decoded is skipped; the others remain valid.
    std::optional<HostRateLimit> decodeLimit(const json& entry)
    try {
        HostRateLimit limit { entry.at("host").get<std::string>(), std::nullopt,
            Milliseconds(std::max<int64_t>(0, entry.at("age_ms").get<int64_t>())) };
        if (entry.contains("per_second"))
            limit.perSecond = std::max(0.0, entry["per_second"].get<double>());
        return limit;
    } catch (const json::exception&) {
        return std::nullopt;
    }

}

std::string incarnationName(std::string_view node, uint64_t incarnation)
{
    return fmt::format("{}/{:x}", node, incarnation);
}

void addTransitDelay(PeerDigest& digest, std::optional<Milliseconds> atMost)
{
    if (!atMost) {
        digest.reported.clear();
        digest.limits.clear();
        return;
    }
    for (ReportedStatus& reported : digest.reported)
        reported.age += *atMost;
    for (HostRateLimit& limit : digest.limits)
        limit.age += *atMost;
}

std::string encode(const PeerDigest& digest)
{
    json result { { "name", digest.name }, { "incarnation", digest.incarnation }, { "callers", digest.callers },
        { "peers", digest.peers }, { "zone", digest.zone }, { "cpu", digest.cpuShare },
        { "stopping", digest.isStopping }, { "ready", digest.isReady }, { "calls_seen", digest.anyCallSeen },
        { "config", digest.configVersion }, { "term", digest.controllerTerm }, { "in_flight", digest.inFlight },
        { "waiting", digest.unmetDemand }, { "still", digest.stalledHeads }, { "known", digest.knownPeers } };
    for (const auto& reported : digest.reported)
        result["reported"].push_back(encodeStatus(reported));
    for (const auto& limit : digest.limits)
        result["limits"].push_back(encodeLimit(limit));
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<PeerDigest> decodeDigest(std::string_view text)
{
    try {
        json entry = json::parse(text);
        PeerDigest digest;
        digest.name = entry.at("name").get<std::string>();
        digest.incarnation = entry.at("incarnation").get<uint64_t>();
        digest.callers = entry.at("callers").get<std::string>();
        digest.peers = entry.at("peers").get<std::string>();
        digest.zone = entry.at("zone").get<std::string>();
        digest.cpuShare = entry.value("cpu", 0.0);
        digest.isStopping = entry.at("stopping").get<bool>();
        digest.isReady = entry.at("ready").get<bool>();
        digest.anyCallSeen = entry.at("calls_seen").get<bool>();
        digest.configVersion = entry.at("config").get<uint64_t>();
        digest.controllerTerm = entry.at("term").get<uint64_t>();
        digest.inFlight = entry.at("in_flight").get<std::map<std::string, uint32_t, std::less<>>>();
        digest.unmetDemand = entry.at("waiting").get<std::map<std::string, double, std::less<>>>();
        digest.stalledHeads = entry.at("still").get<std::vector<std::string>>();
        digest.knownPeers = entry.at("known").get<std::vector<std::string>>();
        for (const auto& reported : entry.value("reported", json::array())) {
            if (auto status = decodeStatus(reported))
                digest.reported.push_back(std::move(*status));
        }
        for (const auto& limit : entry.value("limits", json::array())) {
            if (auto named = decodeLimit(limit))
                digest.limits.push_back(std::move(*named));
        }
        return digest;
    } catch (const json::exception&) {
        return std::nullopt; // The receiver logs it with the peer's address.
    }
}

} // namespace Kumquatpick
