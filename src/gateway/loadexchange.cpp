#include "gateway/loadexchange.h"

#include "base/document.h"
#include "base/documentreader.h"
#include "gateway/asio.h"
#include "gateway/demandfield.h"
#include "gateway/peernumbers.h"
#include "gateway/progressfield.h"
#include "gateway/task.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    // A call lasts about a second. Choosing by counts that are 0.5 s old overfills one replica in eleven, and by counts
    // that are 0.1 s old one in a hundred, in a simulation of 75 replicas with fourteen slots each at two thirds load.
    constexpr Milliseconds shortestPeriod { 100 };
    // Where a tenth of the slots is taken, old counts overfill no replica.
    constexpr Milliseconds longestPeriod { 500 };
    constexpr double shortestPeriodLoad = 0.5; // Share of the slots of a model or service that are taken.
    constexpr Milliseconds callTimeout { 300 };
    constexpr Milliseconds othersValidity { 1500 };
    // If the first aggregating node is silent, the next one takes over; the first is soon considered dead.
    constexpr size_t candidates = 2;
    constexpr Milliseconds failedPeerDelay { 2000 };
    constexpr const char* duty = "add-loads";

    std::string encodeLoads(const char* field, std::string_view name, const NodeLoads& loads)
    {
        json document { { field, name }, { "loads", loads.inFlight } };
        encodeUnmetDemand(document, loads.unmetDemand);
        encodeProgress(document, loads.progressAges);
        return encodeCbor(document);
    }

    // A message with the sender's node or zone name and its loads.
    struct LoadMessage {
        std::string node;
        std::string zone;
        NodeLoads loads;
        bool isProgressReadable = true;
    };

    // Far above the loads of all servers of a large fleet.
    constexpr DocumentLimits limits { 4 << 20, 4, 100'000 };

    NodeLoads decodeNodeLoads(const DocumentReader& document)
    {
        NodeLoads loads;
        for (const auto& [host, slots] : document["loads"].fields())
            loads.inFlight.emplace(host, static_cast<uint32_t>(slots.integer(maxPeerSlots)));
        loads.unmetDemand = decodeUnmetDemand(document);
        return loads;
    }

    // The receiver logs what cannot be decoded.
    std::optional<LoadMessage> decodeLoads(std::string_view bytes)
    {
        auto decoded = decodeDocument(DocumentFormat::Cbor, bytes, limits, Step::Gossip);
        auto* content = std::get_if<json>(&decoded);
        if (!content)
            return std::nullopt;
        DocumentReader::Problem problem;
        DocumentReader document(*content, problem);
        auto progress = decodeProgress(document);
        LoadMessage message { std::string(document["node"].text("")), std::string(document["zone"].text("")),
            decodeNodeLoads(document), progress.has_value() };
        message.loads.progressAges = std::move(progress).value_or(AgesByHost {});
        return problem.isFound() ? std::nullopt : std::optional(std::move(message));
    }

}

LoadExchange::LoadExchange(GatewayContext& context, Peers& peers)
    : m_context(context)
    , m_peers(peers)
{
}

std::string LoadExchange::self() const { return m_context.settings.peers.toString(); }

NodeLoads LoadExchange::ownLoads() const
{
    NodeLoads loads { m_context.balancer.inFlight(), {}, m_context.ownProgressAges() };
    for (const auto& [key, demand] : m_context.demand) {
        if (demand.unmetDemand > 0)
            loads.unmetDemand.emplace(key, demand.unmetDemand);
    }
    return loads;
}

Milliseconds LoadExchange::period() const
{
    double load = m_context.balancer.largestLoad();
    double ratio = load > 0 ? shortestPeriodLoad / load : longestPeriod / shortestPeriod;
    auto period = std::chrono::duration_cast<Milliseconds>(shortestPeriod * ratio);
    return std::clamp(period, shortestPeriod, longestPeriod);
}

const NodeLoads* LoadExchange::others() const
{
    bool isFresh = m_othersUpdatedAt && m_context.now() - *m_othersUpdatedAt < othersValidity;
    return isFresh ? &m_others : nullptr;
}

