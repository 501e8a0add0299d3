#pragma once

#include "fleet/loadaggregator.h"
#include "gateway/context.h"
#include "gateway/peers.h"

#include <optional>
#include <set>
#include <string>

namespace Kumquatpick {

// Reports the calls in flight of this node to one node of its zone, several times a second, and receives those of all
// others. The fuller the targets are, the more a choice depends on the counts, and the more often they are exchanged.
// With counts that are seconds old, one call in five was sent to a replica that was full. In a full mesh the messages
// of the nodes carry them.
class LoadExchange {
public:
    LoadExchange(GatewayContext&, Peers&);

    asio::awaitable<void> run();
    // Handles the loads of another node or zone.
    HttpResponse answer(const HttpRequest&);
    // Calls in flight of the other nodes; nothing if no recent data was received.
    const NodeLoads* others() const;

    // When they were received.
    std::optional<MonotonicTime> updatedAt() const { return m_othersUpdatedAt; }

    static constexpr const char* target = "/loads";

private:
    asio::awaitable<void> reportLoads(std::string peer);
    asio::awaitable<void> exchangeWithZone(std::string zone, std::string peer);
    asio::awaitable<std::optional<NodeLoads>> exchangeLoads(
        std::string peer, const char* field, std::string name, NodeLoads);
    void exchangeWithOtherZones();
    std::string self() const;
    NodeLoads ownLoads() const;
    Milliseconds period() const;

    GatewayContext& m_context;
    Peers& m_peers;
    LoadAggregator m_board;
    NodeLoads m_others;
    std::optional<MonotonicTime> m_othersUpdatedAt;
    std::map<std::string, MonotonicTime, std::less<>> m_failedAt; // By peer.
    std::set<std::string, std::less<>> m_pendingZones; // Zones with an exchange in progress.
};

} // namespace Kumquatpick
