#include "gateway/peers.h"

#include "gateway/asio.h"
#include "gateway/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds roundPeriod { 250 };
    // Added to the time in which each peer is called once: one lost packet delays its sender by a second.
    constexpr Milliseconds maxSilence { 1050 };
    constexpr Milliseconds callTimeout { 800 };
    // Peers called per round; all of them in a small fleet.
    constexpr size_t peersPerRound = 8;
    constexpr int digestsPerPeerList = 8;
    // A silent peer is called less often, and removed if it remains silent.
    constexpr int failuresUntilSlowRetry = 4;
    constexpr Milliseconds slowRetryPeriod { 1500 };
    constexpr int failuresUntilRemoved = 40;
    constexpr const char* relayTarget = "/relay";
    constexpr const char* configTarget = "/config";
    constexpr const char* hostsTarget = "/hosts?from=";
    constexpr Milliseconds readTimeout { 300 };
    // Allows for a list of some thousand hosts over a link of 20 Mbit/s.
    constexpr Milliseconds listBodyTimeout { 3000 };
    // A reader that got no response from the store for longer may be partitioned from it.
    constexpr Milliseconds maxReaderAge { 1000 };
    // Allows for a text of some 100 KB over a link of 20 Mbit/s that is shared with callers.
    constexpr Milliseconds configBodyTimeout { 1500 };
    constexpr Milliseconds relayedTimeout { 100 };

}

Peers::Peers(GatewayContext& context, FillDigest digestFiller, ApplyDigest digestHandler, ApplyConfig configHandler)
    : m_context(context)
    , m_fillDigest(std::move(digestFiller))
    , m_applyDigest(std::move(digestHandler))
    , m_applyConfig(std::move(configHandler))
    , m_listReaders(context.settings.peers.toString())
{
    for (const Address& seed : context.settings.seedAddresses())
        addPeer(seed);
}

void Peers::addPeer(const Address& address)
{
    if (address != m_context.settings.peers)
        m_peers.try_emplace(address.toString());
}

bool Peers::isAlive(const Peer& peer, MonotonicTime now) const
{
    return !peer.digest.name.empty() && now - peer.lastDigestAt < aliveTimeout();
}

Milliseconds Peers::aliveTimeout() const
{
    size_t roundsForAll = (m_peers.size() + peersPerRound - 1) / peersPerRound;
    return maxSilence + roundPeriod * static_cast<int>(std::max<size_t>(1, roundsForAll));
}

asio::awaitable<void> Peers::run()
{
    for (;;) {
        sendDigests();
        fetchNewerConfig();
        std::erase_if(m_peers, [](const auto& entry) { return entry.second.failures > failuresUntilRemoved; });
        co_await sleepFor(roundPeriod);
    }
}

void Peers::fetchNewerConfig()
{
    bool waitsForStore = configVersion() > 0 && !m_fetchesConfigs();
    if (auto peer = m_catchUp.beginFetch(configVersion(), waitsForStore, m_context.now(), m_context.random))
        asio::co_spawn(m_context.io, fetchConfig(std::move(*peer)), asio::detached);
}

void Peers::sendDigests()
{
    MonotonicTime now = m_context.now();
    std::vector<std::string> due;
    for (const auto& [address, peer] : m_peers) {
        bool isSlow = peer.failures > failuresUntilSlowRetry && now - peer.calledAt < slowRetryPeriod;
        if (!peer.isCallInProgress && !isSlow)
            due.push_back(address);
    }
    // Peers that were called longest ago come first, so that none waits longer than the others. With a random choice,
    // one in five of sixty nodes was considered silent at any moment.
    std::ranges::shuffle(due, m_context.random);
    std::ranges::stable_sort(due, {}, [this](const std::string& address) { return m_peers[address].calledAt; });
    due.resize(std::min(due.size(), peersPerRound));
    for (std::string& address : due)
        asio::co_spawn(m_context.io, exchangeDigests(std::move(address)), asio::detached);
}