asio::awaitable<void> LoadExchange::run()
{
    for (;;) {
        co_await sleepFor(period());
        if (m_peers.isFullMesh() || m_context.disabledMechanisms.contains(Mechanism::LoadExchange))
            continue;
        MonotonicTime now = m_context.now();
        std::erase_if(m_failedAt, [&](const auto& entry) { return now - entry.second > failedPeerDelay; });
        auto adding = m_peers.chosenNodes(m_context.settings.zone, duty, candidates);
        std::erase_if(adding, [this](const std::string& peer) { return m_failedAt.contains(peer); });
        bool addsUp = adding.empty() || adding.front() == self();
        if (addsUp)
            m_board.applyNodeReport(self(), ownLoads(), now);
        if (m_board.hasNodeReports(now))
            exchangeWithOtherZones();
        if (addsUp) {
            m_others = m_board.totalExcept(self(), now);
            m_othersUpdatedAt = now;
        } else {
            co_await reportLoads(adding.front());
        }
    }
}

// Sends loads to a peer and returns those that it sends back. After a failure the peer is not used for a while.
asio::awaitable<std::optional<NodeLoads>> LoadExchange::exchangeLoads(
    std::string peer, const char* field, std::string name, NodeLoads loads)
{
    auto address = settle([&] { return Address::parse(peer); });
    HttpRequest request(http::verb::post, target, 11);
    request.body() = encodeLoads(field, name, loads);
    request.prepare_payload();
    size_t sent = request.body().size();
    auto answer = co_await m_context.pool.exchange(
        std::get<Address>(address), std::move(request), callTimeout, Step::Gossip, {}, AnswerLimits::nodeMessageBytes);
    auto* response = std::get_if<HttpResponse>(&answer);
    auto told = response && response->result() == http::status::ok ? decodeLoads(response->body()) : std::nullopt;
    if (told) {
        if (!told->isProgressReadable)
            logUnreadableProgress(m_context, peer);
        m_context.countPeerBytes(
            "loads", told->zone.empty() ? m_context.settings.zone : told->zone, sent + response->body().size());
        co_return std::move(told->loads);
    }
    m_failedAt[peer] = m_context.now();
    m_context.log.write("load_exchange_failed",
        { { "peer", peer }, { "sender_kind", field },
            { "problem", response ? "the response cannot be decoded" : describe(std::get<Error>(answer)) } });
    co_return std::nullopt;
}

asio::awaitable<void> LoadExchange::reportLoads(std::string peer)
{
    auto loads = co_await exchangeLoads(std::move(peer), "node", self(), ownLoads());
    if (!loads)
        co_return;
    m_others = std::move(*loads);
    m_othersUpdatedAt = m_context.now();
}

// One exchange updates both zones, so a zone that has just sent its loads is skipped.
void LoadExchange::exchangeWithOtherZones()
{
    for (const std::string& zone : m_peers.otherZones()) {
        if (m_pendingZones.contains(zone) || m_board.hasRecentZoneTotal(zone, period() * 3 / 4, m_context.now()))
            continue;
        auto adding = m_peers.chosenNodes(zone, duty, candidates);
        std::erase_if(adding, [this](const std::string& peer) { return m_failedAt.contains(peer); });
        if (adding.empty())
            continue;
        m_pendingZones.insert(zone);
        asio::co_spawn(m_context.io, exchangeWithZone(zone, adding.front()),
            loggingFailure(m_context.log, "exchanging loads with a zone"));
    }
}

asio::awaitable<void> LoadExchange::exchangeWithZone(std::string zone, std::string peer)
{
    auto loads
        = co_await exchangeLoads(std::move(peer), "zone", m_context.settings.zone, m_board.zoneTotal(m_context.now()));
    m_pendingZones.erase(zone);
    if (loads)
        m_board.applyZoneTotal(zone, std::move(*loads), m_context.now());
}

HttpResponse LoadExchange::answer(const HttpRequest& request)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
    auto told = decodeLoads(request.body());
    if (!told) {
        m_context.log.write("peer_unreadable", { { "bytes", request.body().size() } });
        return { http::status::bad_request, 11 };
    }
    if (!told->isProgressReadable)
        logUnreadableProgress(m_context, told->zone.empty() ? told->node : told->zone);
    MonotonicTime now = m_context.now();
    HttpResponse response(http::status::ok, 11);
    if (!told->zone.empty()) {
        m_board.applyZoneTotal(told->zone, std::move(told->loads), now);
        response.body() = encodeLoads("zone", m_context.settings.zone, m_board.zoneTotal(now));
    } else {
        m_board.applyNodeReport(told->node, std::move(told->loads), now);
        // Also if this node itself reports to another one.
        m_board.applyNodeReport(self(), ownLoads(), now);
        response.body() = encodeLoads("node", self(), m_board.totalExcept(told->node, now));
    }
    return response;
}

} // namespace Kumquatpick
