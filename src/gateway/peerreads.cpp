#include "gateway/peerreads.h"

#include "gateway/asio.h"
#include "gateway/peers.h"
#include "gateway/task.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr const char* configTarget = "/config";
    constexpr const char* hostsTarget = "/hosts?from=";
    constexpr Milliseconds readTimeout { 300 };
    // Allows for a list of some thousand hosts over a link of 20 Mbit/s.
    constexpr Milliseconds listBodyTimeout { 3000 };
    // Allows for a text of some 100 KB over a link of 20 Mbit/s that is shared with callers.
    constexpr Milliseconds configBodyTimeout { 1500 };

}

PeerReads::PeerReads(
    GatewayContext& context, const Peers& peers, ApplyConfig applyConfig, ApplyEvacuations applyEvacuations)
    : m_context(context)
    , m_peers(peers)
    , m_applyConfig(std::move(applyConfig))
    , m_applyEvacuations(std::move(applyEvacuations))
    , m_listReaders(context.settings.peers.toString())
{
}

std::optional<HttpResponse> PeerReads::answer(const HttpRequest& request)
{
    if (request.target() == configTarget)
        return answerConfig();
    if (request.target().starts_with(hostsTarget))
        return answerHosts(request);
    return std::nullopt;
}

// Configurations.

void PeerReads::recordPeerVersion(std::string_view peer, std::string_view zone, uint64_t version)
{
    m_catchUp.recordPeerVersion(peer, zone == m_context.settings.zone, version, m_context.now());
}

void PeerReads::fetchNewerConfig()
{
    bool waitsForStore = configVersion() > 0 && !m_fetchesConfigs();
    if (auto peer = m_catchUp.beginFetch(configVersion(), waitsForStore, m_context.now(), m_context.random))
        asio::co_spawn(
            m_context.io, fetchConfig(std::move(*peer)), loggingFailure(m_context.log, "fetching a configuration"));
}

asio::awaitable<void> PeerReads::fetchConfig(std::string address)
{
    auto parsed = settle([&] { return Address::parse(address); });
    auto answer = co_await m_context.pool.exchange(std::get<Address>(parsed), { http::verb::get, configTarget, 11 },
        ConfigCatchUp::responseTimeout, Step::Gossip, configBodyTimeout, AnswerLimits::configBytes);
    m_catchUp.endFetch();
    auto* response = std::get_if<HttpResponse>(&answer);
    if (!response || response->result() != http::status::ok) {
        m_context.log.write("config_fetch_failed",
            { { "peer", address },
                { "problem", response ? "the peer has no configuration" : describe(std::get<Error>(answer)) } });
        co_return;
    }
    m_context.countPeerBytes("config", m_context.settings.zone, response->body().size());
    m_applyConfig(response->body(), address);
}

HttpResponse PeerReads::answerConfig() const
{
    HttpResponse response(m_context.routes ? http::status::ok : http::status::not_found, 11);
    response.body() = m_context.configText;
    return response;
}

// The list of backend servers.

HttpResponse PeerReads::answerHosts(const HttpRequest& request)
{
    LoopTime::Section section(m_context.loopTime, LoopPart::List);
    std::string_view text = toView(request.target()).substr(std::string_view(hostsTarget).size());
    uint64_t from = 0;
    std::from_chars(text.data(), text.data() + text.size(), from);
    auto batch = m_hostRecordSource ? m_hostRecordSource(from) : std::nullopt;
    HttpResponse response(batch ? http::status::ok : http::status::gone, 11);
    if (batch)
        response.body() = encode(*batch);
    m_context.countPeerBytes("hosts", m_context.settings.zone, response.body().size());
    return response;
}

// The readers of this node's zone, unless it is a reader itself. If the store is unavailable to it, all readers of all
// zones.
std::vector<std::string> PeerReads::hostReadersToQuery(bool isStoreUnavailable) const
{
    if (m_context.disabledMechanisms.contains(Mechanism::StoreReaders))
        return {};
    MonotonicTime now = m_context.now();
    auto ownZone = m_peers.nodesInZone(m_context.settings.zone);
    if (!isStoreUnavailable)
        return m_listReaders.readersToQuery(ownZone, now);
    auto readers = m_listReaders.readersOf(ownZone, now);
    for (const std::string& zone : m_peers.otherZones())
        std::ranges::move(m_listReaders.readersOf(m_peers.nodesInZone(zone), now), std::back_inserter(readers));
    std::erase(readers, m_context.settings.peers.toString());
    return readers;
}

asio::awaitable<LogFollower::PeerReadResult> PeerReads::readHosts(uint64_t from, bool isStoreUnavailable)
{
    // Before it knows the others, a node cannot tell who reads the store for it.
    if (!m_peers.knowsOthers())
        co_return LogFollower::PeerReadResult { std::nullopt, false };
    auto readers = hostReadersToQuery(isStoreUnavailable);
    if (readers.empty()) {
        m_listReaders.recordSuccess();
        co_return LogFollower::PeerReadResult {};
    }
    bool isReader = m_listReaders.readersToQuery(m_peers.nodesInZone(m_context.settings.zone), m_context.now()).empty();
    bool didAnyAnswer = false;
    for (const std::string& reader : readers) {
        auto answer = co_await readHostsAt(reader, from);
        if (std::holds_alternative<ListUnavailable>(answer)) {
            didAnyAnswer = true;
            continue;
        }
        auto* batch = std::get_if<RecordBatch>(&answer);
        // A reader that got no response from the store for longer may be partitioned from it. An outdated list is
        // better than none.
        bool isRecent = batch && batch->age <= m_context.settings.maxHostListAge();
        bool isUsable = batch && (isRecent || (isStoreUnavailable && from == 0));
        if (isUsable) {
            m_listReaders.recordSuccess();
            m_configConfirmedAt = std::max(m_configConfirmedAt, m_context.now() - batch->configAge);
            if (batch->evacuations)
                m_applyEvacuations(*batch->evacuations, reader);
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

asio::awaitable<PeerReads::ReaderAnswer> PeerReads::readHostsAt(std::string address, uint64_t from)
{
    auto parsed = settle([&] { return Address::parse(address); });
    HttpRequest request(http::verb::get, hostsTarget + std::to_string(from), 11);
    auto answer = co_await m_context.pool.exchange(std::get<Address>(parsed), std::move(request), readTimeout,
        Step::Gossip, listBodyTimeout, AnswerLimits::hostListBytes);
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

} // namespace Kumquatpick
