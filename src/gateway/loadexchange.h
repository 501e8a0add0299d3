#pragma once

#include "fleet/loadaggregator.h"
#include "gateway/context.h"
#include "gateway/peers.h"

#include <optional>
#include <set>
#include <string>

namespace Kumquatpick {

// Reports the calls in flight of this node to one node of its zone, ten times a second, and receives those of all
// others. With digests alone, which take seconds to reach all nodes of a large fleet, one call in five was sent to a
// replica that was full. A small fleet uses digests only.
class LoadExchange {
public:
    LoadExchange(GatewayContext&, Peers&);

    asio::awaitable<void> run();
    // Handles the loads of another node or zone.
    HttpResponse answer(const HttpRequest&);
    // Calls in flight of the other nodes; nothing if no recent data was received.
    const LoadsByHost* others() const;

    static constexpr const char* target = "/loads";

private:
    asio::awaitable<void> reportLoads(std::string peer);
    asio::awaitable<void> exchangeWithZone(std::string zone, std::string peer);
    asio::awaitable<std::optional<LoadsByHost>> exchangeLoads(
        std::string peer, const char* field, std::string name, LoadsByHost);
    void exchangeWithOtherZones();
    std::string self() const;

    GatewayContext& m_context;
    Peers& m_peers;
    LoadAggregator m_board;
    LoadsByHost m_others;
    std::optional<MonotonicTime> m_othersUpdatedAt;
    std::map<std::string, MonotonicTime, std::less<>> m_failedAt; // By peer.
    std::set<std::string, std::less<>> m_pendingZones; // Zones with an exchange in progress.
};

} // namespace Kumquatpick
