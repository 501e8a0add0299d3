#include "gateway/peers.h"

#include "gateway/asio.h"
#include "gateway/nodecodec.h"
#include "gateway/progressfield.h"
#include "gateway/relay.h"
#include "gateway/task.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr const char* exchangeTarget = "/nodes";
    constexpr const char* relayTarget = "/relay";
    constexpr Milliseconds relayedTimeout { 100 };
    constexpr Milliseconds recentStall { 800 };
    // Callers use no more addresses of one answer.
    constexpr size_t maxCallerAddresses = 64;
    constexpr size_t maxUnreadablePeers = 1000; // Addresses; further ones are not logged.

    std::vector<std::string> seedsOf(const GatewaySettings& settings)
    {
        std::vector<std::string> result;
        for (const Address& seed : settings.seedAddresses())
            result.push_back(seed.toString());
        return result;
    }

    template <typename Map> void addAll(Map& total, const Map& part)
    {
        for (const auto& [key, value] : part)
            total[key] += value;
    }

}

Peers::Peers(GatewayContext& context, Handlers handlers)
    : m_context(context)
    , m_handlers(std::move(handlers))
    , m_exchange(ownState(), seedsOf(context.settings))
    , m_reads(context, *this, m_handlers.applyConfig, m_handlers.applyEvacuations)
{
}

NodeState Peers::ownState() const
{
    const GatewaySettings& settings = m_context.settings;
    NodeState state;
    state.address = settings.peers.toString();
    state.name = settings.name;
    state.incarnation = m_context.incarnation;
    state.callers = settings.callers.toString();
    state.zone = settings.zone;
    state.cpuShare = settings.cpuShareOrDefault();
    return state;
}

asio::awaitable<void> Peers::run()
{
    for (;;) {
        startRound();
        m_reads.fetchNewerConfig();
        co_await sleepFor(NodeExchange::period);
    }
}

void Peers::exchangeNow() { startRound(); }

void Peers::startRound()
{
    std::vector<std::string> targets;
    {
        LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
        m_exchange.setOwnReport(m_handlers.ownReport(), m_context.now());
        for (const SuspicionCount& count : m_context.suspicion.takeOwnChanges())
            m_exchange.publishSuspicion(count, m_context.now());
        targets = m_exchange.beginRound(m_context.now(), m_context.random);
        std::erase_if(m_peerLoads, [this](const auto& entry) { return !m_exchange.isAlive(entry.first); });
    }
    for (std::string& target : targets) {
        if (!m_calls.contains(target))
            asio::co_spawn(m_context.io, exchangeWith(std::move(target)),
                loggingFailure(m_context.log, "exchanging state with a node"));
    }
}

void Peers::addOwnLoads(NodeMessage& message) const
{
    message.limits = m_context.balancer.limits().recentLimits(m_context.now());
    message.evacuations = m_context.evacuations.report(m_context.now());
    // In a larger fleet the load exchange carries them.
    if (!isFullMesh())
        return;
    message.inFlight = m_context.balancer.inFlight();
    for (const auto& [key, demand] : m_context.demand)
        message.unmetDemand[key] = demand.unmetDemand;
    message.progressAges = m_context.ownProgressAges();
}

asio::awaitable<void> Peers::exchangeWith(std::string address)
{
    auto parsed = settle([&] { return Address::parse(address); });
    auto* peer = std::get_if<Address>(&parsed);
    if (!peer || !m_calls.insert(address).second)
        co_return;
    for (bool hasMore = true; hasMore;) {
        HttpRequest request(http::verb::post, exchangeTarget, 11);
        {
            LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
            NodeMessage message = m_exchange.request(address, m_context.now());
            addOwnLoads(message);
            request.body() = encode(message);
        }
        request.prepare_payload();
        size_t sent = request.body().size();
        MonotonicTime askedAt = m_context.now();
        auto answer = co_await m_context.pool.exchange(
            *peer, std::move(request), NodeExchange::callTimeout, Step::Gossip, {}, AnswerLimits::nodeMessageBytes);
        LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
        auto* response = std::get_if<HttpResponse>(&answer);
        auto message = response ? decodeNodeMessage(response->body()) : std::nullopt;
        if (!message) {
            if (response)
                logUnreadable(address, response->body().size());
            m_exchange.callFailed(address, m_context.now());
            break;
        }
        m_context.countPeerBytes("nodes", message->sender.zone, sent + response->body().size());
        NodeExchange::Received received;
        hasMore = m_exchange.applyAnswer(address, *message, askedAt, m_context.now(), received);
        recordSender(*message, received);
    }
    m_calls.erase(address);
}