asio::awaitable<void> Peers::exchangeDigests(std::string address)
{
    Peer& peer = m_peers[address];
    peer.isCallInProgress = true;
    peer.calledAt = m_context.now();
    HttpRequest request(http::verb::post, "/digest", 11);
    {
        LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
        request.body() = encode(ownDigest(address, false));
    }
    request.prepare_payload();
    countBytes("digest", peer.digest.zone, request.body().size());
    auto parsed = settle([&] { return Address::parse(address); });
    MonotonicTime askedAt = peer.calledAt;
    auto answer
        = co_await m_context.pool.exchange(std::get<Address>(parsed), std::move(request), callTimeout, Step::Gossip);
    auto found = m_peers.find(address);
    if (found == m_peers.end())
        co_return;
    found->second.isCallInProgress = false;
    LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
    auto* response = std::get_if<HttpResponse>(&answer);
    auto digest = response ? decodeDigest(response->body()) : std::nullopt;
    if (!digest) {
        ++found->second.failures;
        co_return;
    }
    found->second.failures = 0;
    addTransitDelay(*digest, std::chrono::ceil<Milliseconds>(m_context.now() - askedAt));
    applyDigest(std::move(*digest));
}

asio::awaitable<HttpResponse> Peers::answer(const HttpRequest& request)
{
    if (request.target() == relayTarget)
        co_return co_await answerRelayed(request);
    if (request.target() == configTarget)
        co_return answerConfig();
    if (request.target().starts_with(hostsTarget))
        co_return answerHosts(request);
    co_return answerDigest(request);
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
    auto answer = co_await m_context.pool.exchange(
        std::get<Address>(parsed), std::move(request), relayedTimeout * 2, Step::Gossip);
    auto* response = std::get_if<HttpResponse>(&answer);
    if (!response || response->result() != http::status::ok)
        co_return Error { ErrorCode::Malformed, Step::Gossip, peer, "the peer did not relay the call" };
    co_return decodeRelayedAnswer(response->body());
}

std::vector<std::string> Peers::aliveAddresses() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        if (isAlive(peer))
            result.push_back(address);
    }
    return result;
}

HttpResponse Peers::answerDigest(const HttpRequest& request)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::Peers);
    auto digest = decodeDigest(request.body());
    if (!digest) {
        m_context.log.write("peer_unreadable", { { "bytes", request.body().size() } });
        return { http::status::bad_request, 11 };
    }
    std::string zone = digest->zone;
    std::string receiver = digest->peers;
    addTransitDelay(*digest, {});
    applyDigest(std::move(*digest));
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = encode(ownDigest(receiver, true));
    countBytes("digest", zone, response.body().size());
    return response;
}

HttpResponse Peers::answerConfig() const
{
    HttpResponse response(m_context.routes ? http::status::ok : http::status::not_found, 11);
    response.body() = m_context.configText;
    return response;
}

HttpResponse Peers::answerHosts(const HttpRequest& request)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::List);
    std::string_view text = toView(request.target()).substr(std::string_view(hostsTarget).size());
    uint64_t from = 0;
    std::from_chars(text.data(), text.data() + text.size(), from);
    auto batch = m_hostRecordSource ? m_hostRecordSource(from) : std::nullopt;
    HttpResponse response(batch ? http::status::ok : http::status::gone, 11);
    if (batch)
        response.body() = encode(*batch);
    countBytes("hosts", m_context.settings.zone, response.body().size());
    return response;
}

std::vector<CandidateNode> Peers::nodesInZone(std::string_view zone) const
{
    MonotonicTime now = m_context.now();
    std::vector<CandidateNode> nodes { self() };
    for (const auto& [address, peer] : m_peers) {
        bool isOfZone = zone.empty() || peer.digest.zone == zone;
        if (isAlive(peer, now) && isOfZone && !peer.digest.isStopping)
            nodes.push_back({ address, peer.digest.cpuShare });
    }
    return nodes;
}

CandidateNode Peers::self() const
{
    return { m_context.settings.peers.toString(), m_context.settings.cpuShareOrDefault() };
}

bool Peers::selfHasLargeCpuShare() const { return hasLargeCpuShare(self(), nodesInZone({})); }

bool Peers::isChosen(std::string_view duty, size_t count) const
{
    auto chosen = chooseNodes(nodesInZone({}), duty, count);
    return std::ranges::find(chosen, m_context.settings.peers.toString()) != chosen.end();
}

std::vector<std::string> Peers::chosenNodes(std::string_view zone, std::string_view duty, size_t count) const
{
    auto nodes = nodesInZone(zone);
    if (zone != m_context.settings.zone)
        std::erase_if(nodes, [this](const CandidateNode& node) { return node.address == self().address; });
    return chooseNodes(nodes, duty, count);
}

std::vector<std::string> Peers::otherZones() const
{
    std::set<std::string> zones;
    forEachAlive([&](const PeerDigest& digest) {
        if (digest.zone != m_context.settings.zone)
            zones.insert(digest.zone);
    });
    return { zones.begin(), zones.end() };
}

