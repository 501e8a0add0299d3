#include "gateway/reachcheck.h"

#include "gateway/asio.h"
#include "gateway/context.h"
#include "gateway/task.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace Kumquatpick {

namespace {

    constexpr size_t checkedServers = 3;
    // A running host accepts within a round trip.
    constexpr Milliseconds acceptTimeout { 200 };
    constexpr Milliseconds pollPeriod { 5 };
    // A longer pause of this node's own loop looks like silence of the servers.
    constexpr Milliseconds maxLoopPause { 50 };

    // Shared by the attempts of one check.
    struct Attempts {
        size_t pending = 0;
        bool isAnyAccepted = false;
    };

    asio::awaitable<void> attempt(ConnectionPool& pool, Address server, std::shared_ptr<Attempts> attempts)
    {
        bool isAccepted = co_await pool.accepts(std::move(server), acceptTimeout);
        attempts->isAnyAccepted = attempts->isAnyAccepted || isAccepted;
        --attempts->pending;
    }

    std::vector<Address> serversToCheck(GatewayContext& context, std::string_view service, std::string_view otherThan)
    {
        std::vector<Address> servers;
        for (const auto& [id, host] : context.hosts.hosts()) {
            if (host.service == service && !host.draining && id != otherThan)
                servers.push_back(host.address);
        }
        std::ranges::shuffle(servers, context.random);
        servers.resize(std::min(servers.size(), checkedServers));
        return servers;
    }

}

asio::awaitable<ReachVerdict> checkReach(GatewayContext& context, std::string service, std::string otherThan)
{
    MonotonicTime begun = context.now();
    std::vector<Address> servers = serversToCheck(context, service, otherThan);
    if (servers.empty())
        co_return ReachVerdict::Unknown;
    auto attempts = std::make_shared<Attempts>();
    attempts->pending = servers.size();
    for (Address& server : servers)
        asio::co_spawn(context.io, attempt(context.pool, std::move(server), attempts),
            loggingFailure(context.log, "connecting to a server"));
    MonotonicTime end = begun + 2 * acceptTimeout;
    while (attempts->pending > 0 && !attempts->isAnyAccepted && context.now() < end)
        co_await sleepFor(pollPeriod);
    if (attempts->isAnyAccepted)
        co_return ReachVerdict::Reached;
    bool hasPaused = context.pauses.since(begun, context.now()) > MonotonicTime::duration(maxLoopPause);
    co_return hasPaused ? ReachVerdict::Unknown : ReachVerdict::NotReached;
}

} // namespace Kumquatpick
