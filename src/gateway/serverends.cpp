#include "gateway/serverends.h"

#include "fleet/hosttable.h"
#include "gateway/asio.h"
#include "gateway/context.h"
#include "gateway/reachcheck.h"
#include "gateway/task.h"
#include "suspicion/suspicion.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>

namespace Kumquatpick {

namespace {

    // A running host accepts within a round trip.
    constexpr Milliseconds acceptTimeout { 200 };
    // In which a node that uses a service usually hears from another server of it.
    constexpr Milliseconds otherServersTime { 20 };
    // In which the other nodes find out, and tell, that they do not reach a service either.
    constexpr Milliseconds reachReportDelay { 1000 };

    // For logs.
    constexpr const char* name(ServerEndSign sign)
    {
        constexpr const char* names[] = { "closed_connection", "replaced", "unreachable" };
        return names[static_cast<size_t>(sign)];
    }

}

const char* logField(SuspectKind kind) { return kind == SuspectKind::Request ? "fingerprint" : "prompt_part"; }

void recordServerEnd(GatewayContext& context, std::string_view hostId, ServerEndSign sign, std::string_view callId)
{
    MonotonicTime now = context.now();
    bool isKnown = context.suspicion.hasDied(hostId);
    auto suspects = context.suspicion.replicaDied(hostId, now, sign);
    if (isKnown)
        return;
    context.log.write("server_ended",
        { { "id", callId }, { "host", hostId }, { "sign", name(sign) }, { "suspects", suspects.size() } });
    for (const Suspect& suspect : suspects) {
        uint32_t deaths = context.suspicion.deaths(suspect, now);
        if (deaths > 1)
            context.log.write(suspect.kind == SuspectKind::Request ? "request_suspected" : "prompt_part_suspected",
                { { logField(suspect.kind), suspectName(suspect) }, { "host", hostId }, { "deaths", deaths },
                    { "stopped", context.suspicion.isStopped(suspect, now) } });
    }
}

namespace {

    // Counts the end once no other node reaches the service either, so that it is not this node that is cut off.
    asio::awaitable<void> recordEndUnlessCutOff(GatewayContext& context, std::string hostId, std::string service)
    {
        co_await sleepFor(reachReportDelay);
        if (context.nodesReaching(service).empty())
            recordServerEnd(context, hostId, ServerEndSign::Unreachable, {});
    }

}

asio::awaitable<bool> hasServerEnded(GatewayContext& context, std::string hostId, std::string service, Address address)
{
    if (context.suspicion.hasDied(hostId))
        co_return true;
    MonotonicTime closedAt = context.now();
    bool isRunning = co_await context.pool.accepts(std::move(address), acceptTimeout);
    context.metrics.count(fmt::format("answers_cut_off_total{{server=\"{}\"}}", isRunning ? "running" : "ended"));
    if (isRunning)
        co_return false;
    context.reach.connectFailed(service, hostId);
    co_await sleepFor(otherServersTime);
    if (context.suspicion.hasDied(hostId) || context.reach.isReachedSince(service, closedAt))
        co_return true;
    ReachVerdict verdict = co_await checkReach(context, service, hostId);
    if (verdict == ReachVerdict::Reached) {
        context.reach.connected(service, context.now());
        co_return true;
    }
    asio::co_spawn(context.io, recordEndUnlessCutOff(context, std::move(hostId), std::move(service)),
        loggingFailure(context.log, "recording the end of a server"));
    co_return false;
}

// A server that drained ended as planned. One that still accepts connections has only lost the list.
asio::awaitable<void> examineGoneHost(GatewayContext& context, GoneHost host)
{
    if (host.wasDraining) {
        context.suspicion.replicaLeft(host.id);
        co_return;
    }
    if (host.isReplaced) {
        recordServerEnd(context, host.id, ServerEndSign::Replaced, {});
        co_return;
    }
    bool isRunning = co_await context.pool.accepts(host.address, acceptTimeout);
    if (isRunning)
        co_return;
    ReachVerdict verdict = co_await checkReach(context, host.service);
    if (verdict == ReachVerdict::Reached || context.nodesReaching(host.service).empty())
        recordServerEnd(context, host.id, ServerEndSign::Unreachable, {});
}

} // namespace Kumquatpick