bool Peers::reachesAllEachRound() const { return m_peers.size() <= peersPerRound; }

// The readers of this node's zone, unless it is a reader itself. If the store is unavailable to it, all readers of all
// zones.
std::vector<std::string> Peers::hostReadersToQuery(bool isStoreUnavailable) const
{
    if (m_context.disabledMechanisms.contains(Mechanism::StoreReaders))
        return {};
    MonotonicTime now = m_context.now();
    auto ownZone = nodesInZone(m_context.settings.zone);
    if (!isStoreUnavailable)
        return m_listReaders.readersToQuery(ownZone, now);
    auto readers = m_listReaders.readersOf(ownZone, now);
    for (const std::string& zone : otherZones()) {
        auto nodes = nodesInZone(zone);
        std::erase_if(nodes, [this](const CandidateNode& node) { return node.address == self().address; });
        std::ranges::move(m_listReaders.readersOf(nodes, now), std::back_inserter(readers));
    }
    std::erase(readers, self().address);
    return readers;
}

asio::awaitable<LogFollower::PeerReadResult> Peers::readHosts(uint64_t from, bool isStoreUnavailable)
{
    auto readers = hostReadersToQuery(isStoreUnavailable);
    if (readers.empty()) {
        m_listReaders.recordSuccess();
        co_return LogFollower::PeerReadResult {};
    }
    bool isReader = m_listReaders.readersToQuery(nodesInZone(m_context.settings.zone), m_context.now()).empty();
    bool didAnyAnswer = false;
    for (const std::string& reader : readers) {
        auto answer = co_await readHostsAt(reader, from);
        if (std::holds_alternative<ListUnavailable>(answer)) {
            didAnyAnswer = true;
            continue;
        }
        auto* batch = std::get_if<RecordBatch>(&answer);
        // An outdated list is better than none.
        bool isUsable = batch && (batch->age <= maxReaderAge || (isStoreUnavailable && from == 0));
        if (isUsable) {
            m_listReaders.recordSuccess();
            m_configConfirmedAt = std::max(m_configConfirmedAt, m_context.now() - batch->configAge);
            m_catchUp.recordPeerVersion(reader, true, batch->configVersion, m_context.now());
            fetchNewerConfig();
            co_return LogFollower::PeerReadResult { std::move(*batch), isReader };
        }
        m_listReaders.recordFailure(reader, m_context.now());
        m_context.log.write(
            "reader_failed", { { "peer", reader }, { "from", from }, { "age_ms", batch ? batch->age.count() : -1 } });
    }
    bool mayReadStore = isReader || m_listReaders.mayReadStore(didAnyAnswer, m_context.now());
    co_return LogFollower::PeerReadResult { std::nullopt, mayReadStore };
}

asio::awaitable<Peers::ReaderAnswer> Peers::readHostsAt(std::string address, uint64_t from)
{
    auto parsed = settle([&] { return Address::parse(address); });
    HttpRequest request(http::verb::get, hostsTarget + std::to_string(from), 11);
    auto answer = co_await m_context.pool.exchange(
        std::get<Address>(parsed), std::move(request), readTimeout, Step::Gossip, listBodyTimeout);
    auto* response = std::get_if<HttpResponse>(&answer);
    if (!response)
        co_return std::get<Error>(answer);
    if (response->result() == http::status::gone)
        co_return ListUnavailable {};
    auto batch = decodeRecordBatch(response->body());
    if (!batch)
        co_return Error { ErrorCode::Malformed, Step::Gossip, address, "the records cannot be decoded" };
    co_return std::move(*batch);
}

asio::awaitable<void> Peers::fetchConfig(std::string address)
{
    auto parsed = settle([&] { return Address::parse(address); });
    auto answer = co_await m_context.pool.exchange(std::get<Address>(parsed), { http::verb::get, configTarget, 11 },
        ConfigCatchUp::responseTimeout, Step::Gossip, configBodyTimeout);
    m_catchUp.endFetch();
    auto* response = std::get_if<HttpResponse>(&answer);
    if (!response || response->result() != http::status::ok) {
        m_context.log.write("config_fetch_failed",
            { { "peer", address },
                { "problem", response ? "the peer has no configuration" : describe(std::get<Error>(answer)) } });
        co_return;
    }
    auto peer = m_peers.find(address);
    countBytes(
        "config", peer == m_peers.end() ? std::string_view() : peer->second.digest.zone, response->body().size());
    m_applyConfig(response->body(), address);
}

