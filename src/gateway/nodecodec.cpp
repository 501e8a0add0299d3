#include "gateway/nodecodec.h"

#include "base/document.h"
#include "base/documentreader.h"
#include "gateway/demandfield.h"
#include "gateway/evacuationcodec.h"
#include "gateway/peernumbers.h"
#include "gateway/progressfield.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr int version = 1;
    // Far above the states of all nodes of a large fleet.
    constexpr DocumentLimits limits { 4 << 20, 8, 200'000 };
    // Of servers under one request. Far above what is needed to stop it.
    constexpr uint32_t maxDeaths = 10'000;
    constexpr uint32_t maxFleetNodes = 100'000;
    constexpr double maxCpuShare = 1000; // Cores.
    constexpr double maxRequestsPerSecond = 1e6;
    constexpr uint64_t maxRank = 1'000'000; // Of a host in a replica.

    json encodeState(const NodeState& state)
    {
        int flags = (state.isStopping ? 1 : 0) + (state.isReady ? 2 : 0) + (state.isSilent ? 4 : 0);
        json result = json::array({ state.address, state.name, state.incarnation, state.callers, state.zone,
            state.cpuShare, flags, state.monitor, state.sequence });
        if (!state.cutOffServices.empty())
            result.push_back(state.cutOffServices);
        return result;
    }

    std::string textOf(const DocumentReader& value) { return std::string(value.text()); }

    std::vector<std::string> textsOf(const DocumentReader& list)
    {
        std::vector<std::string> result;
        for (const DocumentReader& element : list.elements())
            result.push_back(textOf(element));
        return result;
    }

    // The first element that only nodes of later versions, or in some states, send.
    bool hasElement(const DocumentReader& list, size_t index) { return list.isArray() && list.size() > index; }

    NodeState decodeState(const DocumentReader& entry)
    {
        constexpr uint64_t maxFlags = 255;
        NodeState state;
        state.address = textOf(entry[0]);
        state.name = entry[1].name();
        state.incarnation = entry[2].integer(UINT64_MAX);
        state.callers = textOf(entry[3]);
        state.zone = entry[4].name();
        state.cpuShare = entry[5].number(0, maxCpuShare);
        uint64_t flags = entry[6].integer(maxFlags);
        state.isStopping = flags & 1;
        state.isReady = flags & 2;
        state.isSilent = flags & 4;
        state.monitor = textOf(entry[7]);
        // A state with a higher sequence could not be refuted any more.
        state.sequence = entry[8].integer(maxPeerInteger);
        constexpr size_t cutOffServicesAt = 9; // Nodes that reach all services send none.
        if (hasElement(entry, cutOffServicesAt))
            state.cutOffServices = textsOf(entry[cutOffServicesAt]);
        return state;
    }

    bool isPlausible(const NodeState& state)
    {
        auto isAddress = [](const std::string& text) {
            return std::holds_alternative<Address>(settle([&] { return Address::parse(text); }));
        };
        bool hasMonitor = state.monitor.empty() || isAddress(state.monitor);
        return isAddress(state.address) && isAddress(state.callers) && hasMonitor && state.incarnation != 0;
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

    ReportedStatus decodeStatus(const DocumentReader& entry)
    {
        ReportedStatus reported;
        HostStatus& status = reported.status;
        reported.hostId = entry[1].name();
        status.ordersAccepted = entry[2].integer(UINT64_MAX);
        status.model = textOf(entry[3]);
        status.stagedModels = textsOf(entry[4]);
        status.domain = textOf(entry[5]);
        constexpr size_t membershipAt = 6; // Hosts that are no members have none.
        if (!hasElement(entry, membershipAt))
            return reported;
        constexpr auto lastState = static_cast<uint64_t>(MemberState::Broken);
        status.membership = Membership { std::string(entry[6].name()), entry[7].integer(UINT64_MAX),
            static_cast<uint32_t>(entry[8].integer(maxRank)), static_cast<MemberState>(entry[9].integer(lastState)) };
        return reported;
    }

    json encodeFact(const HostFact& fact)
    {
        return json::array({ fact.origin, fact.number, fact.age.count(), std::visit(EncodeContent {}, fact.content) });
    }

    HostFact decodeFact(const DocumentReader& entry)
    {
        HostFact fact;
        fact.origin = entry[0].name();
        fact.number = entry[1].integer(maxPeerInteger);
        fact.age = decodePeerDuration(entry[2]);
        DocumentReader content = entry[3];
        if (content[0].text() == "stalled")
            fact.content = StalledHead { std::string(content[1].name()) };
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

    HostRateLimit decodeLimit(const DocumentReader& entry)
    {
        HostRateLimit limit { std::string(entry[0].name()), std::nullopt, decodePeerDuration(entry[1]) };
        constexpr size_t rateAt = 2;
        if (hasElement(entry, rateAt))
            limit.perSecond = std::max(0.0, entry[rateAt].number(-maxRequestsPerSecond, maxRequestsPerSecond));
        return limit;
    }

    json encodeSuspicion(const SuspicionCount& count)
    {
        json result = json::array({ count.fingerprint, count.observer, count.deaths, count.clearedDeaths });
        for (uint64_t id : count.deathIds)
            result.push_back(id);
        return result;
    }

    uint32_t decodeDeaths(const DocumentReader& value) { return static_cast<uint32_t>(value.integer(UINT32_MAX)); }

    std::vector<uint64_t> decodeIds(const DocumentReader& list)
    {
        std::vector<uint64_t> ids;
        for (const DocumentReader& id : list.elements())
            ids.push_back(id.integer(UINT64_MAX));
        return ids;
    }

    // Each death has its id, so a count without as many ids was not made by a node.
    SuspicionCount decodeSuspicion(const DocumentReader& entry)
    {
        constexpr size_t idsAt = 4;
        SuspicionCount count { entry[0].integer(UINT64_MAX), entry[1].integer(UINT64_MAX), decodeDeaths(entry[2]),
            decodeDeaths(entry[3]) };
        for (size_t i = idsAt; i < std::min(entry.size(), idsAt + SuspicionCount::maxDeathIds); ++i)
            count.deathIds.push_back(entry[i].integer(UINT64_MAX));
        return count;
    }

    json encodeSharedSuspicion(const SuspicionCount& count)
    {
        return json::array({ static_cast<int>(count.kind), count.fingerprint, count.observer, count.deaths,
            count.clearedDeaths, count.depth, count.deathIds, count.clearedIds, count.detectionDelay.count() });
    }

    SuspicionCount decodeSharedSuspicion(const DocumentReader& entry)
    {
        SuspicionCount count { entry[1].integer(UINT64_MAX), entry[2].integer(UINT64_MAX), decodeDeaths(entry[3]),
            decodeDeaths(entry[4]), decodeIds(entry[6]) };
        count.kind = static_cast<SuspectKind>(entry[0].integer(UINT8_MAX));
        count.depth = static_cast<uint32_t>(entry[5].integer(UINT32_MAX));
        count.clearedIds = decodeIds(entry[7]);
        count.detectionDelay = decodePeerDuration(entry[8]);
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

    FeedPosition decodePosition(const DocumentReader& entry)
    {
        constexpr size_t suspicionsAt = 3; // Nodes of earlier versions send none.
        return { entry[0].integer(UINT64_MAX), entry[1].integer(maxPeerInteger), entry[2].integer(maxPeerInteger),
            hasElement(entry, suspicionsAt) ? entry[suspicionsAt].integer(maxPeerInteger) : 0 };
    }

    // Adds what can be decoded; an entry that cannot is skipped, as the others are of use without it.
    template <typename Value, typename Decode>
    void decodeAll(const DocumentReader& document, std::string_view field, std::vector<Value>& into, Decode&& decode)
    {
        for (const DocumentReader& entry : document[field].optionalElements()) {
            DocumentReader::Problem problem;
            Value value = decode(entry.reportingTo(problem));
            if (!problem.isFound())
                into.push_back(std::move(value));
        }
    }

    template <typename Value, typename Encode>
    void encodeAll(json& document, const char* key, const std::vector<Value>& values, Encode&& encode)
    {
        for (const Value& value : values)
            document[key].push_back(encode(value));
    }

    std::map<std::string, uint32_t, std::less<>> decodeInFlight(const DocumentReader& document)
    {
        std::map<std::string, uint32_t, std::less<>> result;
        if (!document.exists())
            return result;
        for (const auto& [host, slots] : document.fields())
            result.emplace(host, static_cast<uint32_t>(slots.integer(maxPeerSlots)));
        return result;
    }

    std::optional<NodeTable::BucketHashes> decodeHashes(const DocumentReader& list)
    {
        if (!list.exists())
            return std::nullopt;
        NodeTable::BucketHashes hashes {};
        if (list.size() != hashes.size())
            list.reject("a hash of each bucket");
        for (size_t i = 0; i < hashes.size(); ++i)
            hashes[i] = static_cast<uint32_t>(list[i].integer(UINT32_MAX));
        return hashes;
    }

    std::optional<EvacuationReport> decodeOptionalEvacuations(const DocumentReader& value)
    {
        DocumentReader::Problem problem; // The rest of the message is of use without them.
        if (!value.exists())
            return std::nullopt;
        EvacuationReport report = decodeEvacuations(value.reportingTo(problem));
        return problem.isFound() ? std::nullopt : std::optional(std::move(report));
    }

    NodeMessage decodeMessage(const DocumentReader& document)
    {
        NodeMessage message;
        message.sender = decodeState(document["sender"]);
        message.isRelay = document["relay"].flag(false);
        message.isSettled = document["settled"].flag(false);
        message.configVersion = document["config"].integer(maxPeerInteger);
        message.controllerTerm = document["term"].integer(maxPeerInteger);
        message.anyCallSeen = document["calls"].flag(false);
        message.fleetNodes
            = std::min(static_cast<uint32_t>(document["fleet_nodes"].integer(UINT32_MAX, 0)), maxFleetNodes);
        message.inFlight = decodeInFlight(document["in_flight"]);
        message.unmetDemand = decodeUnmetDemand(document);
        auto progress = decodeProgress(document);
        message.isProgressReadable = progress.has_value();
        message.progressAges = std::move(progress).value_or(AgesByHost {});
        message.sent = decodePosition(document["sent"]);
        message.received = decodePosition(document["received"]);
        if (document["unreachable"].exists())
            message.unreachable = textsOf(document["unreachable"]);
        message.hasMore = document["more"].flag(false);
        message.clock = decodePeerDuration(document["clock"]);
        message.bucketHashes = decodeHashes(document["hashes"]);
        if (DocumentReader echo = document["echo"]; echo.exists())
            message.echo
                = ClockEcho { echo[0].integer(UINT64_MAX), decodePeerDuration(echo[1]), decodePeerDuration(echo[2]) };
        decodeAll(document, "limits", message.limits, decodeLimit);
        message.evacuations = decodeOptionalEvacuations(document["evacuations"]);
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
    encodeUnmetDemand(document, message.unmetDemand);
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
    return encodeCbor(document);
}

// The receiver logs what cannot be decoded.
std::optional<NodeMessage> decodeNodeMessage(std::string_view bytes)
{
    auto decoded = decodeDocument(DocumentFormat::Cbor, bytes, limits, Step::Gossip);
    auto* document = std::get_if<json>(&decoded);
    if (!document)
        return std::nullopt;
    DocumentReader::Problem problem;
    DocumentReader reader(*document, problem);
    if (reader["v"].integer(UINT32_MAX) != version)
        return std::nullopt;
    NodeMessage message = decodeMessage(reader);
    bool isUsable = !problem.isFound() && isPlausible(message.sender);
    return isUsable ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace Kumquatpick
