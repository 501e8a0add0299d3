#include "gateway/nodecodec.h"

#include "gateway/evacuationcodec.h"
#include "gateway/progressfield.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr int version = 1;
    // Far above the states of all nodes of a large fleet.
    constexpr size_t maxBytes = 4 * 1024 * 1024;
    // A state with a higher sequence could not be refuted any more.
    constexpr uint64_t maxSequence = uint64_t(1) << 53;
    // Of servers under one request. Far above what is needed to stop it.
    constexpr uint32_t maxDeaths = 10'000;
    constexpr uint32_t maxFleetNodes = 100'000;

    json encodeState(const NodeState& state)
    {
        int flags = (state.isStopping ? 1 : 0) + (state.isReady ? 2 : 0) + (state.isSilent ? 4 : 0);
        json result = json::array({ state.address, state.name, state.incarnation, state.callers, state.zone,
            state.cpuShare, flags, state.monitor, state.sequence });
        if (!state.cutOffServices.empty())
            result.push_back(state.cutOffServices);
        return result;
    }

    NodeState decodeState(const json& entry)
    {
        NodeState state;
        state.address = entry.at(0).get<std::string>();
        state.name = entry.at(1).get<std::string>();
        state.incarnation = entry.at(2).get<uint64_t>();
        state.callers = entry.at(3).get<std::string>();
        state.zone = entry.at(4).get<std::string>();
        state.cpuShare = entry.at(5).get<double>();
        int flags = entry.at(6).get<int>();
        state.isStopping = flags & 1;
        state.isReady = flags & 2;
        state.isSilent = flags & 4;
        state.monitor = entry.at(7).get<std::string>();
        state.sequence = entry.at(8).get<uint64_t>();
        constexpr size_t cutOffServicesAt = 9; // Nodes that reach all services send none.
        if (entry.size() > cutOffServicesAt)
            state.cutOffServices = entry.at(cutOffServicesAt).get<std::vector<std::string>>();
        return state;
    }

    bool isPlausible(const NodeState& state)
    {
        auto isAddress = [](const std::string& text) {
            return std::holds_alternative<Address>(settle([&] { return Address::parse(text); }));
        };
        bool hasMonitor = state.monitor.empty() || isAddress(state.monitor);
        return isAddress(state.address) && isAddress(state.callers) && hasMonitor && !state.name.empty()
            && !state.zone.empty() && state.incarnation != 0 && state.sequence <= maxSequence && state.cpuShare >= 0;
    }

    struct EncodeContent {
        json operator()(const StalledHead& head) const { return json::array({ "stalled", head.hostId }); }
        json operator()(const ReportedStatus& reported) const
        {
            const HostStatus& status = reported.status;
            json result = json::array({ "status", reported.hostId, status.ordersAccepted.value_or(0), status.model,
                status.stagedModels, status.domain });
            if (const auto& membership = status.membership) {
                result.push_back(membership->replica);
                result.push_back(membership->epoch);
                result.push_back(membership->rank);
                result.push_back(static_cast<int>(membership->state));
            }
            return result;
        }
    };

    ReportedStatus decodeStatus(const json& entry)
    {
        ReportedStatus reported;
        reported.hostId = entry.at(1).get<std::string>();
        reported.status.ordersAccepted = entry.at(2).get<uint64_t>();
        reported.status.model = entry.at(3).get<std::string>();
        reported.status.stagedModels = entry.at(4).get<std::vector<std::string>>();
        reported.status.domain = entry.at(5).get<std::string>();
        if (entry.size() > 6) {
            int state = std::clamp(entry.at(9).get<int>(), 0, static_cast<int>(MemberState::Broken));
            reported.status.membership = Membership { entry.at(6).get<std::string>(), entry.at(7).get<uint64_t>(),
                entry.at(8).get<uint32_t>(), static_cast<MemberState>(state) };
        }
        return reported;
    }

    json encodeFact(const HostFact& fact)
    {
        return json::array({ fact.origin, fact.number, fact.age.count(), std::visit(EncodeContent {}, fact.content) });
    }

    Milliseconds decodeAge(const json& age) { return Milliseconds(std::max<int64_t>(0, age.get<int64_t>())); }

    HostFact decodeFact(const json& entry)
    {
        HostFact fact;
        fact.origin = entry.at(0).get<std::string>();
        fact.number = entry.at(1).get<uint64_t>();
        fact.age = decodeAge(entry.at(2));
        const json& content = entry.at(3);
        if (content.at(0) == "stalled")
            fact.content = StalledHead { content.at(1).get<std::string>() };
        else
            fact.content = decodeStatus(content);
        return fact;
    }

    json encodeLimit(const HostRateLimit& limit)
    {
        json result = json::array({ limit.hostId, limit.age.count() });
        if (limit.perSecond)
            result.push_back(*limit.perSecond);
        return result;
    }

    HostRateLimit decodeLimit(const json& entry)
    {
        HostRateLimit limit { entry.at(0).get<std::string>(), std::nullopt, decodeAge(entry.at(1)) };
        if (entry.size() > 2)
            limit.perSecond = std::max(0.0, entry.at(2).get<double>());
        return limit;
    }

    json encodeSuspicion(const SuspicionCount& count)
    {
        json result = json::array({ count.fingerprint, count.observer, count.deaths, count.clearedDeaths });
        for (uint64_t id : count.deathIds)
            result.push_back(id);
        return result;
    }

    // Each death has its id, so a count without as many ids was not made by a node.
    SuspicionCount decodeSuspicion(const json& entry)
    {
        SuspicionCount count { entry.at(0).get<uint64_t>(), entry.at(1).get<uint64_t>(), entry.at(2).get<uint32_t>(),
            entry.at(3).get<uint32_t>() };
        for (size_t i = 4; i < std::min(entry.size(), 4 + SuspicionCount::maxDeathIds); ++i)
            count.deathIds.push_back(entry.at(i).get<uint64_t>());
        return count;
    }

    json encodeSharedSuspicion(const SuspicionCount& count)
    {
        return json::array({ static_cast<int>(count.kind), count.fingerprint, count.observer, count.deaths,
            count.clearedDeaths, count.depth, count.deathIds, count.clearedIds, count.detectionDelay.count() });
    }

    SuspicionCount decodeSharedSuspicion(const json& entry)
    {
        SuspicionCount count { entry.at(1).get<uint64_t>(), entry.at(2).get<uint64_t>(), entry.at(3).get<uint32_t>(),
            entry.at(4).get<uint32_t>(), entry.at(6).get<std::vector<uint64_t>>() };
        count.kind = static_cast<SuspectKind>(entry.at(0).get<uint8_t>());
        count.depth = entry.at(5).get<uint32_t>();
        count.clearedIds = entry.at(7).get<std::vector<uint64_t>>();
        count.detectionDelay = decodeAge(entry.at(8));
        return count;
    }

    bool isPlausible(const SuspicionCount& count)
    {
        if (count.observer == 0 || std::max(count.deaths, count.clearedDeaths) > maxDeaths)
            return false;
        if (count.kind == SuspectKind::Request)
            return count.deathIds.size() == std::min<size_t>(count.deaths, SuspicionCount::maxDeathIds);
        // Kinds that only later versions know say nothing here.
        return count.kind == SuspectKind::PromptPart && count.depth <= SuspicionCount::maxDepth
            && count.deathIds.size() <= std::min<size_t>(count.deaths, SuspicionCount::maxSharedDeathIds)
            && count.clearedIds.size() <= std::min<size_t>(count.clearedDeaths, SuspicionCount::maxClearedIds);
    }

    json encodePosition(const FeedPosition& position)
    {
        return json::array({ position.incarnation, position.nodes, position.facts, position.suspicions });
    }

    FeedPosition decodePosition(const json& entry)
    {
        constexpr size_t suspicionsAt = 3; // Nodes of earlier versions send none.
        return { entry.at(0).get<uint64_t>(), entry.at(1).get<uint64_t>(), entry.at(2).get<uint64_t>(),
            entry.size() > suspicionsAt ? entry.at(suspicionsAt).get<uint64_t>() : 0 };
    }

    // Adds what can be decoded; an entry that cannot is skipped.
    template <typename Value, typename Decode>
    void decodeAll(const json& document, const char* key, std::vector<Value>& into, Decode&& decode)
    {
        for (const auto& entry : document.value(key, json::array())) {
            try {
                into.push_back(decode(entry));
            } catch (const json::exception&) {
                continue; // The others are of use without it.
            }
        }
    }

    template <typename Value, typename Encode>
    void encodeAll(json& document, const char* key, const std::vector<Value>& values, Encode&& encode)
    {
        for (const Value& value : values)
            document[key].push_back(encode(value));
    }

    NodeMessage decodeDocument(const json& document)
    {
        NodeMessage message;
        message.sender = decodeState(document.at("sender"));
        message.isRelay = document.value("relay", false);
        message.isSettled = document.value("settled", false);
        message.configVersion = document.at("config").get<uint64_t>();
        message.controllerTerm = document.at("term").get<uint64_t>();
        message.anyCallSeen = document.value("calls", false);
        message.fleetNodes = std::min(document.value("fleet_nodes", uint32_t(0)), maxFleetNodes);
        message.inFlight = document.value("in_flight", decltype(message.inFlight)());
        message.unmetDemand = document.value("unmet", decltype(message.unmetDemand)());
        auto progress = decodeProgress(document);
        message.isProgressReadable = progress.has_value();
        message.progressAges = std::move(progress).value_or(AgesByHost {});
        message.sent = decodePosition(document.at("sent"));
        message.received = decodePosition(document.at("received"));
        message.unreachable = document.value("unreachable", std::vector<std::string>());
        message.hasMore = document.value("more", false);
        message.clock = Milliseconds(document.at("clock").get<int64_t>());
        if (document.contains("hashes"))
            message.bucketHashes = document["hashes"].get<NodeTable::BucketHashes>();
        if (document.contains("echo")) {
            const json& echo = document["echo"];
            message.echo = ClockEcho { echo.at(0).get<uint64_t>(), Milliseconds(echo.at(1).get<int64_t>()),
                Milliseconds(echo.at(2).get<int64_t>()) };
        }
        decodeAll(document, "limits", message.limits, decodeLimit);
        if (document.contains("evacuations")) {
            try {
                message.evacuations = decodeEvacuations(document["evacuations"]);
            } catch (const json::exception&) {
                message.evacuations.reset(); // The rest is of use without them.
            }
        }
        decodeAll(document, "facts", message.facts, decodeFact);
        decodeAll(document, "suspicions", message.suspicions, decodeSuspicion);
        decodeAll(document, "shared_suspicions", message.suspicions, decodeSharedSuspicion);
        std::erase_if(message.suspicions, [](const SuspicionCount& count) { return !isPlausible(count); });
        decodeAll(document, "nodes", message.nodes, decodeState);
        std::erase_if(message.nodes, [](const NodeState& state) { return !isPlausible(state); });
        return message;
    }

}

