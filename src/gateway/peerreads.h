#pragma once

#include "fleet/configcatchup.h"
#include "fleet/listreaders.h"
#include "gateway/context.h"
#include "gateway/recordfeed.h"
#include "gateway/storeclient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Kumquatpick {

class Peers;

// What nodes read from one another in place of the store: the list of backend servers and the text of configurations.
class PeerReads {
public:
    using ApplyConfig = std::function<void(std::string_view text, std::string_view source)>;
    using ApplyEvacuations = std::function<void(const EvacuationReport&, std::string_view source)>;
    // Provides the records that other nodes request with readHosts().
    using HostRecordSource = std::function<std::optional<RecordBatch>(uint64_t from)>;

    PeerReads(GatewayContext&, const Peers&, ApplyConfig, ApplyEvacuations);

    // Answers a request for records or for the configuration; nothing if it is neither.
    std::optional<HttpResponse> answer(const HttpRequest&);
    // Reads records of the list of backend servers from another node, if one reads the store for this one.
    asio::awaitable<LogFollower::PeerReadResult> readHosts(uint64_t from, bool isStoreUnavailable);
    void setHostRecordSource(HostRecordSource source) { m_hostRecordSource = std::move(source); }

    void recordPeerVersion(std::string_view peer, std::string_view zone, uint64_t version);
    // While the predicate is true, the store does not deliver configurations, so they are fetched from peers without
    // waiting for it.
    void fetchConfigsWhile(std::function<bool()> predicate) { m_fetchesConfigs = std::move(predicate); }
    // Starts to fetch a configuration if a peer has a newer one.
    void fetchNewerConfig();
    // Last time at which a node that reads the store for this one confirmed there which configuration is the newest.
    MonotonicTime configConfirmedAt() const { return m_configConfirmedAt; }
    // Whether a peer has a newer configuration than this node.
    bool knowsNewerConfig() const { return m_catchUp.isBehind(configVersion()); }

private:
    // The peer responds, but has not read the list yet.
    struct ListUnavailable { };
    using ReaderAnswer = std::variant<RecordBatch, ListUnavailable, Error>;

    uint64_t configVersion() const { return m_context.routes ? m_context.routes->version() : 0; }
    std::vector<std::string> hostReadersToQuery(bool isStoreUnavailable) const;
    asio::awaitable<ReaderAnswer> readHostsAt(std::string address, uint64_t from);
    asio::awaitable<void> fetchConfig(std::string address);
    HttpResponse answerConfig() const;
    HttpResponse answerHosts(const HttpRequest&);

    GatewayContext& m_context;
    const Peers& m_peers;
    ApplyConfig m_applyConfig;
    ApplyEvacuations m_applyEvacuations;
    ConfigCatchUp m_catchUp;
    ListReaders m_listReaders;
    HostRecordSource m_hostRecordSource;
    std::function<bool()> m_fetchesConfigs = [] { return false; };
    MonotonicTime m_configConfirmedAt {};
};

} // namespace Kumquatpick