// Counted per zone because traffic between zones is slow and billed.
void Peers::countBytes(const char* kind, std::string_view zone, size_t bytes)
{
    const char* zoneLabel = zone == m_context.settings.zone ? "own" : "other";
    m_context.metrics.count(fmt::format("peer_bytes_total{{kind=\"{}\",zone=\"{}\"}}", kind, zoneLabel), bytes);
}

bool Peers::knowsNewerConfig() const { return m_catchUp.isBehind(configVersion()); }

uint64_t Peers::configVersion() const { return m_context.routes ? m_context.routes->version() : 0; }

PeerDigest Peers::ownDigest(std::string_view receiver, bool isAnswer)
{
    PeerDigest digest;
    digest.name = m_context.settings.name;
    digest.incarnation = m_context.incarnation;
    digest.callers = m_context.settings.callers.toString();
    digest.peers = m_context.settings.peers.toString();
    digest.zone = m_context.settings.zone;
    digest.cpuShare = m_context.settings.cpuShareOrDefault();
    digest.isStopping = m_context.isStopping;
    digest.anyCallSeen = m_context.anyCallSeen;
    digest.configVersion = configVersion();
    if (shouldIncludePeers(receiver)) {
        for (const auto& [address, peer] : m_peers) {
            if (isAlive(peer))
                digest.knownPeers.push_back(address);
        }
    }
    m_fillDigest(digest);
    // The receiver of a request discards them, because a request may have been delayed; see addTransitDelay().
    if (!isAnswer) {
        digest.reported.clear();
        digest.limits.clear();
    }
    return digest;
}

// The addresses of all nodes are most of a digest in a large fleet and seldom change, so a new peer gets them at once
// and other peers only in some digests. Together with omitting statuses from requests, this halved the traffic between
// zones of sixty nodes.
bool Peers::shouldIncludePeers(std::string_view receiver)
{
    auto peer = m_peers.find(receiver);
    if (peer == m_peers.end() || !isAlive(peer->second))
        return true;
    peer->second.digestsWithoutPeers = (peer->second.digestsWithoutPeers + 1) % digestsPerPeerList;
    return peer->second.digestsWithoutPeers == 0;
}

void Peers::applyDigest(PeerDigest digest)
{
    if (digest.peers == m_context.settings.peers.toString())
        return;
    for (const std::string& peerAddress : digest.knownPeers) {
        auto address = settle([&] { return Address::parse(peerAddress); });
        if (auto* valid = std::get_if<Address>(&address))
            addPeer(*valid);
    }
    Peer& peer = m_peers[digest.peers];
    // A process never leaves the stopping state, so an earlier digest that arrives late must not clear it.
    digest.isStopping = digest.isStopping || (peer.digest.incarnation == digest.incarnation && peer.digest.isStopping);
    bool isStateChange = !isAlive(peer) || peer.digest.incarnation != digest.incarnation
        || peer.digest.isStopping != digest.isStopping;
    peer.lastDigestAt = m_context.now();
    peer.failures = 0;
    peer.digest = std::move(digest);
    m_catchUp.recordPeerVersion(
        peer.digest.peers, peer.digest.zone == m_context.settings.zone, peer.digest.configVersion, peer.lastDigestAt);
    if (isStateChange)
        m_context.log.write("peer",
            { { "peer", peer.digest.name }, { "stopping", peer.digest.isStopping },
                { "config", peer.digest.configVersion } });
    m_applyDigest(peer.digest);
}

// A peer that did not respond to the last call may have ended, so callers get its address only if there is no other.
std::vector<std::string> Peers::callerAddresses(std::string_view zone) const
{
    std::vector<std::string> result;
    std::vector<std::string> unresponsive;
    for (const auto& [address, peer] : m_peers) {
        bool isOfZone = zone.empty() || peer.digest.zone == zone;
        if (!isAlive(peer) || !peer.digest.isReady || peer.digest.isStopping || !isOfZone)
            continue;
        (peer.failures == 0 ? result : unresponsive).push_back(peer.digest.callers);
    }
    return result.empty() ? unresponsive : result;
}

bool Peers::isIncarnationAlive(std::string_view incarnation) const
{
    return std::ranges::any_of(m_peers, [&](const auto& entry) {
        const PeerDigest& digest = entry.second.digest;
        return isAlive(entry.second) && incarnationName(digest.name, digest.incarnation) == incarnation;
    });
}

size_t Peers::aliveCount() const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_peers, [this](const auto& entry) { return isAlive(entry.second); }));
}

} // namespace Kumquatpick