std::string incarnationName(std::string_view node, uint64_t incarnation)
{
    return fmt::format("{}/{:x}", node, incarnation);
}

std::string encode(const NodeMessage& message)
{
    json document { { "v", version }, { "sender", encodeState(message.sender) }, { "config", message.configVersion },
        { "term", message.controllerTerm }, { "sent", encodePosition(message.sent) },
        { "received", encodePosition(message.received) }, { "clock", message.clock.count() } };
    if (message.isRelay)
        document["relay"] = true;
    if (message.isSettled)
        document["settled"] = true;
    if (message.anyCallSeen)
        document["calls"] = true;
    if (message.fleetNodes)
        document["fleet_nodes"] = message.fleetNodes;
    if (message.hasMore)
        document["more"] = true;
    if (!message.inFlight.empty())
        document["in_flight"] = message.inFlight;
    if (!message.unmetDemand.empty())
        document["unmet"] = message.unmetDemand;
    encodeProgress(document, message.progressAges);
    if (!message.unreachable.empty())
        document["unreachable"] = message.unreachable;
    if (message.bucketHashes)
        document["hashes"] = *message.bucketHashes;
    if (message.echo)
        document["echo"]
            = json::array({ message.echo->incarnation, message.echo->at.count(), message.echo->heldFor.count() });
    encodeAll(document, "limits", message.limits, encodeLimit);
    if (message.evacuations)
        document["evacuations"] = encodeEvacuations(*message.evacuations);
    encodeAll(document, "facts", message.facts, encodeFact);
    for (const SuspicionCount& count : message.suspicions) {
        // Nodes of earlier versions ignore the second list.
        if (count.kind == SuspectKind::Request)
            document["suspicions"].push_back(encodeSuspicion(count));
        else
            document["shared_suspicions"].push_back(encodeSharedSuspicion(count));
    }
    encodeAll(document, "nodes", message.nodes, encodeState);
    auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

std::optional<NodeMessage> decodeNodeMessage(std::string_view bytes)
{
    if (bytes.size() > maxBytes)
        return std::nullopt; // The receiver logs it.
    try {
        json document = json::from_cbor(bytes.begin(), bytes.end());
        if (document.at("v").get<int>() != version)
            return std::nullopt;
        NodeMessage message = decodeDocument(document);
        return isPlausible(message.sender) ? std::optional(std::move(message)) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt; // The receiver logs it.
    }
}

} // namespace Kumquatpick