// A peer that runs another version, or something else, may share the fleet during a rolling replacement.
void Peers::logUnreadable(std::string_view peer, size_t bytes)
{
    if (m_unreadablePeers.size() >= maxUnreadablePeers || !m_unreadablePeers.emplace(peer).second)
        return;
    m_context.metrics.count("peers_unreadable_total");
    m_context.log.write("peer_unreadable", { { "peer", peer }, { "bytes", bytes } });
}

void Peers::recordSender(const NodeMessage& message, const NodeExchange::Received& received)
{
    const NodeState& sender = message.sender;
    if (!message.inFlight.empty() || !message.unmetDemand.empty() || m_peerLoads.contains(sender.address))
        m_peerLoads.insert_or_assign(
            sender.address, PeerLoad { message.inFlight, message.unmetDemand, message.progressAges, m_context.now() });
    if (!message.isProgressReadable)
        logUnreadableProgress(m_context, sender.name);
    // Before any configuration of that node: a node that has just started sends nothing before it has one.
    if (message.evacuations)
        m_handlers.applyEvacuations(*message.evacuations, sender.name);
    m_reads.recordPeerVersion(sender.address, sender.zone, message.configVersion);
    m_handlers.applyReceived(received, sender.name);
}

HttpResponse Peers::answerMessage(const HttpRequest& request)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
    auto message = decodeNodeMessage(request.body());
    if (!message) {
        logUnreadable("caller", request.body().size());
        return { http::status::bad_request, 11 };
    }
    MonotonicTime now = m_context.now();
    m_exchange.setOwnReport(m_handlers.ownReport(), now);
    NodeExchange::Received received;
    NodeMessage reply = m_exchange.answer(*message, now, received);
    recordSender(*message, received);
    addOwnLoads(reply);
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/cbor");
    response.body() = encode(reply);
    m_context.countPeerBytes("nodes", message->sender.zone, request.body().size() + response.body().size());
    return response;
}

asio::awaitable<HttpResponse> Peers::answer(const HttpRequest& request)
{
    if (request.target() == exchangeTarget)
        co_return answerMessage(request);
    if (request.target() == relayTarget)
        co_return co_await answerRelayed(request);
    if (auto response = m_reads.answer(request))
        co_return std::move(*response);
    logUnreadable("caller", request.body().size());
    co_return HttpResponse(http::status::not_found, 11);
}

asio::awaitable<HttpResponse> Peers::answerRelayed(const HttpRequest& request)
{
    auto call = decodeRelayedCall(request.body());
    // Relays only to hosts of the list, so that the peer port gives no access to other networks.
    if (!call || !m_context.isHostAddress(call->host))
        co_return HttpResponse(http::status::bad_request, 11);
    auto answer = co_await m_context.pool.exchange(call->host, std::move(call->request), relayedTimeout, Step::Probe);
    HttpResponse response(http::status::ok, 11);
    response.body() = encode(answer);
    co_return response;
}

asio::awaitable<Settled<HttpResponse>> Peers::relay(std::string peer, Address host, HttpRequest call)
{
    auto parsed = settle([&] { return Address::parse(peer); });
    HttpRequest request(http::verb::post, relayTarget, 11);
    request.body() = encode(RelayedCall { std::move(host), std::move(call) });
    request.prepare_payload();
    auto answer = co_await m_context.pool.exchange(std::get<Address>(parsed), std::move(request), relayedTimeout * 2,
        Step::Gossip, {}, AnswerLimits::nodeMessageBytes);
    auto* response = std::get_if<HttpResponse>(&answer);
    if (!response || response->result() != http::status::ok)
        co_return Error { ErrorCode::Malformed, Step::Gossip, peer, "the peer did not relay the call" };
    co_return decodeRelayedAnswer(response->body());
}

