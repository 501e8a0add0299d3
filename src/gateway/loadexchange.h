#pragma once

#include "fleet/loadboard.h"
#include "gateway/context.h"
#include "gateway/peers.h"

#include <optional>
#include <set>
#include <string>

namespace Kumquatpick {

// Tells what this node has in flight to one node of its zone, ten times a second, and hears what all the others have.
// In a fleet where digests take seconds to reach everybody, what the others had in flight was so old that one call in
// five found a replica that was full; a small fleet tells it by digests alone.
class LoadExchange {
public:
    LoadExchange(GatewayContext&, Peers&);

    asio::awaitable<void> run();
    // Another node's loads, or another zone's.
    HttpResponse answer(const HttpRequest&);
    // What the other nodes have in flight; nothing if that was not heard lately.
    const LoadsByHost* others() const;

    static constexpr const char* target = "/loads";

private:
    asio::awaitable<void> tell(std::string peer);
    asio::awaitable<void> askZone(std::string zone, std::string peer);
    asio::awaitable<std::optional<LoadsByHost>> ask(std::string peer, const char* field, std::string name, LoadsByHost);
    void askOtherZones();
    std::string self() const;

    GatewayContext& m_context;
    Peers& m_peers;
    LoadBoard m_board;
    LoadsByHost m_others;
    std::optional<MonotonicTime> m_heardAt;
    std::map<std::string, MonotonicTime, std::less<>> m_failedAt; // By peer.
    std::set<std::string, std::less<>> m_asking; // Zones.
};

} // namespace Kumquatpick