std::vector<std::string> Peers::stalledHeads() const
{
    return m_exchange.facts().recentStalls(recentStall, m_context.now());
}

std::vector<std::string> Peers::aliveAddresses() const
{
    std::vector<std::string> result;
    for (const auto& [address, entry] : m_exchange.table().others()) {
        if (m_exchange.isAlive(address))
            result.push_back(address);
    }
    return result;
}

bool Peers::selfHasLargeCpuShare() const
{
    return hasLargeCpuShare({ self(), m_context.settings.cpuShareOrDefault() }, nodesInZone({}));
}

bool Peers::isChosen(std::string_view duty, size_t count) const
{
    auto chosen = chosenNodes({}, duty, count);
    return std::ranges::find(chosen, self()) != chosen.end();
}

// Asked for many times between two changes of the table.
std::vector<std::string> Peers::chosenNodes(std::string_view zone, std::string_view duty, size_t count) const
{
    ChosenNodes& chosen = m_chosen[fmt::format("{}/{}/{}", zone, duty, count)];
    uint64_t version = m_exchange.table().version();
    if (chosen.version != version || chosen.aliveNodes != aliveCount())
        chosen = { version, aliveCount(), chooseNodes(nodesInZone(zone), duty, count) };
    return chosen.nodes;
}

std::vector<std::string> Peers::otherZones() const
{
    std::set<std::string> zones;
    for (const auto& [address, entry] : m_exchange.table().others()) {
        if (entry.state.zone != m_context.settings.zone && m_exchange.isAlive(address))
            zones.insert(entry.state.zone);
    }
    return { zones.begin(), zones.end() };
}

std::map<std::string, uint32_t, std::less<>> Peers::inFlightOfOthers() const
{
    std::map<std::string, uint32_t, std::less<>> total;
    for (const auto& [address, load] : m_peerLoads)
        addAll(total, load.inFlight);
    return total;
}

UnmetDemand Peers::unmetDemandOfOthers() const
{
    UnmetDemand total;
    for (const auto& [address, load] : m_peerLoads)
        addAll(total, load.unmetDemand);
    return total;
}

AgesByHost Peers::progressOfOthers() const
{
    AgesByHost total;
    for (const auto& [address, load] : m_peerLoads)
        addProgress(total, load.progressAges, m_context.now() - load.receivedAt);
    return total;
}

std::vector<std::string> Peers::nodesReaching(std::string_view service) const
{
    std::vector<std::string> result;
    for (const auto& [address, entry] : m_exchange.table().others()) {
        const NodeState& state = entry.state;
        bool takesCalls
            = m_exchange.isAlive(address) && state.isReady && !state.isStopping && !m_exchange.hasFailed(address);
        if (takesCalls && std::ranges::find(state.cutOffServices, service) == state.cutOffServices.end())
            result.push_back(state.callers);
    }
    return result;
}

// A peer that did not respond to the last call may have ended, so callers get its address only if there is no other.
std::vector<std::string> Peers::callerAddresses()
{
    std::vector<std::string> result;
    std::vector<std::string> unresponsive;
    for (const auto& [address, entry] : m_exchange.table().others()) {
        const NodeState& state = entry.state;
        if (m_exchange.isAlive(address) && state.isReady && !state.isStopping)
            (m_exchange.hasFailed(address) ? unresponsive : result).push_back(state.callers);
    }
    if (result.empty())
        result = std::move(unresponsive);
    std::ranges::shuffle(result, m_context.random);
    result.resize(std::min(result.size(), maxCallerAddresses - 1));
    return result;
}

bool Peers::isIncarnationAlive(std::string_view incarnation) const
{
    return std::ranges::any_of(m_exchange.table().others(), [&](const auto& item) {
        const NodeState& state = item.second.state;
        return m_exchange.isAlive(item.first) && incarnation.starts_with(state.name)
            && incarnationName(state.name, state.incarnation) == incarnation;
    });
}

} // namespace Kumquatpick
